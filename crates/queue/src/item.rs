//! What goes into a scheduler and what comes out.

use std::time::{Duration, Instant};

use agate_model::id::{AccountId, ClassId, Tier};
use agate_model::refusal::Reason;

use crate::flow;
use crate::share::Counter;

slotmap::new_key_type! {
    /// A queued request.
    pub struct Ticket;
}

/// A request as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Client account; `None` on open routes, which share one counter.
    pub account: Option<AccountId>,
    /// Request class.
    pub class: ClassId,
    /// Priority of the class; 0 is the highest.
    pub tier: Tier,
    /// Relative share of the class, from 1.
    pub class_weight: u32,
    /// Relative share of the account within the class, from 1.
    pub account_weight: u32,
    /// Places of the class in the queue.
    pub queue_limit: u32,
    /// Time of arrival.
    pub arrival: Instant,
    /// The whole answer is due by then.
    pub deadline: Instant,
    /// Time after which the first token would be late; a request that would wait
    /// longer is refused when it is offered, one that is queued stays.
    pub start_by: Instant,
    /// Shortest plausible execution time; zero if unknown.
    pub work: Duration,
    /// Estimated prompt and answer tokens.
    pub tokens: u64,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether the class may run on reclaimable endpoints.
    pub reclaimable: bool,
}

impl Item {
    /// Last time at which a start can still meet the deadline.
    pub fn latest_start(&self) -> Instant {
        self.deadline.checked_sub(self.work).unwrap_or(self.arrival)
    }
}

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The request is queued.
    Queued {
        /// Its ticket.
        ticket: Ticket,
        /// A request that lost its place; refuse it with [`Reason::Shed`].
        displaced: Option<Ticket>,
    },
    /// The request is refused and was not run.
    Refused(Reason),
}

/// Which endpoints have a free slot, and for whom: the lowest tier that may
/// take one, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// On standard endpoints, which every class may use.
    pub standard: Option<Tier>,
    /// On reclaimable endpoints.
    pub reclaimable: Option<Tier>,
}

impl Room {
    /// Room for every class.
    pub const ANY: Room = Room {
        standard: Some(Tier::MAX),
        reclaimable: Some(Tier::MAX),
    };

    /// Whether there is no room for anybody.
    pub fn is_full(&self) -> bool {
        self.standard.is_none() && self.reclaimable.is_none()
    }
}

/// A request to run now.
#[derive(Debug)]
pub struct Start {
    /// Its ticket, no longer valid in the scheduler.
    pub ticket: Ticket,
    /// The request.
    pub item: Item,
    /// Time spent in the queue.
    pub waited: Duration,
    /// Tier to choose an endpoint with; the highest one for a start from the reserve.
    pub urgency: Tier,
    /// Tokens charged; hand it to [`crate::Scheduler::settle`] when the request ends.
    pub charge: Charge,
}

/// Estimated tokens that a started request was charged with.
#[derive(Debug)]
#[must_use = "a charge is settled with the tokens used"]
pub struct Charge {
    pub(crate) flow: flow::Key,
    pub(crate) tokens: u64,
    pub(crate) cost: Counter,
    pub(crate) class_cost: Counter,
}

impl Charge {
    /// Tokens charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
