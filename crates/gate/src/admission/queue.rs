//! The queues of this host, one for each list of pools.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use agate_model::endpoint::Kind;
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
pub(super) type QueueKey = Vec<PoolId>;

/// Requests running in one pool, and those that arrived since the last demand report.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) running: u32,
    pub(super) arrivals: u64,
}

/// A queued request, the permit it holds and the channel on which its decision is awaited.
pub(super) struct Waiter {
    pub(super) work: Rc<Work>,
    pub(super) ticket: Rc<Cell<Ticket>>,
    pub(super) decision: oneshot::Sender<Result<Slot, Denial>>,
    pub(super) permit: Option<Permit>,
}

/// Requests of all routes with the same list of pools.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) scheduler: Scheduler,
    pub(super) waiters: SecondaryMap<Ticket, Waiter>,
}

impl Queue {
    /// Returns the number of requests that may start on a kind of endpoint.
    fn waiting(&self, kind: Kind) -> usize {
        let waiters = self.waiters.values();
        match kind {
            Kind::Standard => waiters.len(),
            Kind::Reclaimable => waiters
                .filter(|waiter| waiter.work.class.reclaimable)
                .count(),
        }
    }

    fn first_tier(&self, now: Instant) -> Option<Tier> {
        let classes = self.scheduler.snapshot(now).classes;
        classes
            .iter()
            .find(|class| class.queued > 0)
            .map(|class| class.tier)
    }
}

/// All queues of this host, and counters by pool.
#[derive(Default)]
pub(super) struct Queues {
    pub(super) pools: HashMap<PoolId, Pool>,
    pub(super) by_key: BTreeMap<QueueKey, Queue>,
    round: usize,
}

/// One start in this many goes to the queue next in rotation regardless of tier, so that no queue
/// starves.
const ROTATION_INTERVAL: usize = 10;

impl Queues {
    /// Returns the queues that hold requests and whose endpoints have room, in the order in which
    /// to start from them.
    pub(super) fn startable(&mut self, now: Instant, choice: &dyn Choice) -> Vec<(QueueKey, Room)> {
        let waiting = self
            .by_key
            .iter()
            .filter(|entry| !entry.1.scheduler.is_empty());
        let mut ready: Vec<(&QueueKey, &Queue, Room)> = waiting
            .filter_map(|(key, queue)| {
                let room = choice.room(key, &|kind| queue.waiting(kind))?;
                Some((key, queue, room))
            })
            .collect();
        if ready.len() > 1 {
            self.round += 1;
            let first = self.round % ready.len();
            ready.rotate_left(first);
            if !self.round.is_multiple_of(ROTATION_INTERVAL) {
                ready.sort_by_key(|(_, queue, _)| queue.first_tier(now));
            }
        }
        let keys = ready.into_iter().map(|(key, _, room)| (key.clone(), room));
        keys.collect()
    }
}
