//! Manifest of an operator credential.

use agate_model::finding::Report;
use agate_model::operator;
use serde::{Deserialize, Serialize};

use super::parse_digest;

/// Serialised form of [`operator::Role`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The operator may read.
    Viewer,
    /// The operator may read and change resources.
    Editor,
    /// The operator may also manage operators.
    Admin,
}

/// Serialised form of [`operator::Operator`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator credential.
    pub id: String,
    /// SHA-256 digest of the credential, as 64 hexadecimal digits.
    pub digest: String,
    /// Role that determines what the operator may do.
    pub role: Role,
}

convert_enum!(Role, operator::Role, Viewer, Editor, Admin);

impl From<operator::Operator> for Operator {
    fn from(operator: operator::Operator) -> Self {
        Self {
            id: operator.id,
            digest: hex::encode(operator.digest.0),
            role: operator.role.into(),
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
