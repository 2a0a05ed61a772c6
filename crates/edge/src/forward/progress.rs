//! Bookkeeping of the attempts for one request.

use actix_http::StatusCode;
use agate_model::id::EndpointId;

use super::Attempt;
use crate::refusal::{Reason, Refusal};

/// Attempts made for one request so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Endpoints of earlier attempts, which are not chosen again.
    pub(super) tried: Vec<EndpointId>,
    /// Number of attempts, including those that sent nothing.
    pub(super) attempts: u32,
    /// Number of attempts that may have sent a byte of the request.
    pub(super) sends: u32,
    /// Whether an endpoint may have run the request.
    pub(super) may_have_run: bool,
}

impl Progress {
    /// Records the result of an attempt.
    pub(super) fn record(&mut self, endpoint: EndpointId, attempt: &Attempt) {
        self.tried.push(endpoint);
        self.attempts += 1;
        if !matches!(attempt, Attempt::Unsent) {
            self.sends += 1;
        }
        if !matches!(attempt, Attempt::Unsent | Attempt::Declined) {
            self.may_have_run = true;
        }
    }

    /// Replaces a refusal that states "not run" by one that states nothing if an endpoint may
    /// have run the request.
    pub(super) fn adjust(&self, refusal: Refusal) -> Refusal {
        let means_not_run = refusal.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        if means_not_run && self.may_have_run {
            return Refusal::new(Reason::EndpointFailed);
        }
        refusal
    }
}
