//! Credentials and permissions of operators.

use actix_http::StatusCode;
use agate_model::id::OperatorId;
use agate_model::key::Digest;
use agate_model::operator::Role;
use agate_model::snapshot::Snapshot;
use agate_model::version::FRESHNESS_LIMIT;

use crate::api::answer::Failure;
use crate::context::Context;

/// Name of the operator whose digest stands in the settings.
const BOOTSTRAP: &str = "bootstrap";

/// An operator whose credential was checked.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name.
    pub id: OperatorId,
    /// Permissions.
    pub role: Role,
    digest: Digest,
    is_bootstrap: bool,
}

impl Caller {
    /// Checks the value of an `Authorization` header.
    pub fn identify(context: &Context, header: Option<&str>) -> Result<Self, Failure> {
        let credential = header
            .and_then(|it| it.strip_prefix("Bearer "))
            .ok_or_else(unauthenticated)?;
        let digest = Digest::of(credential.trim().as_bytes());
        let bootstrap = context.settings.bootstrap();
        if bootstrap.is_some_and(|it| it.is_same(&digest)) {
            return Ok(Self {
                id: BOOTSTRAP.to_owned(),
                role: Role::Admin,
                digest,
                is_bootstrap: true,
            });
        }
        let snapshot = context.copy.snapshot();
        let operator = snapshot.operator(&digest).ok_or_else(unauthenticated)?;
        require_current(context)?;
        Ok(Self {
            id: operator.id.clone(),
            role: operator.role,
            digest,
            is_bootstrap: false,
        })
    }

    /// Fails unless the role suffices.
    pub fn require(&self, role: Role) -> Result<(), Failure> {
        if self.role >= role {
            return Ok(());
        }
        let message = format!("needs the role {role:?}");
        Err(Failure::new(StatusCode::FORBIDDEN, "forbidden", message))
    }

    /// Role in a given configuration, which may be newer than the one that identified the caller.
    pub fn role_in(&self, snapshot: &Snapshot) -> Option<Role> {
        if self.is_bootstrap {
            return Some(Role::Admin);
        }
        snapshot.operator(&self.digest).map(|it| it.role)
    }
}

/// A credential may have been withdrawn by a change that this host has not seen.
fn require_current(context: &Context) -> Result<(), Failure> {
    match context.copy.proof_age() {
        Some(age) if age <= FRESHNESS_LIMIT => Ok(()),
        _ => Err(Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "config_stale",
            "this host cannot show that its configuration is current",
        )),
    }
}

fn unauthenticated() -> Failure {
    Failure::new(
        StatusCode::UNAUTHORIZED,
        "unauthenticated",
        "needs Authorization: Bearer <credential of an operator>",
    )
}
