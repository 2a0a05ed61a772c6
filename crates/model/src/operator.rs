//! Operators of the resource API and their credentials.

use crate::id::OperatorId;
use crate::key::Digest;

/// Permissions of an operator; each role includes those of the roles before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Permits reading resources, status and usage.
    Viewer,
    /// Also permits changing resources.
    Editor,
    /// Also permits managing operators.
    Admin,
}

/// A person or script that uses the resource API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator credential.
    pub id: OperatorId,
    /// Digest of the credential.
    pub digest: Digest,
    /// Permissions of the operator.
    pub role: Role,
}
