//! Cancellation of requests on engines whose response is no longer needed.

use std::rc::Rc;

use agate_model::endpoint::{Endpoint, Protocol};
use agate_model::id::RequestId;

use super::source;
use crate::gate::Gate;
use crate::work::{Kind, Work};

/// Cancels a request on its engine when dropped without [`Cancel::close`].
pub struct Cancel {
    gate: Rc<Gate>,
    endpoint: Rc<Endpoint>,
    attempt: RequestId,
    class: String,
    armed: bool,
}

impl Cancel {
    /// Creates the guard of an attempt that is about to be sent. It does nothing for calls of plain
    /// services, which can't be cancelled.
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

    /// Returns the request ID that was sent to the engine.
    pub fn attempt(&self) -> &RequestId {
        &self.attempt
    }

    /// Disarms the guard because the attempt has ended.
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
