//! Admission: which request starts when.

mod estimate;
mod fair;
mod place;

pub use fair::Fair;

use std::time::Duration;

use agate_model::id::PoolId;
use agate_wire::sync::{Demand, Pressure};
use futures_util::future::LocalBoxFuture;

use crate::config::View;
use crate::refusal::Denial;
use crate::work::Work;

/// Places of all hosts together, as a multiple of the slots of a pool. Callers
/// do not spread evenly over hosts, and engines order what they queue by priority.
const OVERSUBSCRIPTION: u32 = 2;

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
    release: Option<Box<dyn FnOnce(Cost)>>,
    cost: Cost,
}

impl Slot {
    /// A place in `pool`; `release` is called once, with the cost.
    pub fn new(pool: PoolId, release: impl FnOnce(Cost) + 'static) -> Self {
        Self {
            pool,
            release: Some(Box::new(release)),
            cost: Cost::default(),
        }
    }

    /// Pool in which the request was started.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Notes the cost so far.
    pub fn charge(&mut self, cost: Cost) {
        self.cost = cost;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release(self.cost);
        }
    }
}

/// Decides which request starts when.
pub trait Admission {
    /// Waits for a place. Dropping the future gives the place in the queue up.
    fn admit<'a>(&'a self, work: &'a Work) -> LocalBoxFuture<'a, Result<Slot, Denial>>;

    /// A new configuration or number of live hosts is in force.
    fn configure(&self, view: std::rc::Rc<View>, live_hosts: u32);

    /// Peers have signalled pressure that counts for `validity`.
    fn press(&self, pressure: &[Pressure], validity: Duration);

    /// Demand since the last call.
    fn demand(&self) -> Vec<Demand>;

    /// Pressure to signal to peers.
    fn pressure(&self) -> Vec<Pressure>;
}

/// Places of this host in a pool with this many slots, at least one.
pub fn share(slots: u32, live_hosts: u32) -> u32 {
    let places = slots.saturating_mul(OVERSUBSCRIPTION);
    places.div_ceil(live_hosts.max(1)).min(slots).max(1)
}
