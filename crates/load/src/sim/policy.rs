//! Interfaces of a host that policies and baselines implement: admission and placement.

use std::time::Instant;

use agate_model::endpoint::Endpoint;
use agate_model::id::{EndpointId, PoolId, Tier};
use agate_pick::tuning::Sharing;
use agate_pick::{Choice, Criteria, InFlight, Key, Outcome, Picker, Report, Tuning};
use agate_queue::{Charge, Item, Offer, Room, Scheduler, Start, Ticket};
use rand::RngCore;

use super::baseline::{Fifo, Rotation, Rule};
use crate::experiment::Policy;

/// A request taken from the queue to be sent.
pub(crate) struct Dispatch {
    pub(crate) ticket: Ticket,
    pub(crate) item: Item,
    pub(crate) urgency: Tier,
    /// Charge to be settled with the tokens used; `None` if the queue doesn't charge accounts.
    pub(crate) charge: Option<Charge>,
}

/// Queue of the requests for one pool on one host.
pub(crate) trait Admission {
    /// Queues or refuses a request.
    fn offer(&mut self, now: Instant, item: Item) -> Offer;
    /// Takes the next request that fits the room, if any.
    fn next(&mut self, now: Instant, room: Room) -> Option<Dispatch>;
    /// Puts back a request that could not be sent and returns its new ticket.
    fn put_back(&mut self, dispatch: Dispatch) -> Ticket;
    /// Removes the requests whose deadline has passed and returns their tickets.
    fn expire(&mut self, now: Instant) -> Vec<Ticket>;
    /// Corrects the charge of a request to the tokens that it used.
    fn settle(&mut self, charge: Charge, actual: u64);
    /// Returns the number of queued requests.
    fn len(&self) -> usize;
    /// Returns the highest tier of which a request was shed lately; `None` if none was.
    fn pressure(&self, now: Instant) -> Option<Tier>;
    /// Limits the queueing of tiers below one that another host sheds, until a time.
    fn set_floor(&mut self, tier: Tier, until: Instant);
}

impl Admission for Scheduler {
    fn offer(&mut self, now: Instant, item: Item) -> Offer {
        Scheduler::offer(self, now, item)
    }

    fn next(&mut self, now: Instant, room: Room) -> Option<Dispatch> {
        let start = Scheduler::next(self, now, room)?;
        Some(Dispatch {
            ticket: start.ticket,
            item: start.item,
            urgency: start.urgency,
            charge: Some(start.charge),
        })
    }

    fn put_back(&mut self, dispatch: Dispatch) -> Ticket {
        Scheduler::put_back(
            self,
            Start {
                ticket: dispatch.ticket,
                item: dispatch.item,
                waited: Default::default(),
                urgency: dispatch.urgency,
                charge: dispatch
                    .charge
                    .expect("the scheduler charges every request that it starts"),
            },
        )
    }

    fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        Scheduler::expire(self, now)
    }

    fn settle(&mut self, charge: Charge, actual: u64) {
        Scheduler::settle(self, charge, actual);
    }

    fn len(&self) -> usize {
        Scheduler::len(self)
    }

    fn pressure(&self, now: Instant) -> Option<Tier> {
        Scheduler::pressure(self, now)
    }

    fn set_floor(&mut self, tier: Tier, until: Instant) {
        Scheduler::set_floor(self, tier, until);
    }
}

/// Choice of endpoints on one host.
pub(crate) trait Placement {
    /// Adds an endpoint or updates a known one.
    fn upsert(&mut self, now: Instant, endpoint: &Endpoint);
    /// Removes an endpoint.
    fn remove(&mut self, id: &EndpointId);
    /// Marks an endpoint as leaving, so that it gets no new requests.
    fn set_leaving(&mut self, id: &EndpointId);
    /// Records a load report of an endpoint.
    fn report(&mut self, now: Instant, id: &EndpointId, report: &Report);
    /// Returns the lowest tier for which an endpoint in the pools may be chosen, by kind.
    fn room(&mut self, now: Instant, pools: &[PoolId]) -> agate_pick::Room;
    /// Chooses a free endpoint that meets the criteria; `None` if there is none.
    fn choose(
        &mut self,
        now: Instant,
        criteria: &Criteria<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice>;
    /// Counts an attempt at an endpoint as in flight.
    fn start(&mut self, now: Instant, key: Key) -> InFlight;
    /// Ends an attempt in flight with its outcome.
    fn finish(&mut self, now: Instant, flight: InFlight, outcome: Outcome);
}

impl Placement for Picker {
    fn upsert(&mut self, now: Instant, endpoint: &Endpoint) {
        Picker::upsert(self, now, endpoint);
    }

    fn remove(&mut self, id: &EndpointId) {
        Picker::remove(self, id);
    }

    fn set_leaving(&mut self, id: &EndpointId) {
        Picker::set_leaving(self, id, true);
    }

    fn report(&mut self, now: Instant, id: &EndpointId, report: &Report) {
        Picker::report(self, now, id, report);
    }

    fn room(&mut self, now: Instant, pools: &[PoolId]) -> agate_pick::Room {
        Picker::room(self, now, pools)
    }

    fn choose(
        &mut self,
        now: Instant,
        criteria: &Criteria<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        Picker::choose(self, now, criteria, rng)
    }

    fn start(&mut self, now: Instant, key: Key) -> InFlight {
        Picker::start(self, now, key)
    }

    fn finish(&mut self, now: Instant, flight: InFlight, outcome: Outcome) {
        Picker::finish(self, now, flight, outcome);
    }
}

/// Returns the queue that a policy uses.
pub(crate) fn admission(policy: Policy) -> Box<dyn Admission> {
    match policy {
        Policy::Fifo => Box::new(Fifo::default()),
        _ => Box::new(Scheduler::new()),
    }
}

/// Returns the placement that a policy uses on each of `hosts` hosts.
pub(crate) fn placement(policy: Policy, hosts: usize) -> Box<dyn Placement> {
    let rule = match policy {
        Policy::RoundRobin => Rule::RoundRobin,
        Policy::LeastLoaded => Rule::LeastReported,
        _ => {
            let mut picker = Picker::new(tuning(policy));
            picker.set_live_hosts(hosts as u32);
            return Box::new(picker);
        }
    };
    Box::new(Rotation::new(rule))
}

/// Returns the picker parameters of a policy: the defaults but for the feature that it turns off
/// or changes.
fn tuning(policy: Policy) -> Tuning {
    let mut tuning = Tuning::default();
    match policy {
        Policy::NoAffinity => tuning.affinity_bound = 0.0,
        Policy::NoEjection => {
            tuning.eject_failures = 0;
            tuning.eject_slowdown = f64::INFINITY;
        }
        Policy::WholeSlots => tuning.sharing = Sharing::Whole,
        Policy::EqualSlots => tuning.sharing = Sharing::Equal { factor: 1.25 },
        _ => {}
    }
    tuning
}
