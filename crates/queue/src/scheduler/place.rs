//! Places in the queue: early refusals and displacement.

use std::time::{Duration, Instant};

use agate_model::refusal::Reason;

use super::{Floor, Scheduler};
use crate::class::{self, Class};
use crate::flow;
use crate::item::{Item, Ticket};
use crate::share::cost;

/// Share of the starts that go by priority; the rest is the reserve.
const STRICT_SHARE: f64 = 0.9;
/// Requests that a class may queue while a peer sheds a higher tier.
const QUEUED_BELOW_FLOOR: usize = 1;

impl Scheduler {
    /// Whether the deadline is out of reach even if no lower tier got a start.
    pub(super) fn is_unreachable(&self, now: Instant, key: class::Key, item: &Item) -> bool {
        let class = &self.classes[key];
        let Some(rate) = self.levels[class.tier].rate.per_second() else {
            return false;
        };
        let own_rate = rate * self.share_in_tier(key) / STRICT_SHARE;
        let ahead = self.ahead_in_class(class, item);
        let wait = Duration::try_from_secs_f64(ahead / own_rate).unwrap_or(Duration::MAX);
        let latest = item.latest_start().min(item.start_by);
        now.checked_add(wait).is_none_or(|start| start > latest)
    }

    /// Share of a class in the starts of its tier.
    fn share_in_tier(&self, key: class::Key) -> f64 {
        let class = &self.classes[key];
        let members = self.levels[class.tier].members.iter();
        let others = members.filter(|&&it| it != key && self.classes[it].queued > 0);
        let others: u32 = others.map(|&it| self.classes[it].weight).sum();
        f64::from(class.weight) / f64::from(class.weight + others)
    }

    /// Requests of the class that fair shares put before a new one.
    pub(super) fn ahead_in_class(&self, class: &Class, item: &Item) -> f64 {
        let own = class
            .names
            .get(&item.account)
            .map_or(0, |&flow| self.flows[flow].queue.len());
        let weight = f64::from(item.account_weight.max(1));
        let newcomer = if own == 0 { weight } else { 0.0 };
        let share = weight / (class.active_weight as f64 + newcomer);
        (own as f64 / share).min(class.queued as f64)
    }

    /// Finds a place for a new request, displacing another one if need be.
    pub(super) fn make_room(
        &mut self,
        now: Instant,
        key: class::Key,
        item: &Item,
    ) -> Result<Option<Ticket>, Reason> {
        let class = &self.classes[key];
        if self.is_below_floor(now, class) {
            let victim = self.lower(class.tier).ok_or(Reason::Shed)?;
            return Ok(Some(self.displace(now, victim)));
        }
        if class.queued < class.limit && self.entries.len() < self.capacity {
            return Ok(None);
        }
        if let Some(victim) = self.lower(class.tier) {
            return Ok(Some(self.displace(now, victim)));
        }
        let victim = self.peer(key, item).ok_or(Reason::QueueFull)?;
        Ok(Some(self.displace(now, victim)))
    }

    pub(super) fn is_below_floor(&self, now: Instant, class: &Class) -> bool {
        let below = |floor: Floor| floor.until > now && class.tier > floor.tier;
        self.floor.is_some_and(below) && class.queued >= QUEUED_BELOW_FLOOR
    }

    /// The flow most over its share in the lowest tier below `tier`.
    pub(super) fn lower(&self, tier: usize) -> Option<flow::Key> {
        let level = self.levels[tier + 1..]
            .iter()
            .rev()
            .find(|level| level.queued > 0)?;
        self.heaviest(level.members.iter().copied())
    }

    pub(super) fn heaviest(&self, classes: impl Iterator<Item = class::Key>) -> Option<flow::Key> {
        let excess = |key: class::Key| {
            let class = &self.classes[key];
            let (over, flow) = class.heaviest()?;
            Some((over / u64::from(class.weight), flow))
        };
        classes.filter_map(excess).max().map(|(_, flow)| flow)
    }

    /// The flow of the same tier that gives way to a new request: one of a class
    /// with more than its places, else one further over its share in the same class.
    pub(super) fn peer(&self, key: class::Key, item: &Item) -> Option<flow::Key> {
        let class = &self.classes[key];
        if class.queued < class.limit {
            let members = self.levels[class.tier].members.iter().copied();
            return self
                .heaviest(members.filter(|&it| self.classes[it].queued > self.classes[it].limit));
        }
        let (over, victim) = class.heaviest()?;
        let floor = class.flows.floor();
        let weight = item.account_weight.max(1);
        let own = match class.names.get(&item.account) {
            Some(&flow) => self.flows[flow].finish().max(floor) - floor,
            None => 0,
        };
        (own + cost(item.tokens, weight) < over).then_some(victim)
    }

    /// Removes the newest request of a flow.
    pub(super) fn displace(&mut self, now: Instant, flow: flow::Key) -> Ticket {
        let ticket = *self.flows[flow]
            .queue
            .last_key_value()
            .expect("a victim has an entry")
            .1;
        let class = self.flows[flow].class;
        self.note_shed(now, class);
        self.detach(ticket);
        ticket
    }

    pub(super) fn note_shed(&mut self, now: Instant, class: class::Key) {
        self.levels[self.classes[class].tier].shed = Some(now);
    }
}
