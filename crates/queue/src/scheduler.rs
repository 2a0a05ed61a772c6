//! Queue of one lane.

mod accounting;
mod admission;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use agate_model::id::{ClassId, Tier};
use agate_model::refusal::Reason;
use slotmap::SlotMap;

use crate::class::{self, Class};
use crate::flow::{self, Flow};
use crate::item::{Charge, Item, Offer, Room, Start, Ticket};
use crate::ranking::{Counter, Ranking, SCALE, cost};
use crate::rate::Rate;
use crate::snapshot::{self, Snapshot};

/// Number of tiers that are told apart; less urgent ones count as the last. It exceeds the tiers of
/// classes, since the tiers of accounts and routes together make more.
const LEVEL_COUNT: usize = 16;
/// One start in thousandths, the unit of the reserve credit.
const START_MILLI: u32 = 1000;
/// Part of each start, in thousandths, that is reserved for classes other than the one that
/// strict priority selects.
const RESERVE_MILLI: u32 = 100;
/// Highest unused credit of the reserve. Credit of more than one start lets a class whose
/// requests are displaced soon after arrival still get its share.
const MAX_CREDIT_MILLI: u32 = 2 * START_MILLI;
/// Time for which a shed request counts as pressure of its tier.
const PRESSURE_MEMORY: Duration = Duration::from_secs(1);

/// A queued request.
#[derive(Debug)]
struct Entry {
    item: Item,
    flow: flow::Key,
    /// Position in the flow; the lowest one starts first.
    sequence: u64,
    /// Amount that the start will add to the counter of the flow.
    cost: Counter,
}

/// State of one tier.
#[derive(Debug)]
struct Level {
    /// Classes with queued requests.
    ready: Ranking<class::Key>,
    /// All classes of the tier.
    members: BTreeSet<class::Key>,
    /// Number of queued requests.
    queued: usize,
    /// Time at which a request of the tier was last refused or displaced, if ever.
    shed_at: Option<Instant>,
    /// Starts of the tier while its requests were queued.
    rate: Rate,
}

/// Tier that a peer sheds.
#[derive(Clone, Copy, Debug)]
struct Floor {
    /// Classes of lower tiers than this are restricted.
    tier: usize,
    /// Time at which the restriction ends.
    until: Instant,
}

/// Queue of one lane on one host: of the requests that use the same list of pools.
///
/// The highest tier with queued requests starts first; a small share of the starts is reserved
/// for the other classes, by weight. The classes of a tier share its starts by weight, and so
/// do the client accounts of a class, both by counters of tokens served. Space in the queue
/// also goes to higher tiers first: a request is refused for lack of space only if no request
/// of a lower tier is queued that could be displaced.
#[derive(Debug)]
pub struct Scheduler {
    /// Queued requests of all classes.
    entries: SlotMap<Ticket, Entry>,
    /// Classes of which requests have been offered; they are kept.
    classes: SlotMap<class::Key, Class>,
    /// Classes by name.
    class_keys: HashMap<ClassId, class::Key>,
    /// Flows of all classes; idle ones are removed.
    flows: SlotMap<flow::Key, Flow>,
    /// State by tier.
    levels: [Level; LEVEL_COUNT],
    /// Classes with queued requests, ranked by their starts from the reserve.
    reserve: Ranking<class::Key>,
    /// Unused part of the reserve in thousandths of a start.
    reserve_credit: u32,
    /// Queued requests by their last possible start.
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Sum of the queue limits of all classes.
    capacity: usize,
    /// Starts of all tiers while requests were queued.
    rate: Rate,
    /// Last floor set, which may have ended; `None` before the first.
    floor: Option<Floor>,
    /// Sequence number of the last offered request.
    sequence: u64,
}

impl Default for Scheduler {
    fn default() -> Self {
        Self::new()
    }
}

impl Scheduler {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            entries: SlotMap::with_key(),
            classes: SlotMap::with_key(),
            class_keys: HashMap::new(),
            flows: SlotMap::with_key(),
            levels: std::array::from_fn(|_| Level {
                ready: Ranking::new(),
                members: BTreeSet::new(),
                queued: 0,
                shed_at: None,
                rate: Rate::default(),
            }),
            reserve: Ranking::new(),
            reserve_credit: 0,
            deadlines: BTreeSet::new(),
            capacity: 0,
            rate: Rate::default(),
            floor: None,
            sequence: u64::MAX / 2,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Queues a request, possibly in place of another one, or refuses it.
    pub fn offer(&mut self, now: Instant, item: Item) -> Offer {
        self.advance(now);
        if item.deadline <= now {
            return Offer::Refused(Reason::DeadlinePassed);
        }
        let class = self.upsert_class(&item);
        if self.is_unreachable(now, class, &item) {
            self.record_shed(now, class);
            return Offer::Refused(Reason::DeadlineUnreachable);
        }
        let displaced = match self.make_room(now, class, &item) {
            Ok(displaced) => displaced,
            Err(reason) => {
                self.record_shed(now, class);
                return Offer::Refused(reason);
            }
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let ticket = self.insert(class, item, sequence);
        Offer::Queued { ticket, displaced }
    }

    /// Removes and returns the request to start next, or `None` if no queued one may take a slot
    /// of `room`. It is called when an endpoint has a free slot.
    pub fn next(&mut self, now: Instant, room: Room) -> Option<Start> {
        self.advance(now);
        let by_priority = self.select_by_priority(room);
        let reserved = self.select_from_reserve(by_priority, room);
        let class = reserved.or(by_priority)?;
        let urgency = match reserved {
            Some(_) => 0,
            None => self.classes[class].tier as Tier,
        };
        let flow = self.classes[class]
            .flows
            .first()
            .expect("a class with queued requests has a flow with queued requests");
        let ticket = *self.flows[flow]
            .queue
            .first_key_value()
            .expect("a flow in the ranking has a queued request")
            .1;
        self.flows[flow].running += 1;
        let charge = self.charge(flow, ticket);
        let entry = self
            .detach(ticket)
            .expect("the ticket of a queued request has an entry");
        self.rate.start();
        self.levels[self.classes[class].tier].rate.start();
        Some(Start {
            ticket,
            waited: now.saturating_duration_since(entry.item.arrival),
            item: entry.item,
            urgency,
            charge,
        })
    }

    /// Puts a started request back to the head of its flow and returns its new ticket. This is for
    /// requests for which no endpoint could be chosen after all; nothing is charged.
    pub fn put_back(&mut self, start: Start) -> Ticket {
        let class = self.upsert_class(&start.item);
        let item = start.item;
        self.settle(start.charge, 0);
        let flow = self.upsert_flow(class, &item);
        let first = self.flows[flow]
            .queue
            .first_key_value()
            .map(|(&sequence, _)| sequence);
        let sequence = first.unwrap_or(self.sequence + 1) - 1;
        self.insert(class, item, sequence)
    }

    /// Removes a queued request, for example when its caller has disconnected. Returns `None` if
    /// it is no longer queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        self.detach(ticket).map(|entry| entry.item)
    }

    /// Removes and returns the requests that can no longer meet their deadline; the caller
    /// refuses them with [`Reason::DeadlinePassed`].
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some(&(latest, ticket)) = self.deadlines.first() {
            if latest > now {
                break;
            }
            self.detach(ticket);
            expired.push(ticket);
        }
        expired
    }

    /// Returns the earliest time at which [`Scheduler::expire`] can remove a request, or `None` if
    /// none is queued.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.deadlines.first().map(|&(latest, _)| latest)
    }

    /// Replaces the estimated tokens of a started request by those actually used.
    #[expect(clippy::needless_pass_by_value, reason = "a charge is settled once")]
    pub fn settle(&mut self, charge: Charge, actual: u64) {
        let Charge {
            flow: key,
            cost: charged,
            class_cost,
            ..
        } = charge;
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.running = flow.running.saturating_sub(1);
        let (weight, class) = (flow.weight, flow.class);
        let class_weight = self.classes[class].weight;
        self.adjust_flow(key, charged, cost(actual, weight));
        self.adjust_class(class, class_cost, cost(actual, class_weight));
        self.remove_idle_flows(key);
    }

    /// Records that a peer sheds `tier`. Until `until`, each class of a lower tier queues at most
    /// one request here. A floor in force that is at a higher tier and ends no earlier stays.
    pub fn set_floor(&mut self, tier: Tier, until: Instant) {
        let tier = usize::from(tier);
        let keep = self
            .floor
            .is_some_and(|floor| floor.tier < tier && floor.until >= until);
        if !keep {
            self.floor = Some(Floor { tier, until });
        }
    }

    /// Returns the highest tier of which a request was shed within the last second, which this
    /// host sends to its peers.
    pub fn pressure(&self, now: Instant) -> Option<Tier> {
        let recent = |shed_at: Instant| now.saturating_duration_since(shed_at) < PRESSURE_MEMORY;
        let tier = self
            .levels
            .iter()
            .position(|level| level.shed_at.is_some_and(recent))?;
        Some(tier as Tier)
    }

    /// Returns the state of the queue for metrics.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let mut classes: Vec<_> = self
            .classes
            .values()
            .map(|class| self.describe(now, class))
            .collect();
        classes.sort_by(|a, b| (a.tier, &a.id).cmp(&(b.tier, &b.id)));
        Snapshot {
            classes,
            accounts: self.flows.len(),
            starts_per_second: self.rate.per_second(),
            pressure: self.pressure(now),
        }
    }

    /// Returns the state of one class for metrics.
    fn describe(&self, now: Instant, class: &Class) -> snapshot::Class {
        let oldest_of_flows = class
            .finishes
            .iter()
            .filter_map(|&(_, flow)| self.flows[flow].queue.first_key_value());
        let oldest = oldest_of_flows
            .map(|(_, &ticket)| self.entries[ticket].item.arrival)
            .min();
        snapshot::Class {
            id: class.id.clone(),
            tier: class.tier as Tier,
            queued: class.queued,
            oldest: oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        }
    }

    /// Adds the time since the last call to the rates.
    fn advance(&mut self, now: Instant) {
        self.rate.advance(now, !self.entries.is_empty());
        for level in &mut self.levels {
            level.rate.advance(now, level.queued > 0);
        }
    }

    /// Returns the class that strict priority selects: the least served one of the highest tier
    /// that may take a slot.
    fn select_by_priority(&self, room: Room) -> Option<class::Key> {
        let ready = self.levels.iter().flat_map(|level| level.ready.iter());
        let mut fitting = ready.filter(|&(_, key)| self.classes[key].fits(room));
        fitting.next().map(|(_, key)| key)
    }

    /// Returns the class that gets this start from the reserve and charges it, if the credit is
    /// enough.
    fn select_from_reserve(
        &mut self,
        by_priority: Option<class::Key>,
        room: Room,
    ) -> Option<class::Key> {
        if by_priority.is_some() {
            self.reserve_credit = (self.reserve_credit + RESERVE_MILLI).min(MAX_CREDIT_MILLI);
        }
        if self.reserve_credit < START_MILLI {
            return None;
        }
        let (counter, key) = self.least_reserved(by_priority, room)?;
        self.reserve_credit -= START_MILLI;
        let class = &mut self.classes[key];
        class.reserved = counter + SCALE / u64::from(class.weight);
        self.reserve.update(key, counter, class.reserved);
        if let Some(selected) = by_priority {
            self.raise_reserved(selected, counter);
        }
        Some(key)
    }

    /// Returns the class other than `by_priority` with the fewest starts from the reserve, and
    /// its counter.
    fn least_reserved(
        &self,
        by_priority: Option<class::Key>,
        room: Room,
    ) -> Option<(Counter, class::Key)> {
        let mut others = self
            .reserve
            .iter()
            .filter(|&(_, key)| Some(key) != by_priority);
        others.find(|&(_, key)| self.classes[key].fits_as_top_tier(room))
    }

    /// Raises the reserve counter of the class that strict priority selects. It is served
    /// anyway, so it must not save up starts from the reserve.
    fn raise_reserved(&mut self, key: class::Key, counter: Counter) {
        let class = &mut self.classes[key];
        let raised = class.reserved.max(counter);
        self.reserve.update(key, class.reserved, raised);
        class.reserved = raised;
    }
}
