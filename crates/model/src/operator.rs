//! Credentials of operators.

use crate::id::OperatorId;
use crate::key::Digest;

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads resources, status and usage.
    Viewer,
    /// Also changes resources.
    Editor,
    /// Also manages operators.
    Admin,
}

/// A person or script that drives the resource API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name.
    pub id: OperatorId,
    /// Digest of the credential.
    pub digest: Digest,
    /// Permissions.
    pub role: Role,
}
