//! Admission: which request starts when.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use agate_model::id::{ClassId, PoolId};
use agate_model::refusal::Reason;
use agate_wire::sync::{Demand, Pressure};
use futures_util::future::LocalBoxFuture;
use tokio::sync::Semaphore;
use tokio::time::Instant;

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

/// A started request. Dropping it frees its place.
pub struct Slot {
    /// Pool in which the request was started.
    pub pool: PoolId,
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
    fn configure(&self, view: &View, live_hosts: u32);

    /// Demand since the last call.
    fn demand(&self) -> Vec<Demand>;

    /// Pressure to signal to peers.
    fn pressure(&self) -> Vec<Pressure>;
}

/// Places of this host in a pool: its share of all slots, at least one.
pub fn share(slots: u32, live_hosts: u32) -> u32 {
    slots.div_ceil(live_hosts.max(1)).max(1)
}

#[derive(Debug)]
struct Lane {
    places: Arc<Semaphore>,
    capacity: Cell<usize>,
    deficit: Cell<usize>,
    arrivals: Cell<u64>,
    running: Cell<u32>,
    waiting: RefCell<BTreeMap<u64, Instant>>,
    next: Cell<u64>,
}

impl Lane {
    fn new(capacity: usize) -> Self {
        Self {
            places: Arc::new(Semaphore::new(capacity)),
            capacity: Cell::new(capacity),
            deficit: Cell::new(0),
            arrivals: Cell::new(0),
            running: Cell::new(0),
            waiting: RefCell::default(),
            next: Cell::new(0),
        }
    }

    fn resize(&self, capacity: usize) {
        let before = self.capacity.replace(capacity);
        if capacity > before {
            let grown = capacity - before;
            let owed = self.deficit.get().min(grown);
            self.deficit.set(self.deficit.get() - owed);
            self.places.add_permits(grown - owed);
        } else {
            let excess = before - capacity;
            let taken = self.places.forget_permits(excess);
            self.deficit.set(self.deficit.get() + excess - taken);
        }
    }

    fn release(&self) {
        self.running.set(self.running.get() - 1);
        if self.deficit.get() > 0 {
            self.deficit.set(self.deficit.get() - 1);
        } else {
            self.places.add_permits(1);
        }
    }

    fn wait(self: &Rc<Self>) -> Waiting {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        self.waiting.borrow_mut().insert(ticket, Instant::now());
        Waiting {
            lane: self.clone(),
            ticket,
        }
    }

    fn demand(&self, pool: &PoolId) -> Demand {
        let waiting = self.waiting.borrow();
        let oldest = waiting
            .values()
            .next()
            .map(Instant::elapsed)
            .unwrap_or_default();
        Demand {
            pool: pool.clone(),
            arrivals: self.arrivals.replace(0),
            queued: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
            running: self.running.get(),
            oldest_wait_ms: u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

struct Waiting {
    lane: Rc<Lane>,
    ticket: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.lane.waiting.borrow_mut().remove(&self.ticket);
    }
}

/// First come, first served in each pool.
#[derive(Debug, Default)]
pub struct Fifo {
    lanes: RefCell<BTreeMap<PoolId, Rc<Lane>>>,
    queued: RefCell<HashMap<ClassId, u32>>,
}

impl Fifo {
    fn lane(&self, work: &Work) -> Option<(PoolId, Rc<Lane>)> {
        let lanes = self.lanes.borrow();
        let mut known = work
            .route
            .pools
            .iter()
            .filter_map(|pool| lanes.get_key_value(pool));
        let free = known
            .clone()
            .find(|(_, lane)| lane.places.available_permits() > 0);
        let (pool, lane) = free.or_else(|| known.next())?;
        Some((pool.clone(), lane.clone()))
    }

    async fn wait(&self, work: &Work) -> Result<Slot, Denial> {
        let Some((pool, lane)) = self.lane(work) else {
            let message = "no endpoint of this route takes new work";
            return Err(Denial::new(Reason::NoEndpoint, message));
        };
        lane.arrivals.set(lane.arrivals.get() + 1);
        let _queued = Queued::enter(self, work)?;
        let waiting = lane.wait();
        let place = tokio::time::timeout_at(work.deadline, lane.places.clone().acquire_owned());
        let Ok(place) = place.await else {
            let message = "the deadline passed in the queue";
            return Err(Denial::new(Reason::DeadlinePassed, message));
        };
        drop(waiting);
        // The semaphore is never closed.
        if let Ok(place) = place {
            place.forget();
        }
        lane.running.set(lane.running.get() + 1);
        Ok(Slot::new(pool, move |_| lane.release()))
    }
}

struct Queued<'a> {
    fifo: &'a Fifo,
    class: &'a ClassId,
}

impl<'a> Queued<'a> {
    fn enter(fifo: &'a Fifo, work: &'a Work) -> Result<Self, Denial> {
        let mut queued = fifo.queued.borrow_mut();
        let count = queued.entry(work.class.id.clone()).or_default();
        if *count >= work.class.queue_limit {
            return Err(Denial::new(
                Reason::QueueFull,
                "the queue of the class is full",
            ));
        }
        *count += 1;
        Ok(Self {
            fifo,
            class: &work.class.id,
        })
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.fifo.queued.borrow_mut().get_mut(self.class) {
            *count -= 1;
        }
    }
}

impl Admission for Fifo {
    fn admit<'a>(&'a self, work: &'a Work) -> LocalBoxFuture<'a, Result<Slot, Denial>> {
        Box::pin(self.wait(work))
    }

    fn configure(&self, view: &View, live_hosts: u32) {
        let mut lanes = self.lanes.borrow_mut();
        lanes.retain(|pool, _| !view.endpoints(pool).is_empty());
        for (pool, endpoints) in view.pools() {
            let slots = endpoints.iter().map(|it| it.slots).sum();
            let capacity = share(slots, live_hosts) as usize;
            match lanes.get(pool) {
                Some(lane) => lane.resize(capacity),
                None => {
                    lanes.insert(pool.clone(), Rc::new(Lane::new(capacity)));
                }
            }
        }
    }

    fn demand(&self) -> Vec<Demand> {
        let lanes = self.lanes.borrow();
        lanes.iter().map(|(pool, lane)| lane.demand(pool)).collect()
    }

    fn pressure(&self) -> Vec<Pressure> {
        Vec::new()
    }
}
