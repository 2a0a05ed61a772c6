//! Admission: which request starts when.

mod fair;
mod place;

pub use fair::Fair;

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::PoolId;
use agate_wire::sync::{Demand, Pressure};
use futures_util::future::LocalBoxFuture;

use crate::choice::Flight;
use crate::config::View;
use crate::refusal::Denial;
use crate::work::Work;

/// What the admitted work turned out to cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub answer_tokens: u64,
}

impl Cost {
    /// Units that accounts share. A call without tokens counts as one.
    pub fn units(self) -> u64 {
        (self.prompt_tokens + self.answer_tokens).max(1)
    }
}

/// A started request. Dropping it frees its place.
pub struct Slot {
    pool: PoolId,
    flight: Option<Flight>,
    release: Option<Box<dyn FnOnce(Cost)>>,
    cost: Cost,
}

impl Slot {
    /// A place on the endpoint of `flight`; `release` is called once, with the cost.
    pub fn new(flight: Flight, release: impl FnOnce(Cost) + 'static) -> Self {
        Self {
            pool: flight.endpoint().pool.clone(),
            flight: Some(flight),
            release: Some(Box::new(release)),
            cost: Cost::default(),
        }
    }

    /// Pool in which the request was started.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// The endpoint that was chosen for the first attempt, once.
    pub fn take_flight(&mut self) -> Option<Flight> {
        self.flight.take()
    }

    /// Notes the cost so far.
    pub fn charge(&mut self, cost: Cost) {
        self.cost = cost;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The endpoint must be free again when the next request is started.
        drop(self.flight.take());
        if let Some(release) = self.release.take() {
            release(self.cost);
        }
    }
}

/// Decides which request starts when.
pub trait Admission {
    /// Waits for a place. Dropping the future gives the place in the queue up.
    fn admit<'a>(&'a self, work: &'a Rc<Work>) -> LocalBoxFuture<'a, Result<Slot, Denial>>;

    /// A new configuration is in force. The choice knows it already.
    fn configure(&self, view: Rc<View>);

    /// Endpoints may have room again.
    fn wake(&self);

    /// Peers have signalled pressure that counts for `validity`.
    fn press(&self, pressure: &[Pressure], validity: Duration);

    /// Demand since the last call.
    fn demand(&self) -> Vec<Demand>;

    /// Pressure to signal to peers.
    fn pressure(&self) -> Vec<Pressure>;
}
