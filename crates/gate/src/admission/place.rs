//! Places of this host in pools, and the lanes that share them.

use std::collections::BTreeMap;
use std::time::Instant;

use agate_model::id::{PoolId, Tier};
use agate_queue::limit::Permit;
use agate_queue::{Scheduler, Ticket};
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::Slot;
use crate::refusal::Denial;

/// Lists of pools, in order of preference; routes with the same list share a lane.
pub(super) type LaneKey = Vec<PoolId>;

/// Places of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) capacity: u32,
    pub(super) running: u32,
    pub(super) arrivals: u64,
}

impl Pool {
    fn is_free(&self) -> bool {
        self.running < self.capacity
    }
}

/// A queued request's end of the line.
pub(super) struct Waiter {
    pub(super) verdict: oneshot::Sender<Result<Slot, Denial>>,
    pub(super) permit: Option<Permit>,
}

/// Queue of the routes with one list of pools.
#[derive(Default)]
pub(super) struct Lane {
    pub(super) scheduler: Scheduler,
    pub(super) waiters: SecondaryMap<Ticket, Waiter>,
}

impl Lane {
    fn first_tier(&self, now: Instant) -> Option<Tier> {
        let classes = self.scheduler.snapshot(now).classes;
        classes.iter().find(|it| it.queued > 0).map(|it| it.tier)
    }
}

/// All pools and lanes.
#[derive(Default)]
pub(super) struct Places {
    pub(super) pools: BTreeMap<PoolId, Pool>,
    pub(super) lanes: BTreeMap<LaneKey, Lane>,
    turn: usize,
}

/// Every so many starts lanes take turns whatever their tiers are, so that none starves.
const TURN: usize = 10;

impl Places {
    /// A lane with queued work and the pool in which its next request may run.
    pub(super) fn startable(&mut self, now: Instant) -> Option<(LaneKey, PoolId)> {
        let mut ready: Vec<(&LaneKey, &Lane, PoolId)> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.scheduler.is_empty())
            .filter_map(|(key, lane)| Some((key, lane, self.free(key)?)))
            .collect();
        if ready.len() > 1 {
            self.turn += 1;
            let first = self.turn % ready.len();
            ready.rotate_left(first);
            if !self.turn.is_multiple_of(TURN) {
                ready.sort_by_key(|(_, lane, _)| lane.first_tier(now));
            }
        }
        let (key, _, pool) = ready.into_iter().next()?;
        Some((key.clone(), pool))
    }

    fn free(&self, pools: &[PoolId]) -> Option<PoolId> {
        let free = |id: &&PoolId| self.pools.get(*id).is_some_and(Pool::is_free);
        pools.iter().find(free).cloned()
    }

    /// Whether some pool of the list has endpoints.
    pub(super) fn is_served(&self, pools: &[PoolId]) -> bool {
        let served = |id: &PoolId| self.pools.get(id).is_some_and(|pool| pool.capacity > 0);
        pools.iter().any(served)
    }
}
