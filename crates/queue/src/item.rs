//! Input and output of a scheduler.

use std::time::{Duration, Instant};

use agate_model::id::{AccountId, ClassId, Tier};
use agate_model::refusal::Reason;

use crate::flow;
use crate::ranking::Counter;

slotmap::new_key_type! {
    /// Identifies a queued request within one scheduler. A started request has no ticket.
    pub struct Ticket;
}

/// A request to be queued, with the settings of its class and account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Client account; `None` on open routes, whose requests share one counter in each class.
    pub account: Option<AccountId>,
    /// Name of the request class.
    pub class: ClassId,
    /// Priority of the class; 0 is the highest.
    pub tier: Tier,
    /// Weight of the class among the classes of its tier and in the reserve, at least 1.
    pub class_weight: u32,
    /// Weight of the account within the class, at least 1.
    pub account_weight: u32,
    /// Requests of the class that may be queued at once.
    pub queue_limit: u32,
    /// Time at which the request arrived at this host.
    pub arrival: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Time of the start after which the first token would be late. A request that would wait
    /// longer is refused when it is offered; one that is already queued stays.
    pub start_by: Instant,
    /// Shortest plausible execution time; zero if it is not known.
    pub work: Duration,
    /// Estimated number of prompt and response tokens.
    pub tokens: u64,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether the class may run on reclaimable endpoints.
    pub reclaimable: bool,
}

impl Item {
    /// Returns the last time at which a start can still meet the deadline.
    pub fn latest_start(&self) -> Instant {
        self.deadline.checked_sub(self.work).unwrap_or(self.arrival)
    }
}

/// Result of offering a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The request is queued.
    Queued {
        /// Ticket of the request while it is queued.
        ticket: Ticket,
        /// Request that was removed in its favour; the caller refuses it with
        /// [`Reason::Shed`].
        displaced: Option<Ticket>,
    },
    /// The request is refused for this reason; it was not started.
    Refused(Reason),
}

/// Lowest tier that may take a free slot of an endpoint now, by kind of endpoint; `None` if no
/// endpoint of the kind has a free slot for any tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Lowest tier for a standard endpoint, which every class may use.
    pub standard: Option<Tier>,
    /// Lowest tier for a reclaimable endpoint, which only some classes may use.
    pub reclaimable: Option<Tier>,
}

impl Room {
    /// Free slots for every class and tier.
    pub const ANY: Room = Room {
        standard: Some(Tier::MAX),
        reclaimable: Some(Tier::MAX),
    };

    /// Returns whether no tier may take a slot.
    pub fn is_full(&self) -> bool {
        self.standard.is_none() && self.reclaimable.is_none()
    }
}

/// A request that was taken from the queue to be sent now.
#[derive(Debug)]
pub struct Start {
    /// Ticket that the request had; the scheduler no longer knows it.
    pub ticket: Ticket,
    /// Request as it was offered.
    pub item: Item,
    /// Time from the arrival of the request to its start.
    pub waited: Duration,
    /// Tier to choose an endpoint with: that of the class, or the highest one for a start from
    /// the reserve.
    pub urgency: Tier,
    /// Estimated tokens charged, to be passed to [`crate::Scheduler::settle`] when the request
    /// ends.
    pub charge: Charge,
}

/// Estimated tokens that the flow and the class of a started request were charged with.
#[derive(Debug)]
#[must_use = "a charge is settled with the tokens used"]
pub struct Charge {
    pub(crate) flow: flow::Key,
    pub(crate) tokens: u64,
    /// Amount added to the counter of the flow.
    pub(crate) cost: Counter,
    /// Amount added to the counter of the class.
    pub(crate) class_cost: Counter,
}

impl Charge {
    /// Returns the estimated tokens that were charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
