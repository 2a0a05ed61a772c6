//! Slots held at endpoints.

use std::cell::Cell;

use agate_queue::Charge;
use tokio::time::Instant;

use super::Forwarder;
use super::acquire::Acquired;
use super::admit::Call;
use crate::balancer::{Assignment, Outcome};
use crate::metrics::count;

/// A slot held at an endpoint. Dropping it releases the slot; without a call of `close` the
/// attempt counts as abandoned by the caller.
pub(super) struct Reservation<'a> {
    forwarder: &'a Forwarder,
    call: &'a Call,
    assignment: Assignment,
    charge: Option<Charge>,
    outcome: Outcome,
    /// Whether the outcome says nothing of the endpoint's health: it has asked for a pause, or the
    /// request was withheld.
    pub(super) is_excused: Cell<bool>,
    /// When the request was assigned.
    pub(super) created_at: Instant,
}

impl<'a> Reservation<'a> {
    pub(super) fn new(forwarder: &'a Forwarder, call: &'a Call, acquired: Acquired) -> Self {
        Self {
            forwarder,
            call,
            assignment: acquired.assignment,
            charge: acquired.charge,
            outcome: Outcome::Abandoned,
            is_excused: Cell::new(false),
            created_at: Instant::now(),
        }
    }

    pub(super) fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Releases the slot with this outcome.
    pub(super) fn close(mut self, outcome: Outcome) {
        self.outcome = match outcome {
            Outcome::Full | Outcome::Failed | Outcome::Unreached if self.is_excused.get() => {
                Outcome::Excused
            }
            outcome => outcome,
        };
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let edge = &self.forwarder.edge;
        let outcome = match self.outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Unreached => "unreached",
            Outcome::Full => "full",
            Outcome::Excused => "excused",
            Outcome::Abandoned => "abandoned",
        };
        count(&edge.metrics.attempts, outcome);
        if let Some(charge) = self.charge.take() {
            let used = match self.outcome {
                Outcome::Unreached | Outcome::Full | Outcome::Excused => 0,
                Outcome::Answered | Outcome::Failed | Outcome::Abandoned => charge.tokens(),
            };
            self.forwarder
                .edge
                .queue(&self.call.service)
                .settle(charge, used);
        }
        self.forwarder
            .release(self.call, &self.assignment, self.outcome);
    }
}
