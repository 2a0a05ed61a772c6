//! Queues and placements of the baselines that the policies are compared with.

use std::collections::VecDeque;
use std::time::Instant;

use agate_model::endpoint::{Endpoint, Kind};
use agate_model::id::{EndpointId, PoolId, Tier};
use agate_model::refusal::Reason;
use agate_pick::{Choice, Criteria, InFlight, Key, Outcome, Picker, Report, Room, Tuning};
use agate_queue::{Charge, Item, Offer, Ticket};
use rand::RngCore;
use slotmap::SlotMap;

use super::policy::{Admission, Dispatch, Placement};

/// Queue that starts requests in order of arrival and refuses new ones when it is full.
#[derive(Default)]
pub(crate) struct Fifo {
    items: SlotMap<Ticket, Item>,
    /// Tickets in order of arrival; one that was put back is first.
    queue: VecDeque<Ticket>,
    /// Queue limit of each class seen so far, in requests.
    limits: std::collections::HashMap<String, usize>,
}

impl Fifo {
    /// Returns the sum of the queue limits of all classes seen so far.
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

    fn next(&mut self, _now: Instant, room: agate_queue::Room) -> Option<Dispatch> {
        let &ticket = self.queue.front()?;
        let fits_reclaimable = room.reclaimable.is_some() && self.items[ticket].reclaimable;
        if room.standard.is_none() && !fits_reclaimable {
            return None;
        }
        self.queue.pop_front();
        let item = self.items.remove(ticket)?;
        Some(Dispatch {
            ticket,
            item,
            urgency: 0,
            charge: None,
        })
    }

    fn put_back(&mut self, dispatch: Dispatch) -> Ticket {
        let ticket = self.items.insert(dispatch.item);
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

/// How a [`Rotation`] chooses among the endpoints that fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The next one in order.
    RoundRobin,
    /// The one whose last load report had the fewest running and queued requests.
    LeastReported,
}

/// An endpoint known to a [`Rotation`].
struct Member {
    endpoint: Endpoint,
    /// Key of the endpoint in [`Rotation::picker`].
    key: Key,
    /// Running and queued requests by the last load report; 0 before the first.
    reported: u32,
    /// Whether the endpoint takes no new requests.
    leaving: bool,
}

/// Placement by a [`Rule`]. Each host may fill every slot of an endpoint.
pub(crate) struct Rotation {
    rule: Rule,
    members: Vec<Member>,
    /// Position in `members` at which the next choice starts.
    next: usize,
    /// Counts the requests of this host that are in flight; it makes no choices.
    picker: Picker,
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
            picker: Picker::new(tuning),
        }
    }

    /// Returns whether an endpoint has a free slot and isn't leaving.
    fn is_open(&self, member: &Member) -> bool {
        !member.leaving && self.picker.in_flight(member.key) < member.endpoint.slots
    }

    /// Returns whether an endpoint is open and matches pool, kind and exclusions.
    fn fits(&self, member: &Member, criteria: &Criteria<'_>) -> bool {
        self.is_open(member)
            && criteria.pools.contains(&member.endpoint.pool)
            && (criteria.reclaimable || member.endpoint.kind == Kind::Standard)
            && !criteria.excluded.contains(&member.endpoint.id)
    }
}

impl Placement for Rotation {
    fn upsert(&mut self, now: Instant, endpoint: &Endpoint) {
        let key = self.picker.upsert(now, endpoint);
        self.members.push(Member {
            endpoint: endpoint.clone(),
            key,
            reported: 0,
            leaving: false,
        });
    }

    fn remove(&mut self, id: &EndpointId) {
        self.picker.remove(id);
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
            let any = members.any(|member| {
                member.endpoint.kind == kind
                    && self.is_open(member)
                    && pools.contains(&member.endpoint.pool)
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
        criteria: &Criteria<'_>,
        _rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        let count = self.members.len();
        let in_turn = (0..count).map(|n| (self.next + n) % count);
        let mut fitting = in_turn.filter(|&n| self.fits(&self.members[n], criteria));
        let position = match self.rule {
            Rule::RoundRobin => fitting.next(),
            Rule::LeastReported => fitting.min_by_key(|&n| self.members[n].reported),
        }?;
        self.next = position + 1;
        Some(Choice {
            key: self.members[position].key,
            id: self.members[position].endpoint.id.clone(),
            expected: Default::default(),
            cached: false,
        })
    }

    fn start(&mut self, now: Instant, key: Key) -> InFlight {
        self.picker.start(now, key)
    }

    fn finish(&mut self, now: Instant, flight: InFlight, _outcome: Outcome) {
        self.picker.finish(now, flight, Outcome::Cancelled);
    }
}
