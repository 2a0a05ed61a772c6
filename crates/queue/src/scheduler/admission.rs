//! Admission to the queue: early refusals and displacement of queued requests.

use std::time::{Duration, Instant};

use agate_model::refusal::Reason;

use super::{Floor, Scheduler};
use crate::class::{self, Class};
use crate::flow;
use crate::item::{Item, Ticket};
use crate::ranking::cost;

/// Share of the starts that strict priority distributes; the rest is the reserve.
const STRICT_SHARE: f64 = 0.9;
/// Number of requests that a class may queue while a peer sheds a higher tier.
const QUEUED_BELOW_FLOOR: usize = 1;

impl Scheduler {
    /// Returns whether the request would start too late even if no lower tier got a start: after
    /// its last possible start or its [`Item::start_by`]. False while the rate of starts is
    /// unknown.
    pub(super) fn is_unreachable(&self, now: Instant, key: class::Key, item: &Item) -> bool {
        let Some(wait) = self.wait_in_class(key, item) else {
            return false;
        };
        let latest = item.latest_start().min(item.start_by);
        now.checked_add(wait).is_none_or(|start| start > latest)
    }

    /// Returns the time after which a request offered now would start if no lower tier got a start, or
    /// `None` while the rate of starts is unknown or no request of its class was ever offered.
    pub fn expected_wait(&self, item: &Item) -> Option<Duration> {
        let key = self.class_keys.get(&item.class)?;
        self.wait_in_class(*key, item)
    }

    /// Returns the expected wait of a new request of a class; `None` while the rate of starts is unknown.
    fn wait_in_class(&self, key: class::Key, item: &Item) -> Option<Duration> {
        let class = &self.classes[key];
        let rate = self.levels[class.tier].rate.per_second()?;
        let own_rate = rate * self.share_in_tier(key) / STRICT_SHARE;
        let ahead = self.ahead_in_class(class, item);
        if ahead <= 0.0 {
            // Also where nothing has started yet: a rate of 0 would keep all requests out for good.
            return Some(Duration::ZERO);
        }
        Some(Duration::try_from_secs_f64(ahead / own_rate).unwrap_or(Duration::MAX))
    }

    /// Returns the share of a class in the starts of its tier, from 0 to 1, by the weights of the
    /// classes with queued requests.
    fn share_in_tier(&self, key: class::Key) -> f64 {
        let class = &self.classes[key];
        let members = self.levels[class.tier].members.iter();
        let others = members.filter(|&&member| member != key && self.classes[member].queued > 0);
        let others: u32 = others.map(|&member| self.classes[member].weight).sum();
        f64::from(class.weight) / f64::from(class.weight + others)
    }

    /// Returns how many queued requests of the class fair sharing starts before a new one.
    pub(super) fn ahead_in_class(&self, class: &Class, item: &Item) -> f64 {
        let own_queued = class
            .flow_keys
            .get(&item.account)
            .map_or(0, |&flow| self.flows[flow].queue.len());
        let weight = f64::from(item.account_weight.max(1));
        let added_weight = if own_queued == 0 { weight } else { 0.0 };
        let share = weight / (class.active_weight as f64 + added_weight);
        (own_queued as f64 / share).min(class.queued as f64)
    }

    /// Finds space for a new request and returns the ticket of the request that it displaced, if
    /// one had to be removed. A request of a lower tier is displaced first, then one of the same
    /// tier. Below a floor only a lower tier is; without one the reason is [`Reason::Shed`], else
    /// [`Reason::QueueFull`].
    pub(super) fn make_room(
        &mut self,
        now: Instant,
        key: class::Key,
        item: &Item,
    ) -> Result<Option<Ticket>, Reason> {
        let class = &self.classes[key];
        if self.is_below_floor(now, class) {
            let victim = self.lower_tier_victim(class.tier).ok_or(Reason::Shed)?;
            return Ok(Some(self.displace(now, victim)));
        }
        if class.queued < class.limit && self.entries.len() < self.capacity {
            return Ok(None);
        }
        if let Some(victim) = self.lower_tier_victim(class.tier) {
            return Ok(Some(self.displace(now, victim)));
        }
        let victim = self.same_tier_victim(key, item).ok_or(Reason::QueueFull)?;
        Ok(Some(self.displace(now, victim)))
    }

    /// Returns whether a floor in force keeps the class from queueing another request.
    pub(super) fn is_below_floor(&self, now: Instant, class: &Class) -> bool {
        let is_below = |floor: Floor| floor.until > now && class.tier > floor.tier;
        self.floor.is_some_and(is_below) && class.queued >= QUEUED_BELOW_FLOOR
    }

    /// Returns the flow that is most over its share in the lowest tier with queued requests below
    /// `tier`.
    pub(super) fn lower_tier_victim(&self, tier: usize) -> Option<flow::Key> {
        let level = self.levels[tier + 1..]
            .iter()
            .rev()
            .find(|level| level.queued > 0)?;
        self.most_over_share(level.members.iter().copied())
    }

    /// Returns the flow that is most over its share among those of the classes, relative to the
    /// weights of the classes.
    pub(super) fn most_over_share(
        &self,
        classes: impl Iterator<Item = class::Key>,
    ) -> Option<flow::Key> {
        let relative_excess = |key: class::Key| {
            let class = &self.classes[key];
            let (excess, flow) = class.most_over_share()?;
            Some((excess / u64::from(class.weight), flow))
        };
        classes
            .filter_map(relative_excess)
            .max()
            .map(|(_, flow)| flow)
    }

    /// Returns the flow of the same tier from which a request is displaced by a new one: a flow of
    /// a class with more requests than its limit if the class of the new one is within its limit,
    /// else a flow of the same class that is further over its share than the account of the new
    /// request.
    pub(super) fn same_tier_victim(&self, key: class::Key, item: &Item) -> Option<flow::Key> {
        let class = &self.classes[key];
        if class.queued < class.limit {
            let members = self.levels[class.tier].members.iter().copied();
            return self.most_over_share(
                members.filter(|&member| self.classes[member].queued > self.classes[member].limit),
            );
        }
        let (excess, victim) = class.most_over_share()?;
        let min_served = class.flows.min_served();
        let weight = item.account_weight.max(1);
        let own_excess = match class.flow_keys.get(&item.account) {
            Some(&flow) => self.flows[flow].finish().max(min_served) - min_served,
            None => 0,
        };
        (own_excess + cost(item.tokens, weight) < excess).then_some(victim)
    }

    /// Removes the newest request of a flow and returns its ticket.
    pub(super) fn displace(&mut self, now: Instant, flow: flow::Key) -> Ticket {
        let ticket = *self.flows[flow]
            .queue
            .last_key_value()
            .expect("the flow of a victim has a queued request")
            .1;
        let class = self.flows[flow].class;
        self.record_shed(now, class);
        self.detach(ticket);
        ticket
    }

    /// Records that a request of the class was refused or displaced, for
    /// [`Scheduler::pressure`].
    pub(super) fn record_shed(&mut self, now: Instant, class: class::Key) {
        self.levels[self.classes[class].tier].shed_at = Some(now);
    }
}
