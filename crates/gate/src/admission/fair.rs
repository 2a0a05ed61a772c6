//! Admission by tier, with weighted fair sharing between accounts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use agate_model::endpoint::{Endpoint, Kind};
use agate_model::id::PoolId;
use agate_model::refusal::Reason;
use agate_queue::limit::{Excess, Limit, Limiter, Permit};
use agate_queue::{Charge, Item, Offer, Room, Ticket};
use agate_wire::sync::{Demand, Pressure};
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;

use super::queue::{Queue, QueueKey, Queues, Waiter};
use super::{Admission, Cost, Slot};
use crate::choice::Choice;
use crate::config::View;
use crate::refusal::Denial;
use crate::work::Work;

/// Longest delay that a refusal suggests before a retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Receives the decision on a queued request.
type DecisionReceiver = oneshot::Receiver<Result<Slot, Denial>>;

/// Admission control with the scheduler and the account limiter of `agate-queue`.
pub struct FairQueue {
    state: Rc<State>,
}

/// State shared by the queue, its waiting requests and the running ones.
struct State {
    choice: Rc<dyn Choice>,
    view: RefCell<Rc<View>>,
    queues: RefCell<Queues>,
    limiter: RefCell<Limiter>,
}

impl FairQueue {
    /// Creates empty queues whose requests start on the endpoints that `choice` selects.
    pub fn new(choice: Rc<dyn Choice>) -> Self {
        Self {
            state: Rc::new(State {
                choice,
                view: RefCell::default(),
                queues: RefCell::default(),
                limiter: RefCell::default(),
            }),
        }
    }
}

impl Admission for FairQueue {
    fn admit<'a>(&'a self, work: &'a Rc<Work>) -> LocalBoxFuture<'a, Result<Slot, Denial>> {
        Box::pin(self.state.clone().admit(work))
    }

    fn configure(&self, view: Rc<View>) {
        self.state.configure(&view);
        *self.state.view.borrow_mut() = view;
        self.state.dispatch();
    }

    fn wake(&self) {
        self.state.dispatch();
    }

    fn apply_pressure(&self, pressure: &[Pressure], validity: Duration) {
        let until = now() + validity;
        let mut queues = self.state.queues.borrow_mut();
        for (key, queue) in &mut queues.by_key {
            for signal in pressure.iter().filter(|signal| key.contains(&signal.pool)) {
                queue.scheduler.set_floor(signal.floor, until);
            }
        }
    }

    fn demand(&self) -> Vec<Demand> {
        self.state.demand()
    }

    fn pressure(&self) -> Vec<Pressure> {
        let now = now();
        let queues = self.state.queues.borrow();
        let signals = queues.by_key.iter().filter_map(|(key, queue)| {
            let floor = queue.scheduler.pressure(now)?;
            Some(key.iter().map(move |pool| Pressure {
                pool: pool.clone(),
                floor,
            }))
        });
        signals.flatten().collect()
    }
}

impl State {
    async fn admit(self: Rc<Self>, work: &Rc<Work>) -> Result<Slot, Denial> {
        let (entry, decision) = self.clone().enqueue(work)?;
        self.dispatch();
        let deadline = tokio::time::sleep_until(work.deadline);
        let decision = tokio::select! {
            biased;
            decision = decision => decision,
            () = deadline => {
                let message = "the deadline passed in the queue";
                return Err(Denial::new(Reason::DeadlinePassed, message));
            }
        };
        drop(entry);
        // The sender is dropped without a decision only when the whole queue is dropped.
        decision.unwrap_or_else(|_| Err(Denial::new(Reason::ShuttingDown, "the queue is gone")))
    }

    fn enqueue(self: Rc<Self>, work: &Rc<Work>) -> Result<(Entry, DecisionReceiver), Denial> {
        let now = now();
        let key = work.route.pools.clone();
        self.count_arrival(&key);
        if !self.has_usable_endpoint(work) {
            let message = "no endpoint of this route takes new work";
            return Err(Denial::new(Reason::NoEndpoint, message));
        }
        let tokens = work.estimate.units();
        let permit = self.permit(work, now, tokens)?;
        let item = self.item(work, tokens);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.by_key.entry(key.clone()).or_default();
        let (ticket, displaced) = match queue.scheduler.offer(now, item) {
            Offer::Queued { ticket, displaced } => (ticket, displaced),
            Offer::Refused(reason) => {
                let denial = queue_denial(reason, queue, now);
                self.release(permit, 0);
                return Err(denial);
            }
        };
        if let Some(victim) = displaced.and_then(|ticket| queue.waiters.remove(ticket)) {
            let denial = queue_denial(Reason::Shed, queue, now);
            self.release(victim.permit, 0);
            let _ = victim.decision.send(Err(denial));
        }
        let (decision, receiver) = oneshot::channel();
        let shared_ticket = Rc::new(Cell::new(ticket));
        let waiter = Waiter {
            work: work.clone(),
            ticket: shared_ticket.clone(),
            decision,
            permit,
        };
        queue.waiters.insert(ticket, waiter);
        drop(queues);
        let entry = Entry {
            state: self,
            key,
            ticket: shared_ticket,
        };
        Ok((entry, receiver))
    }

    fn count_arrival(&self, key: &QueueKey) {
        let mut queues = self.queues.borrow_mut();
        if let Some(pool) = key.first() {
            queues.pools.entry(pool.clone()).or_default().arrivals += 1;
        }
    }

    fn permit(&self, work: &Work, now: Instant, tokens: u64) -> Result<Option<Permit>, Denial> {
        let Some(id) = work.account() else {
            return Ok(None);
        };
        let view = self.view.borrow();
        let Some(account) = view.snapshot.account(id) else {
            return Err(Denial::new(Reason::KeyInvalid, "the account is gone"));
        };
        let limit = Limit::from(account);
        let admitted = self.limiter.borrow_mut().admit(now, id, &limit, tokens);
        admitted.map(Some).map_err(limit_denial)
    }

    fn item(&self, work: &Work, tokens: u64) -> Item {
        let view = self.view.borrow();
        let account = work.account().and_then(|id| view.snapshot.account(id));
        Item {
            account: work.account().cloned(),
            class: work.class.id.clone(),
            tier: work.class.tier,
            class_weight: work.class.weight,
            account_weight: account.map_or(1, |account| account.weight),
            queue_limit: work.class.queue_limit,
            arrival: work.arrival.into_std(),
            deadline: work.deadline.into_std(),
            start_by: work.arrival.into_std() + work.class.target.first_token,
            work: Duration::ZERO,
            tokens,
            idempotent: work.class.idempotent,
            reclaimable: work.class.reclaimable,
        }
    }

    /// Starts queued requests while endpoints have room.
    fn dispatch(self: &Rc<Self>) {
        while let Some((waiter, slot)) = self.start() {
            // If the receiver is gone, the slot is dropped here and its capacity goes to the next
            // request.
            let _ = waiter.send(Ok(slot));
        }
    }

    fn start(self: &Rc<Self>) -> Option<(oneshot::Sender<Result<Slot, Denial>>, Slot)> {
        let startable = self.queues.borrow_mut().startable(now(), &*self.choice);
        startable
            .into_iter()
            .find_map(|(key, room)| self.start_from(key, room))
    }

    fn start_from(
        self: &Rc<Self>,
        key: QueueKey,
        room: Room,
    ) -> Option<(oneshot::Sender<Result<Slot, Denial>>, Slot)> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.by_key.get_mut(&key)?;
        let start = queue.scheduler.next(now(), room)?;
        let waiter = queue
            .waiters
            .remove(start.ticket)
            .expect("each queued request has a waiter");
        let Some(flight) = self.choice.clone().choose(&waiter.work, start.urgency, &[]) else {
            let ticket = queue.scheduler.put_back(start);
            waiter.ticket.set(ticket);
            queue.waiters.insert(ticket, waiter);
            return None;
        };
        let pool = flight.endpoint().pool.clone();
        queues.pools.entry(pool.clone()).or_default().running += 1;
        let running = Running {
            state: self.clone(),
            key,
            pool,
            charge: start.charge,
            permit: waiter.permit,
        };
        let slot = Slot::new(flight, move |cost| running.close(cost));
        Some((waiter.decision, slot))
    }

    fn release(&self, permit: Option<Permit>, units: u64) {
        if let Some(permit) = permit {
            self.limiter.borrow_mut().release(now(), permit, units);
        }
    }

    fn configure(&self, view: &View) {
        let mut queues = self.queues.borrow_mut();
        queues.pools.retain(|id, pool| {
            pool.running > 0 || pool.arrivals > 0 || !view.endpoints(id).is_empty()
        });
        for (id, _) in view.pools() {
            queues.pools.entry(id.clone()).or_default();
        }
        let routes: Vec<&QueueKey> = view.snapshot.routes().map(|route| &route.pools).collect();
        queues
            .by_key
            .retain(|key, queue| !queue.waiters.is_empty() || routes.contains(&key));
    }

    /// Returns whether a pool of the route has an endpoint that takes new work and that the
    /// request may use.
    fn has_usable_endpoint(&self, work: &Work) -> bool {
        let view = self.view.borrow();
        let usable =
            |endpoint: &Rc<Endpoint>| work.class.reclaimable || endpoint.kind == Kind::Standard;
        let mut pools = work.route.pools.iter();
        pools.any(|pool| view.endpoints(pool).iter().any(usable))
    }

    fn demand(&self) -> Vec<Demand> {
        let now = now();
        let mut queues = self.queues.borrow_mut();
        let mut demand: Vec<Demand> = queues
            .pools
            .iter_mut()
            .map(|(id, pool)| Demand {
                pool: id.clone(),
                arrivals: std::mem::take(&mut pool.arrivals),
                queued: 0,
                running: pool.running,
                oldest_wait_ms: 0,
            })
            .collect();
        for (key, queue) in &queues.by_key {
            let first = key.first();
            let Some(entry) = demand
                .iter_mut()
                .find(|pool_demand| Some(&pool_demand.pool) == first)
            else {
                continue;
            };
            let classes = queue.scheduler.snapshot(now).classes;
            let oldest = classes
                .iter()
                .map(|class| class.oldest)
                .max()
                .unwrap_or_default();
            entry.queued += u32::try_from(queue.scheduler.len()).unwrap_or(u32::MAX);
            let oldest_ms = u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX);
            entry.oldest_wait_ms = entry.oldest_wait_ms.max(oldest_ms);
        }
        demand
    }
}

/// A request in the queue; dropping it removes the request unless it has started.
struct Entry {
    state: Rc<State>,
    key: QueueKey,
    ticket: Rc<Cell<Ticket>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut queues = self.state.queues.borrow_mut();
        let Some(queue) = queues.by_key.get_mut(&self.key) else {
            return;
        };
        let ticket = self.ticket.get();
        let Some(waiter) = queue.waiters.remove(ticket) else {
            return;
        };
        queue.scheduler.remove(ticket);
        drop(queues);
        self.state.release(waiter.permit, 0);
    }
}

/// What a started request holds: its charge in the scheduler, its count in the pool and its
/// permit of the account.
struct Running {
    state: Rc<State>,
    key: QueueKey,
    pool: PoolId,
    charge: Charge,
    permit: Option<Permit>,
}

impl Running {
    fn close(self, cost: Cost) {
        let units = cost.units();
        let mut queues = self.state.queues.borrow_mut();
        if let Some(queue) = queues.by_key.get_mut(&self.key) {
            queue.scheduler.settle(self.charge, units);
        }
        if let Some(pool) = queues.pools.get_mut(&self.pool) {
            pool.running = pool.running.saturating_sub(1);
        }
        drop(queues);
        self.state.release(self.permit, units);
        self.state.dispatch();
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn limit_denial(excess: Excess) -> Denial {
    let message = match excess.reason {
        Reason::AccountConcurrency => "the account has too many requests running or queued",
        _ => "the account exceeds its rate",
    };
    Denial::new(excess.reason, message).retry_after(excess.retry_after)
}

/// Returns a denial whose retry delay is the time to work off the present queue at the present
/// start rate, at most [`MAX_RETRY_AFTER`].
fn queue_denial(reason: Reason, queue: &Queue, now: Instant) -> Denial {
    let message = match reason {
        Reason::Shed => "work of a higher tier took the place in the queue",
        Reason::QueueFull => "the queue of the class is full",
        Reason::DeadlineUnreachable => "the deadline can't be met",
        Reason::DeadlinePassed => "the deadline has passed",
        _ => "the queue takes no request of this class",
    };
    let rate = queue
        .scheduler
        .snapshot(now)
        .starts_per_second
        .unwrap_or(0.0);
    let seconds = queue.scheduler.len() as f64 / rate.max(0.1);
    let delay = Duration::from_secs_f64(seconds).min(MAX_RETRY_AFTER);
    Denial::new(reason, message).retry_after(delay)
}
