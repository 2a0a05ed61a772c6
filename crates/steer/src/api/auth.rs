//! Authentication of operators by credential, and authorization by role.

use actix_http::StatusCode;
use agate_model::id::OperatorId;
use agate_model::key::Digest;
use agate_model::operator::Role;
use agate_model::snapshot::Snapshot;
use agate_model::version::FRESHNESS_LIMIT;

use crate::api::response::Failure;
use crate::context::Context;

/// Id of the operator whose credential digest is in the settings.
const BOOTSTRAP: &str = "bootstrap";

/// An authenticated operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Id of the operator resource, or `BOOTSTRAP`.
    pub id: OperatorId,
    /// Role at the time of authentication.
    pub role: Role,
    digest: Digest,
    is_bootstrap: bool,
}

impl Operator {
    /// Authenticates the value of an `Authorization` header.
    ///
    /// Fails with 401 without a known credential, and with 503 if this host can't prove that its
    /// configuration is current. The operator from the settings needs no such proof.
    pub fn identify(context: &Context, header: Option<&str>) -> Result<Self, Failure> {
        let credential = header
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(unauthenticated)?;
        let digest = Digest::of(credential.trim().as_bytes());
        let bootstrap = context.settings.bootstrap();
        if bootstrap.is_some_and(|known| known.is_same(&digest)) {
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

    /// Fails with 403 unless the operator has `role` or a higher one.
    pub fn require(&self, role: Role) -> Result<(), Failure> {
        if self.role >= role {
            return Ok(());
        }
        let message = format!("needs the role {role:?}");
        Err(Failure::new(StatusCode::FORBIDDEN, "forbidden", message))
    }

    /// Returns the role in `snapshot`, which may be newer than the one that authenticated the
    /// operator; `None` if the operator doesn't exist there.
    pub fn role_in(&self, snapshot: &Snapshot) -> Option<Role> {
        if self.is_bootstrap {
            return Some(Role::Admin);
        }
        snapshot
            .operator(&self.digest)
            .map(|operator| operator.role)
    }
}

/// Fails unless the configuration is proven current, as a newer change may have withdrawn the
/// credential.
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
