//! The queue of one lane.

mod book;
mod place;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use agate_model::id::{ClassId, TIER_COUNT, Tier};
use agate_model::refusal::Reason;
use slotmap::SlotMap;

use crate::class::{self, Class};
use crate::flow::{self, Flow};
use crate::item::{Charge, Item, Offer, Room, Start, Ticket};
use crate::rate::Rate;
use crate::share::{Counter, SCALE, Share, cost};
use crate::snapshot::{self, Snapshot};

/// A whole start, in thousandths.
const START_MILLI: u32 = 1000;
/// Share of starts kept for classes that strict priority would pass over.
const RESERVE_MILLI: u32 = 100;
/// Unused reserve that is kept, so that a class whose requests are displaced
/// soon after arrival still gets its share.
const MAX_CREDIT_MILLI: u32 = 2 * START_MILLI;
/// How long a refusal counts as pressure.
const PRESSURE_MEMORY: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Entry {
    item: Item,
    flow: flow::Key,
    order: u64,
    cost: Counter,
}

#[derive(Debug)]
struct Level {
    classes: Share<class::Key>,
    members: BTreeSet<class::Key>,
    queued: usize,
    shed: Option<Instant>,
    rate: Rate,
}

#[derive(Clone, Copy, Debug)]
struct Floor {
    tier: usize,
    until: Instant,
}

/// The queue of one lane on one host.
///
/// Starts go to the highest tier with queued requests; a small share is
/// reserved for the other classes, by weight. Within a tier classes share by
/// weight, within a class client accounts do, both by counters of tokens served.
/// Places go to higher tiers first: a request is refused only when no request
/// of a lower tier is queued that could give up its place.
#[derive(Debug)]
pub struct Scheduler {
    entries: SlotMap<Ticket, Entry>,
    classes: SlotMap<class::Key, Class>,
    names: HashMap<ClassId, class::Key>,
    flows: SlotMap<flow::Key, Flow>,
    levels: [Level; TIER_COUNT],
    reserve: Share<class::Key>,
    credit: u32,
    deadlines: BTreeSet<(Instant, Ticket)>,
    capacity: usize,
    rate: Rate,
    floor: Option<Floor>,
    order: u64,
}

impl Default for Scheduler {
    fn default() -> Self {
        Self::new()
    }
}

impl Scheduler {
    /// An empty queue.
    pub fn new() -> Self {
        Self {
            entries: SlotMap::with_key(),
            classes: SlotMap::with_key(),
            names: HashMap::new(),
            flows: SlotMap::with_key(),
            levels: std::array::from_fn(|_| Level {
                classes: Share::new(),
                members: BTreeSet::new(),
                queued: 0,
                shed: None,
                rate: Rate::default(),
            }),
            reserve: Share::new(),
            credit: 0,
            deadlines: BTreeSet::new(),
            capacity: 0,
            rate: Rate::default(),
            floor: None,
            order: u64::MAX / 2,
        }
    }

    /// Requests queued.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Queues or refuses a request.
    pub fn offer(&mut self, now: Instant, item: Item) -> Offer {
        self.advance(now);
        if item.deadline <= now {
            return Offer::Refused(Reason::DeadlinePassed);
        }
        let class = self.class(&item);
        if self.is_unreachable(now, class, &item) {
            self.note_shed(now, class);
            return Offer::Refused(Reason::DeadlineUnreachable);
        }
        let displaced = match self.make_room(now, class, &item) {
            Ok(displaced) => displaced,
            Err(reason) => {
                self.note_shed(now, class);
                return Offer::Refused(reason);
            }
        };
        self.order += 1;
        let order = self.order;
        let ticket = self.insert(class, item, order);
        Offer::Queued { ticket, displaced }
    }

    /// Takes the request to run next. Call it when an endpoint has a free slot.
    pub fn next(&mut self, now: Instant, room: Room) -> Option<Start> {
        self.advance(now);
        let strict = self.strict(room);
        let reserved = self.reserved(strict, room);
        let class = reserved.or(strict)?;
        let urgency = match reserved {
            Some(_) => 0,
            None => self.classes[class].tier as Tier,
        };
        let flow = self.classes[class]
            .flows
            .first()
            .expect("a ready class has a ready flow");
        let ticket = *self.flows[flow]
            .queue
            .first_key_value()
            .expect("a ready flow has an entry")
            .1;
        self.flows[flow].running += 1;
        let charge = self.charge(flow, ticket);
        let entry = self.detach(ticket).expect("a queued ticket has an entry");
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

    /// Puts a started request back to the head of its account's queue and
    /// returns its new ticket, for when no endpoint could be chosen after all.
    pub fn put_back(&mut self, start: Start) -> Ticket {
        let class = self.class(&start.item);
        let item = start.item;
        self.settle(start.charge, 0);
        let flow = self.flow(class, &item);
        let head = self.flows[flow]
            .queue
            .first_key_value()
            .map(|(&order, _)| order);
        let order = head.unwrap_or(self.order + 1) - 1;
        self.insert(class, item, order)
    }

    /// Removes a queued request, for example when its caller went away.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        self.detach(ticket).map(|entry| entry.item)
    }

    /// Removes the requests that can no longer meet their deadline; refuse
    /// them with [`Reason::DeadlinePassed`].
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

    /// Time of the next [`Scheduler::expire`] that can remove something.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.deadlines.first().map(|&(latest, _)| latest)
    }

    /// Replaces the estimate of a started request by the tokens used.
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
        self.adjust(key, charged, cost(actual, weight));
        self.adjust_class(class, class_cost, cost(actual, class_weight));
        self.retire(key);
    }

    /// Notes that a peer sheds `tier`. Until `until`, each class of a lower
    /// tier queues at most one request here.
    pub fn set_floor(&mut self, tier: Tier, until: Instant) {
        let tier = usize::from(tier);
        let keep = self
            .floor
            .is_some_and(|floor| floor.tier < tier && floor.until >= until);
        if !keep {
            self.floor = Some(Floor { tier, until });
        }
    }

    /// Highest tier shed here lately, to be told to peers.
    pub fn pressure(&self, now: Instant) -> Option<Tier> {
        let recent = |at: Instant| now.saturating_duration_since(at) < PRESSURE_MEMORY;
        let tier = self
            .levels
            .iter()
            .position(|level| level.shed.is_some_and(recent))?;
        Some(tier as Tier)
    }

    /// State for metrics.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let mut classes: Vec<_> = self
            .classes
            .values()
            .map(|it| self.describe(now, it))
            .collect();
        classes.sort_by(|a, b| (a.tier, &a.id).cmp(&(b.tier, &b.id)));
        Snapshot {
            classes,
            accounts: self.flows.len(),
            starts_per_second: self.rate.per_second(),
            pressure: self.pressure(now),
        }
    }

    fn describe(&self, now: Instant, class: &Class) -> snapshot::Class {
        let heads = class
            .finishes
            .iter()
            .filter_map(|&(_, flow)| self.flows[flow].queue.first_key_value());
        let oldest = heads
            .map(|(_, &ticket)| self.entries[ticket].item.arrival)
            .min();
        snapshot::Class {
            id: class.id.clone(),
            tier: class.tier as Tier,
            queued: class.queued,
            oldest: oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        }
    }

    fn advance(&mut self, now: Instant) {
        self.rate.advance(now, !self.entries.is_empty());
        for level in &mut self.levels {
            level.rate.advance(now, level.queued > 0);
        }
    }

    /// The class whose turn it is by priority.
    fn strict(&self, room: Room) -> Option<class::Key> {
        let ready = self.levels.iter().flat_map(|level| level.classes.iter());
        let mut fitting = ready.filter(|&(_, key)| self.classes[key].fits(room));
        fitting.next().map(|(_, key)| key)
    }

    /// The class that gets this start from the reserve, if any.
    fn reserved(&mut self, strict: Option<class::Key>, room: Room) -> Option<class::Key> {
        if strict.is_some() {
            self.credit = (self.credit + RESERVE_MILLI).min(MAX_CREDIT_MILLI);
        }
        if self.credit < START_MILLI {
            return None;
        }
        let (counter, key) = self.passed_over(strict, room)?;
        self.credit -= START_MILLI;
        let class = &mut self.classes[key];
        class.reserved = counter + SCALE / u64::from(class.weight);
        self.reserve.update(key, counter, class.reserved);
        if let Some(strict) = strict {
            self.skip(strict, counter);
        }
        Some(key)
    }

    /// The class with the fewest starts from the reserve, other than `strict`.
    fn passed_over(&self, strict: Option<class::Key>, room: Room) -> Option<(Counter, class::Key)> {
        let mut others = self.reserve.iter().filter(|&(_, key)| Some(key) != strict);
        others.find(|&(_, key)| self.classes[key].fits_urgently(room))
    }

    /// Keeps a class that was passed over, as it is served anyway, from saving up.
    fn skip(&mut self, key: class::Key, counter: Counter) {
        let class = &mut self.classes[key];
        let raised = class.reserved.max(counter);
        self.reserve.update(key, class.reserved, raised);
        class.reserved = raised;
    }
}
