//! Cancellation of work on engines that nobody waits for any more.

use std::rc::Rc;

use agate_model::endpoint::{Endpoint, Protocol};
use agate_model::id::RequestId;

use super::source;
use crate::gate::Gate;
use crate::work::{Kind, Work};

/// Cancels the request on its engine when dropped, unless it was closed before.
pub struct Cancel {
    gate: Rc<Gate>,
    endpoint: Rc<Endpoint>,
    attempt: RequestId,
    class: String,
    armed: bool,
}

impl Cancel {
    /// For an attempt that is about to be sent. Calls of plain services can't be cancelled.
    pub fn new(gate: Rc<Gate>, work: &Work, endpoint: Rc<Endpoint>, attempt: RequestId) -> Self {
        let armed = endpoint.protocol == Protocol::Engine && work.kind != Kind::Plain;
        Self {
            gate,
            endpoint,
            attempt,
            class: work.class.id.clone(),
            armed,
        }
    }

    /// Identity under which the engine knows the request.
    pub fn attempt(&self) -> &RequestId {
        &self.attempt
    }

    /// The attempt has ended; there is nothing to cancel.
    pub fn close(mut self) {
        self.armed = false;
    }
}

impl Drop for Cancel {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        self.gate.metrics.cancelled(&self.class);
        tracing::info!(event = "cancelled", request = %self.attempt, endpoint = %self.endpoint.id);
        let gate = self.gate.clone();
        let endpoint = self.endpoint.clone();
        let attempt = self.attempt.clone();
        actix_rt::spawn(async move {
            source::cancel(&gate.client, &endpoint, &attempt).await;
        });
    }
}
