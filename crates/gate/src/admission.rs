//! Admission control: decides when each accepted request starts.

mod fair;
mod queue;

pub use fair::FairQueue;

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::PoolId;
use agate_wire::sync::{Demand, Pressure};
use futures_util::future::LocalBoxFuture;

use crate::choice::Flight;
use crate::config::View;
use crate::refusal::Denial;
use crate::work::Work;

/// Tokens that a request uses, as an estimate before it starts or as a measurement afterwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens of the prompt; zero for calls of plain services.
    pub prompt_tokens: u64,
    /// Tokens of the response; zero for calls of plain services.
    pub answer_tokens: u64,
}

impl Cost {
    /// Returns the units by which capacity is shared between accounts: all tokens, at least one
    /// so that a call without tokens counts.
    pub fn units(self) -> u64 {
        (self.prompt_tokens + self.answer_tokens).max(1)
    }
}

/// Permission to run one request. Dropping it releases the capacity that the request holds.
pub struct Slot {
    pool: PoolId,
    flight: Option<Flight>,
    release: Option<Box<dyn FnOnce(Cost)>>,
    cost: Cost,
}

impl Slot {
    /// Creates a slot on the endpoint of `flight`. `release` is called once, with the final cost,
    /// when the slot is dropped.
    pub fn new(flight: Flight, release: impl FnOnce(Cost) + 'static) -> Self {
        Self {
            pool: flight.endpoint().pool.clone(),
            flight: Some(flight),
            release: Some(Box::new(release)),
            cost: Cost::default(),
        }
    }

    /// Returns the pool of the endpoint that was chosen for the first attempt.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Returns the endpoint chosen for the first attempt; `None` on every call but the first.
    pub fn take_flight(&mut self) -> Option<Flight> {
        self.flight.take()
    }

    /// Sets the cost that is charged when the slot is dropped.
    pub fn charge(&mut self, cost: Cost) {
        self.cost = cost;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // `release` may start the next request, so the endpoint must be free before it is called.
        drop(self.flight.take());
        if let Some(release) = self.release.take() {
            release(self.cost);
        }
    }
}

/// Queues requests and starts them when an endpoint has room.
pub trait Admission {
    /// Waits until the request may start. Dropping the future removes it from the queue.
    fn admit<'a>(&'a self, work: &'a Rc<Work>) -> LocalBoxFuture<'a, Result<Slot, Denial>>;

    /// Applies a new configuration. [`Choice::configure`](crate::choice::Choice::configure) must
    /// have been called with it before.
    fn configure(&self, view: Rc<View>);

    /// Starts queued requests after endpoints may have gained room.
    fn wake(&self);

    /// Applies the tiers that peers shed in their pools, for `validity` from now: classes of lower
    /// tiers queue at most one request in those pools.
    fn apply_pressure(&self, pressure: &[Pressure], validity: Duration);

    /// Returns the demand of each pool and resets the count of arrivals.
    fn demand(&self) -> Vec<Demand>;

    /// Returns, for each pool, the highest tier of which this host has recently shed a request.
    /// Pools where none was shed are left out.
    fn pressure(&self) -> Vec<Pressure>;
}
