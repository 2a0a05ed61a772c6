//! Baselines that policies are compared with.

use std::collections::VecDeque;
use std::time::Instant;

use agate_model::endpoint::{Endpoint, Kind};
use agate_model::id::{EndpointId, PoolId, Tier};
use agate_model::refusal::Reason;
use agate_pick::{Choice, Criteria, InFlight, Key, Outcome, Picker, Report, Room, Tuning};
use agate_queue::{Charge, Item, Offer, Ticket};
use rand::RngCore;
use slotmap::SlotMap;

use super::policy::{Admission, Begun, Placement};

/// One queue in order of arrival; new requests are refused when it is full.
#[derive(Default)]
pub(crate) struct Fifo {
    items: SlotMap<Ticket, Item>,
    queue: VecDeque<Ticket>,
    limits: std::collections::HashMap<String, usize>,
}

impl Fifo {
    fn capacity(&self) -> usize {
        self.limits.values().sum()
    }
}

impl Admission for Fifo {
    fn offer(&mut self, _now: Instant, item: Item) -> Offer {
        self.limits
            .insert(item.class.clone(), item.queue_limit as usize);
        if self.items.len() >= self.capacity() {
            return Offer::Refused(Reason::QueueFull);
        }
        let ticket = self.items.insert(item);
        self.queue.push_back(ticket);
        Offer::Queued {
            ticket,
            displaced: None,
        }
    }

    fn next(&mut self, _now: Instant, room: agate_queue::Room) -> Option<Begun> {
        let &ticket = self.queue.front()?;
        let is_cheap = room.reclaimable.is_some() && self.items[ticket].reclaimable;
        if room.standard.is_none() && !is_cheap {
            return None;
        }
        self.queue.pop_front();
        let item = self.items.remove(ticket)?;
        Some(Begun {
            ticket,
            item,
            urgency: 0,
            charge: None,
        })
    }

    fn put_back(&mut self, begun: Begun) -> Ticket {
        let ticket = self.items.insert(begun.item);
        self.queue.push_front(ticket);
        ticket
    }

    fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let items = &self.items;
        let is_late = |ticket: &&Ticket| items[**ticket].deadline <= now;
        let late: Vec<_> = self.queue.iter().filter(is_late).copied().collect();
        self.queue.retain(|ticket| !late.contains(ticket));
        for &ticket in &late {
            self.items.remove(ticket);
        }
        late
    }

    fn settle(&mut self, _charge: Charge, _actual: u64) {}

    fn len(&self) -> usize {
        self.items.len()
    }

    fn pressure(&self, _now: Instant) -> Option<Tier> {
        None
    }

    fn set_floor(&mut self, _tier: Tier, _until: Instant) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// One after the other.
    InTurn,
    /// Least running and queued requests by the last report.
    LeastReported,
}

struct Member {
    endpoint: Endpoint,
    key: Key,
    reported: u32,
    leaving: bool,
}

/// Endpoints in turn or by report; each host may fill every slot.
pub(crate) struct Rotation {
    rule: Rule,
    members: Vec<Member>,
    next: usize,
    /// Counts requests in flight.
    book: Picker,
}

impl Rotation {
    pub(crate) fn new(rule: Rule) -> Self {
        let tuning = Tuning {
            sharing: agate_pick::tuning::Sharing::Whole,
            ..Tuning::default()
        };
        Self {
            rule,
            members: Vec::new(),
            next: 0,
            book: Picker::new(tuning),
        }
    }

    fn is_open(&self, member: &Member) -> bool {
        !member.leaving && self.book.in_flight(member.key) < member.endpoint.slots
    }

    fn fits(&self, member: &Member, wish: &Criteria<'_>) -> bool {
        self.is_open(member)
            && wish.pools.contains(&member.endpoint.pool)
            && (wish.reclaimable || member.endpoint.kind == Kind::Standard)
            && !wish.excluded.contains(&member.endpoint.id)
    }
}

impl Placement for Rotation {
    fn upsert(&mut self, now: Instant, endpoint: &Endpoint) {
        let key = self.book.upsert(now, endpoint);
        self.members.push(Member {
            endpoint: endpoint.clone(),
            key,
            reported: 0,
            leaving: false,
        });
    }

    fn remove(&mut self, id: &EndpointId) {
        self.book.remove(id);
        self.members.retain(|member| &member.endpoint.id != id);
    }

    fn set_leaving(&mut self, id: &EndpointId) {
        for member in &mut self.members {
            member.leaving |= &member.endpoint.id == id;
        }
    }

    fn report(&mut self, _now: Instant, id: &EndpointId, report: &Report) {
        for member in &mut self.members {
            if &member.endpoint.id == id {
                member.reported = report.running + report.queued;
            }
        }
    }

    fn room(&mut self, _now: Instant, pools: &[PoolId]) -> Room {
        let has = |kind| {
            let mut members = self.members.iter();
            let any = members.any(|it| {
                it.endpoint.kind == kind && self.is_open(it) && pools.contains(&it.endpoint.pool)
            });
            any.then_some(Tier::MAX)
        };
        Room {
            standard: has(Kind::Standard),
            reclaimable: has(Kind::Reclaimable),
        }
    }

    fn choose(
        &mut self,
        _now: Instant,
        wish: &Criteria<'_>,
        _rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        let count = self.members.len();
        let in_turn = (0..count).map(|n| (self.next + n) % count);
        let mut fitting = in_turn.filter(|&n| self.fits(&self.members[n], wish));
        let place = match self.rule {
            Rule::InTurn => fitting.next(),
            Rule::LeastReported => fitting.min_by_key(|&n| self.members[n].reported),
        }?;
        self.next = place + 1;
        Some(Choice {
            key: self.members[place].key,
            id: self.members[place].endpoint.id.clone(),
            expected: Default::default(),
            cached: false,
        })
    }

    fn start(&mut self, now: Instant, key: Key) -> InFlight {
        self.book.start(now, key)
    }

    fn finish(&mut self, now: Instant, flight: InFlight, _outcome: Outcome) {
        self.book.finish(now, flight, Outcome::Cancelled);
    }
}
