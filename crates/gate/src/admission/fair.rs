//! Admission by tiers, with fair shares between accounts.

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

use super::place::{Lane, LaneKey, Places, Waiter};
use super::{Admission, Cost, Slot};
use crate::choice::Choice;
use crate::config::View;
use crate::refusal::Denial;
use crate::work::Work;

const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

type Verdict = oneshot::Receiver<Result<Slot, Denial>>;

/// Admission by the scheduler and limiter of `agate-queue`.
pub struct Fair {
    state: Rc<State>,
}

struct State {
    choice: Rc<dyn Choice>,
    view: RefCell<Rc<View>>,
    places: RefCell<Places>,
    limiter: RefCell<Limiter>,
}

impl Fair {
    /// Starts requests on the endpoints that `choice` finds.
    pub fn new(choice: Rc<dyn Choice>) -> Self {
        Self {
            state: Rc::new(State {
                choice,
                view: RefCell::default(),
                places: RefCell::default(),
                limiter: RefCell::default(),
            }),
        }
    }
}

impl Admission for Fair {
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

    fn press(&self, pressure: &[Pressure], validity: Duration) {
        let until = now() + validity;
        let mut places = self.state.places.borrow_mut();
        for (key, lane) in &mut places.lanes {
            for it in pressure.iter().filter(|it| key.contains(&it.pool)) {
                lane.scheduler.set_floor(it.floor, until);
            }
        }
    }

    fn demand(&self) -> Vec<Demand> {
        self.state.demand()
    }

    fn pressure(&self) -> Vec<Pressure> {
        let now = now();
        let places = self.state.places.borrow();
        let lanes = places.lanes.iter().filter_map(|(key, lane)| {
            let floor = lane.scheduler.pressure(now)?;
            Some(key.iter().map(move |pool| Pressure {
                pool: pool.clone(),
                floor,
            }))
        });
        lanes.flatten().collect()
    }
}

impl State {
    async fn admit(self: Rc<Self>, work: &Rc<Work>) -> Result<Slot, Denial> {
        let (place, verdict) = self.clone().enter(work)?;
        self.dispatch();
        let deadline = tokio::time::sleep_until(work.deadline);
        let verdict = tokio::select! {
            biased;
            verdict = verdict => verdict,
            () = deadline => {
                let message = "the deadline passed in the queue";
                return Err(Denial::new(Reason::DeadlinePassed, message));
            }
        };
        drop(place);
        // The sender is dropped without a verdict only together with the whole queue.
        verdict.unwrap_or_else(|_| Err(Denial::new(Reason::ShuttingDown, "the queue is gone")))
    }

    fn enter(self: Rc<Self>, work: &Rc<Work>) -> Result<(Place, Verdict), Denial> {
        let now = now();
        let key = work.route.pools.clone();
        self.note_arrival(&key);
        if !self.is_served(work) {
            let message = "no endpoint of this route takes new work";
            return Err(Denial::new(Reason::NoEndpoint, message));
        }
        let tokens = work.estimate.units();
        let permit = self.permit(work, now, tokens)?;
        let item = self.item(work, tokens);
        let mut places = self.places.borrow_mut();
        let lane = places.lanes.entry(key.clone()).or_default();
        let (ticket, displaced) = match lane.scheduler.offer(now, item) {
            Offer::Queued { ticket, displaced } => (ticket, displaced),
            Offer::Refused(reason) => {
                let denial = refused(reason, lane, now);
                self.release(permit, 0);
                return Err(denial);
            }
        };
        if let Some(victim) = displaced.and_then(|it| lane.waiters.remove(it)) {
            let denial = refused(Reason::Shed, lane, now);
            self.release(victim.permit, 0);
            let _ = victim.verdict.send(Err(denial));
        }
        let (verdict, receiver) = oneshot::channel();
        let shared = Rc::new(Cell::new(ticket));
        let waiter = Waiter {
            work: work.clone(),
            ticket: shared.clone(),
            verdict,
            permit,
        };
        lane.waiters.insert(ticket, waiter);
        drop(places);
        let place = Place {
            state: self,
            key,
            ticket: shared,
        };
        Ok((place, receiver))
    }

    fn note_arrival(&self, key: &LaneKey) {
        let mut places = self.places.borrow_mut();
        if let Some(pool) = key.first() {
            places.pools.entry(pool.clone()).or_default().arrivals += 1;
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
        admitted.map(Some).map_err(excess)
    }

    fn item(&self, work: &Work, tokens: u64) -> Item {
        let view = self.view.borrow();
        let account = work.account().and_then(|id| view.snapshot.account(id));
        Item {
            account: work.account().cloned(),
            class: work.class.id.clone(),
            tier: work.class.tier,
            class_weight: work.class.weight,
            account_weight: account.map_or(1, |it| it.weight),
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

    /// Starts queued requests while there are free places.
    fn dispatch(self: &Rc<Self>) {
        while let Some((waiter, slot)) = self.start() {
            // A receiver that is gone hands the slot back, and its place is used next.
            let _ = waiter.send(Ok(slot));
        }
    }

    fn start(self: &Rc<Self>) -> Option<(oneshot::Sender<Result<Slot, Denial>>, Slot)> {
        let lanes = self.places.borrow_mut().startable(now(), &*self.choice);
        lanes
            .into_iter()
            .find_map(|(key, room)| self.start_from(key, room))
    }

    fn start_from(
        self: &Rc<Self>,
        key: LaneKey,
        room: Room,
    ) -> Option<(oneshot::Sender<Result<Slot, Denial>>, Slot)> {
        let mut places = self.places.borrow_mut();
        let lane = places.lanes.get_mut(&key)?;
        let start = lane.scheduler.next(now(), room)?;
        let waiter = lane
            .waiters
            .remove(start.ticket)
            .expect("each queued request has a waiter");
        let Some(flight) = self.choice.clone().choose(&waiter.work, start.urgency, &[]) else {
            let ticket = lane.scheduler.put_back(start);
            waiter.ticket.set(ticket);
            lane.waiters.insert(ticket, waiter);
            return None;
        };
        let pool = flight.endpoint().pool.clone();
        places.pools.entry(pool.clone()).or_default().running += 1;
        let running = Running {
            state: self.clone(),
            key,
            pool,
            charge: start.charge,
            permit: waiter.permit,
        };
        let slot = Slot::new(flight, move |cost| running.close(cost));
        Some((waiter.verdict, slot))
    }

    fn release(&self, permit: Option<Permit>, units: u64) {
        if let Some(permit) = permit {
            self.limiter.borrow_mut().release(now(), permit, units);
        }
    }

    fn configure(&self, view: &View) {
        let mut places = self.places.borrow_mut();
        places.pools.retain(|id, pool| {
            pool.running > 0 || pool.arrivals > 0 || !view.endpoints(id).is_empty()
        });
        for (id, _) in view.pools() {
            places.pools.entry(id.clone()).or_default();
        }
        let routes: Vec<&LaneKey> = view.snapshot.routes().map(|it| &it.pools).collect();
        places
            .lanes
            .retain(|key, lane| !lane.waiters.is_empty() || routes.contains(&key));
    }

    /// Whether some pool has endpoints that the request may use and that take new work.
    fn is_served(&self, work: &Work) -> bool {
        let view = self.view.borrow();
        let usable = |it: &Rc<Endpoint>| work.class.reclaimable || it.kind == Kind::Standard;
        let mut pools = work.route.pools.iter();
        pools.any(|pool| view.endpoints(pool).iter().any(usable))
    }

    fn demand(&self) -> Vec<Demand> {
        let now = now();
        let mut places = self.places.borrow_mut();
        let mut demand: Vec<Demand> = places
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
        for (key, lane) in &places.lanes {
            let first = key.first();
            let Some(entry) = demand.iter_mut().find(|it| Some(&it.pool) == first) else {
                continue;
            };
            let classes = lane.scheduler.snapshot(now).classes;
            let oldest = classes.iter().map(|it| it.oldest).max().unwrap_or_default();
            entry.queued += u32::try_from(lane.scheduler.len()).unwrap_or(u32::MAX);
            let oldest_ms = u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX);
            entry.oldest_wait_ms = entry.oldest_wait_ms.max(oldest_ms);
        }
        demand
    }
}

/// A place in the queue, given up when dropped.
struct Place {
    state: Rc<State>,
    key: LaneKey,
    ticket: Rc<Cell<Ticket>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut places = self.state.places.borrow_mut();
        let Some(lane) = places.lanes.get_mut(&self.key) else {
            return;
        };
        let ticket = self.ticket.get();
        let Some(waiter) = lane.waiters.remove(ticket) else {
            return;
        };
        lane.scheduler.remove(ticket);
        drop(places);
        self.state.release(waiter.permit, 0);
    }
}

/// A started request.
struct Running {
    state: Rc<State>,
    key: LaneKey,
    pool: PoolId,
    charge: Charge,
    permit: Option<Permit>,
}

impl Running {
    fn close(self, cost: Cost) {
        let units = cost.units();
        let mut places = self.state.places.borrow_mut();
        if let Some(lane) = places.lanes.get_mut(&self.key) {
            lane.scheduler.settle(self.charge, units);
        }
        if let Some(pool) = places.pools.get_mut(&self.pool) {
            pool.running = pool.running.saturating_sub(1);
        }
        drop(places);
        self.state.release(self.permit, units);
        self.state.dispatch();
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn excess(excess: Excess) -> Denial {
    let message = match excess.reason {
        Reason::AccountConcurrency => "the account has too many requests running or queued",
        _ => "the account exceeds its rate",
    };
    Denial::new(excess.reason, message).retry_after(excess.retry_after)
}

/// A denial that suggests to come back when the queue of now has been worked off.
fn refused(reason: Reason, lane: &Lane, now: Instant) -> Denial {
    let message = match reason {
        Reason::Shed => "work of a higher tier took the place in the queue",
        Reason::QueueFull => "the queue of the class is full",
        Reason::DeadlineUnreachable => "the deadline can't be met",
        Reason::DeadlinePassed => "the deadline has passed",
        _ => "the queue takes no request of this class",
    };
    let rate = lane
        .scheduler
        .snapshot(now)
        .starts_per_second
        .unwrap_or(0.0);
    let seconds = lane.scheduler.len() as f64 / rate.max(0.1);
    let delay = Duration::from_secs_f64(seconds).min(MAX_RETRY_AFTER);
    Denial::new(reason, message).retry_after(delay)
}
