//! Manifest of an operator credential.

use agate_model::finding::Report;
use agate_model::operator;
use serde::{Deserialize, Serialize};

use super::parse_digest;

/// See [`operator::Role`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads.
    Viewer,
    /// Reads and changes.
    Editor,
    /// Also manages operators.
    Admin,
}

/// See [`operator::Operator`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name.
    pub id: String,
    /// SHA-256 of the credential, in hexadecimal digits.
    pub digest: String,
    /// Permissions.
    pub role: Role,
}

mirror!(Role, operator::Role, Viewer, Editor, Admin);

impl From<operator::Operator> for Operator {
    fn from(it: operator::Operator) -> Self {
        Self {
            id: it.id,
            digest: hex::encode(it.digest.0),
            role: it.role.into(),
        }
    }
}

impl Operator {
    pub(super) fn convert(self, report: &mut Report) -> operator::Operator {
        let place = format!("operator/{}.digest", self.id);
        let digest = parse_digest(&self.digest, place, report);
        operator::Operator {
            id: self.id,
            digest,
            role: self.role.into(),
        }
    }
}
