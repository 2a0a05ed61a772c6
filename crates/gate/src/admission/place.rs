//! Queues of this host, one for each list of pools.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use agate_model::id::{PoolId, Tier};
use agate_queue::limit::Permit;
use agate_queue::{Room, Scheduler, Ticket};
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::Slot;
use crate::choice::Choice;
use crate::refusal::Denial;
use crate::work::Work;

/// Pools in order of preference. Routes with the same list share a queue.
pub(super) type LaneKey = Vec<PoolId>;

/// Counters of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) running: u32,
    pub(super) arrivals: u64,
}

/// A queued request and where its verdict is awaited.
pub(super) struct Waiter {
    pub(super) work: Rc<Work>,
    pub(super) ticket: Rc<Cell<Ticket>>,
    pub(super) verdict: oneshot::Sender<Result<Slot, Denial>>,
    pub(super) permit: Option<Permit>,
}

/// Queue of the requests with one key.
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

/// All lanes, and counters of the pools.
#[derive(Default)]
pub(super) struct Places {
    pub(super) pools: HashMap<PoolId, Pool>,
    pub(super) lanes: BTreeMap<LaneKey, Lane>,
    turn: usize,
}

/// Every so many starts lanes take turns whatever their tiers are, so that none starves.
const TURN: usize = 10;

impl Places {
    /// Lanes with queued work and endpoints that have room, the one to start from first.
    pub(super) fn startable(&mut self, now: Instant, choice: &dyn Choice) -> Vec<(LaneKey, Room)> {
        let waiting = self.lanes.iter().filter(|it| !it.1.scheduler.is_empty());
        let mut ready: Vec<(&LaneKey, &Lane, Room)> = waiting
            .filter_map(|(key, lane)| Some((key, lane, choice.room(key)?)))
            .collect();
        if ready.len() > 1 {
            self.turn += 1;
            let first = self.turn % ready.len();
            ready.rotate_left(first);
            if !self.turn.is_multiple_of(TURN) {
                ready.sort_by_key(|(_, lane, _)| lane.first_tier(now));
            }
        }
        let keys = ready.into_iter().map(|(key, _, room)| (key.clone(), room));
        keys.collect()
    }
}
