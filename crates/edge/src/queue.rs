//! Queue of requests that wait for a free slot at an endpoint.
//!
//! [`Scheduler`] decides whose turn it is: tier, then whether the target can still be met, then the
//! account with the fewest tokens. This module connects its decisions with the tasks that wait.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{AccountId, ClassId, Tier};
use agate_model::refusal::Reason;
use agate_queue::wait_budget::WaitBudget;
use agate_queue::{Charge, Item, Offer, Room, Scheduler, Start, Ticket};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Requests of one class that may wait on one host.
const MAX_QUEUED: u32 = 512;
/// Bodies of all waiting requests of one service on one host, in bytes.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Weight of requests that can still meet their target against those of the same tier that can't. Late
/// responses are of use too, so they get some of the starts.
const ON_TIME_WEIGHT: u32 = 4;

/// Part of its target that a request may wait however late first bytes are.
const MIN_WAIT: f64 = 0.1;

/// Part of its caller's time that a request may wait. A refusal leaves the caller time to try another
/// host.
const MAX_WAIT: f64 = 0.5;

/// Tier and sequence number, in the order in which retries are served.
type Position = (Tier, u64);

/// Request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Account of the key; `None` on open routes.
    pub account: Option<AccountId>,
    /// Urgency; 0 is the highest.
    pub tier: Tier,
    /// Whether the request is of the most urgent kind of its account, which may exceed the usual share.
    pub is_urgent: bool,
    /// Latency to the first byte that the operator aims at.
    pub target: Duration,
    /// When the request arrived.
    pub arrival: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Estimated number of prompt and response tokens.
    pub tokens: u64,
    /// Size of the body in bytes.
    pub bytes: usize,
}

/// Requests that a host may send to a service now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Space {
    /// Requests of any kind.
    pub any: usize,
    /// Requests if they are urgent, at least as many.
    pub urgent: usize,
}

/// Why a request can't wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowded {
    /// As many requests or bytes wait as may.
    Full,
    /// Its turn would come after the latest start.
    Unreachable,
}

/// Queue of one service on one host.
#[derive(Debug, Default)]
pub struct Queue {
    scheduler: RefCell<Scheduler>,
    places: RefCell<HashMap<Ticket, Rc<Place>>>,
    /// Requests that were at an endpoint before. They can't use some endpoints, so they don't hold up
    /// the others.
    returning: RefCell<BTreeMap<Position, Rc<Notify>>>,
    next_sequence: Cell<u64>,
    /// Requests whose turn it is and that have not chosen an endpoint yet.
    granted: Cell<usize>,
    bytes: Cell<usize>,
    first_bytes: RefCell<HashMap<ClassId, WaitBudget>>,
}

/// What a waiting task and the queue share.
#[derive(Debug)]
struct Place {
    notify: Notify,
    state: RefCell<State>,
}

#[derive(Debug)]
enum State {
    Waiting(Ticket),
    Granted(Box<Start>),
    /// Removed in favour of a more urgent request.
    Displaced,
    Closed,
}

impl Queue {
    /// Adds a request, among the late ones if it would wait until its target is missed. It is refused if its turn would plainly come too late, or if there is no room for
    /// it and no less urgent request to be displaced.
    pub fn offer(self: &Rc<Self>, now: Instant, demand: Demand) -> Result<Waiter, Crowded> {
        if self.bytes.get() + demand.bytes > MAX_QUEUED_BYTES {
            return Err(Crowded::Full);
        }
        let on_time = self.item(&demand, true);
        let wait = self.scheduler.borrow().expected_wait(&on_time);
        let is_late = wait.is_some_and(|wait| {
            let turn = now.into_std().checked_add(wait);
            turn.is_none_or(|turn| turn > on_time.start_by)
        });
        let late_at = (!is_late).then(|| Instant::from_std(on_time.start_by));
        let item = if is_late {
            self.item(&demand, false)
        } else {
            on_time
        };
        let waiter = Waiter {
            queue: self.clone(),
            place: Rc::new(Place {
                notify: Notify::new(),
                state: RefCell::new(State::Closed),
            }),
            late_at: Cell::new(late_at),
            latest: Instant::from_std(item.latest_start()),
            demand,
        };
        self.bytes.set(self.bytes.get() + waiter.demand.bytes);
        self.enqueue(now, item, &waiter.place)?;
        Ok(waiter)
    }

    fn enqueue(&self, now: Instant, item: Item, place: &Rc<Place>) -> Result<(), Crowded> {
        // A request that misses its target may still be of use, so only the latest start bounds the wait.
        let item = Item {
            start_by: item.latest_start(),
            ..item
        };
        let offer = self.scheduler.borrow_mut().offer(now.into_std(), item);
        match offer {
            Offer::Queued { ticket, displaced } => {
                *place.state.borrow_mut() = State::Waiting(ticket);
                let mut places = self.places.borrow_mut();
                places.insert(ticket, place.clone());
                if let Some(victim) = displaced.and_then(|ticket| places.remove(&ticket)) {
                    *victim.state.borrow_mut() = State::Displaced;
                    victim.notify.notify_one();
                }
                Ok(())
            }
            Offer::Refused(reason) => Err(match reason {
                Reason::DeadlineUnreachable | Reason::DeadlinePassed => Crowded::Unreachable,
                _ => Crowded::Full,
            }),
        }
    }

    /// Returns the request as the scheduler sees it. Twice the usual time to the first byte is kept for the
    /// endpoint, as many responses take longer than the mean. Requests of one tier and target form a class, and
    /// those that can't meet the target any more another one.
    fn item(&self, demand: &Demand, is_on_time: bool) -> Item {
        let class = class(demand);
        let first_bytes = self.first_bytes.borrow();
        let usual = first_bytes.get(&class).copied().unwrap_or_default();
        let max_wait = usual.max_wait(demand.target);
        let work = demand.target.saturating_sub(max_wait);
        let on_time = max_wait
            .saturating_sub(work)
            .max(demand.target.mul_f64(MIN_WAIT));
        let arrival = demand.arrival.into_std();
        let timeout = demand.deadline.saturating_duration_since(demand.arrival);
        Item {
            account: demand.account.clone(),
            class: match is_on_time {
                true => class,
                false => format!("{class}-late"),
            },
            tier: demand.tier,
            class_weight: if is_on_time { ON_TIME_WEIGHT } else { 1 },
            account_weight: 1,
            queue_limit: MAX_QUEUED,
            arrival,
            deadline: arrival + timeout.mul_f64(MAX_WAIT),
            start_by: arrival + on_time,
            work,
            tokens: demand.tokens,
            idempotent: false,
            reclaimable: demand.is_urgent,
        }
    }

    /// Returns the time after which the requests that wait now will have started, those that miss their
    /// target included; `None` if it is not known.
    pub fn expected_wait(&self, demand: &Demand) -> Option<Duration> {
        let late = self.item(demand, false);
        let on_time = self.item(demand, true);
        let scheduler = self.scheduler.borrow();
        let waits = [
            scheduler.expected_wait(&late),
            scheduler.expected_wait(&on_time),
        ];
        waits.into_iter().flatten().max()
    }

    /// Gives turns as long as fewer requests than there is space for have one that they didn't use yet,
    /// and wakes retries.
    pub fn grant(&self, now: Instant, space: Space) {
        for notify in self.returning.borrow().values().take(space.any.max(1)) {
            notify.notify_one();
        }
        loop {
            let granted = self.granted.get();
            let room = Room {
                standard: (granted < space.any).then_some(Tier::MAX),
                reclaimable: (granted < space.urgent).then_some(Tier::MAX),
            };
            if room.is_full() {
                return;
            }
            let start = self.scheduler.borrow_mut().next(now.into_std(), room);
            let Some(start) = start else {
                return;
            };
            let place = self.places.borrow_mut().remove(&start.ticket);
            match place {
                Some(place) => {
                    *place.state.borrow_mut() = State::Granted(Box::new(start));
                    self.granted.set(self.granted.get() + 1);
                    place.notify.notify_one();
                }
                None => self.settle(start.charge, 0),
            }
        }
    }

    /// Adds a retry, which does not wait behind the other requests.
    pub fn push_retry(self: &Rc<Self>, tier: Tier) -> Retry {
        let position = (tier, self.next_sequence.get());
        self.next_sequence.set(position.1 + 1);
        let notify = Rc::new(Notify::new());
        let mut returning = self.returning.borrow_mut();
        returning.insert(position, notify.clone());
        Retry {
            queue: self.clone(),
            position,
            notify,
        }
    }

    /// Replaces the estimated tokens of a request by those that it used.
    pub fn settle(&self, charge: Charge, actual: u64) {
        self.scheduler.borrow_mut().settle(charge, actual);
    }

    /// Records the time from the start of a request to the head of its response.
    pub fn observe(&self, demand: &Demand, first_byte: Duration) {
        let mut first_bytes = self.first_bytes.borrow_mut();
        first_bytes
            .entry(class(demand))
            .or_default()
            .observe(first_byte);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.scheduler.borrow().len() + self.returning.borrow().len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the class of a request. It doesn't contain the route, since there may be many of them.
fn class(demand: &Demand) -> ClassId {
    format!("{}-{}", demand.tier, demand.target.as_millis())
}

/// State of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Others are before it.
    Waiting,
    /// It may choose an endpoint now.
    Granted,
    /// It is refused.
    Lost(Crowded),
}

/// A request in a queue. Dropping it removes the request.
#[derive(Debug)]
pub struct Waiter {
    queue: Rc<Queue>,
    place: Rc<Place>,
    demand: Demand,
    /// When the request can't meet its target any more; `None` after that.
    late_at: Cell<Option<Instant>>,
    latest: Instant,
}

impl Waiter {
    /// Returns when the request arrived.
    pub fn arrival(&self) -> Instant {
        self.demand.arrival
    }

    /// Returns the state of the request. After the last start that meets its target it waits as a late
    /// one; after the last start that meets its deadline it is lost.
    pub fn turn(&self, now: Instant) -> Turn {
        let state = match &*self.place.state.borrow() {
            State::Waiting(ticket) => Ok(*ticket),
            State::Granted(_) => Err(Turn::Granted),
            State::Displaced | State::Closed => Err(Turn::Lost(Crowded::Full)),
        };
        let ticket = match state {
            Ok(ticket) => ticket,
            Err(turn) => return turn,
        };
        if now >= self.latest {
            return Turn::Lost(Crowded::Unreachable);
        }
        if self.late_at.get().is_some_and(|at| at <= now) {
            self.late_at.set(None);
            self.leave(ticket);
            let item = self.queue.item(&self.demand, false);
            if let Err(crowded) = self.queue.enqueue(now, item, &self.place) {
                return Turn::Lost(crowded);
            }
        }
        Turn::Waiting
    }

    /// Waits until the state may have changed, at most until `until`.
    pub async fn changed(&self, until: Instant) {
        let until = until
            .min(self.latest)
            .min(self.late_at.get().unwrap_or(until));
        // Either way the state is looked at again.
        let _ = tokio::time::timeout_at(until, self.place.notify.notified()).await;
    }

    /// Returns a turn that found no endpoint; the request is the next of its account again.
    pub fn put_back(&self) {
        let state = self.place.state.replace(State::Closed);
        if let State::Granted(start) = state {
            self.queue.granted.set(self.queue.granted.get() - 1);
            let ticket = self.queue.scheduler.borrow_mut().put_back(*start);
            *self.place.state.borrow_mut() = State::Waiting(ticket);
            let mut places = self.queue.places.borrow_mut();
            places.insert(ticket, self.place.clone());
        }
    }

    /// Takes the turn. Returns the tokens that the account was charged with.
    pub fn close(self) -> Option<Charge> {
        match self.place.state.replace(State::Closed) {
            State::Granted(start) => {
                self.queue.granted.set(self.queue.granted.get() - 1);
                Some(start.charge)
            }
            _ => None,
        }
    }

    fn leave(&self, ticket: Ticket) {
        self.queue.places.borrow_mut().remove(&ticket);
        self.queue.scheduler.borrow_mut().remove(ticket);
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let bytes = self.queue.bytes.get();
        self.queue
            .bytes
            .set(bytes.saturating_sub(self.demand.bytes));
        match self.place.state.replace(State::Closed) {
            State::Waiting(ticket) => self.leave(ticket),
            State::Granted(start) => {
                let granted = self.queue.granted.get();
                self.queue.granted.set(granted - 1);
                self.queue.settle(start.charge, 0);
                // The turn passes to the next one.
                let space = Space {
                    any: granted,
                    urgent: granted,
                };
                self.queue.grant(Instant::now(), space);
            }
            State::Displaced | State::Closed => {}
        }
    }
}

/// A retry that waits for an endpoint that it hasn't tried. Dropping it removes it from the queue.
#[derive(Debug)]
pub struct Retry {
    queue: Rc<Queue>,
    position: Position,
    notify: Rc<Notify>,
}

impl Retry {
    /// Waits until a slot may be free.
    pub async fn woken(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        self.queue.returning.borrow_mut().remove(&self.position);
    }
}
