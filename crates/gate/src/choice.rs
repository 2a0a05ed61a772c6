//! Choice of an endpoint for one attempt.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use agate_model::endpoint::Endpoint;
use agate_model::id::EndpointId;

use crate::work::Work;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer, after this time to its first byte.
    Answered(Duration),
    /// The endpoint failed or could not be reached.
    Failed,
    /// The caller went away or a faster attempt won.
    Abandoned,
}

/// Chooses endpoints and learns from attempts.
pub trait Choice {
    /// One of `candidates`, which is not empty, or `None` if none takes work now.
    fn choose(&self, work: &Work, candidates: &[Rc<Endpoint>]) -> Option<Rc<Endpoint>>;

    /// An attempt begins.
    fn begin(&self, endpoint: &EndpointId);

    /// An attempt has ended.
    fn end(&self, endpoint: &EndpointId, outcome: Outcome);

    /// Attempts in flight from this host.
    fn in_flight(&self, endpoint: &EndpointId) -> u32;
}

/// One attempt in flight; dropping it counts as abandoned.
pub struct Flight {
    choice: Rc<dyn Choice>,
    endpoint: Rc<Endpoint>,
    ended: bool,
}

impl Flight {
    /// Begins an attempt.
    pub fn begin(choice: Rc<dyn Choice>, endpoint: Rc<Endpoint>) -> Self {
        choice.begin(&endpoint.id);
        Self {
            choice,
            endpoint,
            ended: false,
        }
    }

    /// Endpoint of the attempt.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Ends the attempt.
    pub fn close(mut self, outcome: Outcome) {
        self.ended = true;
        self.choice.end(&self.endpoint.id, outcome);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.ended {
            self.choice.end(&self.endpoint.id, Outcome::Abandoned);
        }
    }
}

/// Fewest attempts in flight for each slot.
#[derive(Debug, Default)]
pub struct Fewest {
    in_flight: RefCell<HashMap<EndpointId, u32>>,
}

impl Choice for Fewest {
    fn choose(&self, _: &Work, candidates: &[Rc<Endpoint>]) -> Option<Rc<Endpoint>> {
        let load = |it: &&Rc<Endpoint>| {
            let in_flight = u64::from(self.in_flight(&it.id));
            (in_flight << u32::BITS) / u64::from(it.slots.max(1))
        };
        candidates.iter().min_by_key(load).cloned()
    }

    fn begin(&self, endpoint: &EndpointId) {
        *self
            .in_flight
            .borrow_mut()
            .entry(endpoint.clone())
            .or_default() += 1;
    }

    fn end(&self, endpoint: &EndpointId, _: Outcome) {
        let mut in_flight = self.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(endpoint) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(endpoint);
            }
        }
    }

    fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.in_flight.borrow().get(endpoint).copied().unwrap_or(0)
    }
}
