//! The parts of a host that policies and baselines fill.

use std::time::Instant;

use agate_model::endpoint::Endpoint;
use agate_model::id::{EndpointId, PoolId, Tier};
use agate_pick::tuning::Sharing;
use agate_pick::{Choice, Criteria, InFlight, Key, Outcome, Picker, Report, Tuning};
use agate_queue::{Charge, Item, Offer, Room, Scheduler, Start, Ticket};
use rand::RngCore;

use super::baseline::{Fifo, Rotation, Rule};
use crate::experiment::Policy;

/// A started request.
pub(crate) struct Begun {
    pub(crate) ticket: Ticket,
    pub(crate) item: Item,
    pub(crate) urgency: Tier,
    pub(crate) charge: Option<Charge>,
}

/// Queue of one lane on one host.
pub(crate) trait Admission {
    fn offer(&mut self, now: Instant, item: Item) -> Offer;
    fn next(&mut self, now: Instant, room: Room) -> Option<Begun>;
    /// Puts a started request back and returns its new ticket.
    fn put_back(&mut self, begun: Begun) -> Ticket;
    fn expire(&mut self, now: Instant) -> Vec<Ticket>;
    fn settle(&mut self, charge: Charge, actual: u64);
    fn len(&self) -> usize;
    fn pressure(&self, now: Instant) -> Option<Tier>;
    fn set_floor(&mut self, tier: Tier, until: Instant);
}

impl Admission for Scheduler {
    fn offer(&mut self, now: Instant, item: Item) -> Offer {
        Scheduler::offer(self, now, item)
    }

    fn next(&mut self, now: Instant, room: Room) -> Option<Begun> {
        let start = Scheduler::next(self, now, room)?;
        Some(Begun {
            ticket: start.ticket,
            item: start.item,
            urgency: start.urgency,
            charge: Some(start.charge),
        })
    }

    fn put_back(&mut self, begun: Begun) -> Ticket {
        Scheduler::put_back(
            self,
            Start {
                ticket: begun.ticket,
                item: begun.item,
                waited: Default::default(),
                urgency: begun.urgency,
                charge: begun.charge.expect("a scheduler charges every start"),
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
    fn upsert(&mut self, now: Instant, endpoint: &Endpoint);
    fn remove(&mut self, id: &EndpointId);
    fn set_leaving(&mut self, id: &EndpointId);
    fn report(&mut self, now: Instant, id: &EndpointId, report: &Report);
    fn room(&mut self, now: Instant, pools: &[PoolId]) -> agate_pick::Room;
    fn choose(
        &mut self,
        now: Instant,
        wish: &Criteria<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice>;
    fn start(&mut self, now: Instant, key: Key) -> InFlight;
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
        wish: &Criteria<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        Picker::choose(self, now, wish, rng)
    }

    fn start(&mut self, now: Instant, key: Key) -> InFlight {
        Picker::start(self, now, key)
    }

    fn finish(&mut self, now: Instant, flight: InFlight, outcome: Outcome) {
        Picker::finish(self, now, flight, outcome);
    }
}

pub(crate) fn admission(policy: Policy) -> Box<dyn Admission> {
    match policy {
        Policy::Fifo => Box::new(Fifo::default()),
        _ => Box::new(Scheduler::new()),
    }
}

pub(crate) fn placement(policy: Policy, hosts: usize) -> Box<dyn Placement> {
    let rule = match policy {
        Policy::RoundRobin => Rule::InTurn,
        Policy::LeastLoaded => Rule::LeastReported,
        _ => {
            let mut picker = Picker::new(tuning(policy));
            picker.set_live_hosts(hosts as u32);
            return Box::new(picker);
        }
    };
    Box::new(Rotation::new(rule))
}

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
