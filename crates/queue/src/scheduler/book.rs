//! Records of classes, flows and queued requests.

use agate_model::id::{ClassId, TIER_COUNT};

use super::{Entry, Scheduler};
use crate::class::{self, Class};
use crate::flow::{self, Flow};
use crate::item::{Charge, Item, Ticket};
use crate::share::{Counter, cost};

impl Scheduler {
    /// The class of an item, with its current declaration.
    pub(super) fn class(&mut self, item: &Item) -> class::Key {
        let key = match self.names.get(&item.class) {
            Some(&key) => key,
            None => self.add_class(&item.class),
        };
        let tier = usize::from(item.tier).min(TIER_COUNT - 1);
        let class = &mut self.classes[key];
        self.capacity += item.queue_limit as usize;
        self.capacity -= class.limit;
        class.limit = item.queue_limit as usize;
        class.weight = item.class_weight.max(1);
        class.reclaimable = item.reclaimable;
        if class.tier != tier {
            self.move_class(key, tier);
        }
        key
    }

    pub(super) fn add_class(&mut self, id: &ClassId) -> class::Key {
        let key = self.classes.insert(Class::new(id.clone()));
        self.names.insert(id.clone(), key);
        self.levels[0].members.insert(key);
        key
    }

    pub(super) fn move_class(&mut self, key: class::Key, tier: usize) {
        let class = &mut self.classes[key];
        let old = &mut self.levels[class.tier];
        old.members.remove(&key);
        old.queued -= class.queued;
        old.classes.leave(key, class.served);
        class.tier = tier;
        let new = &mut self.levels[tier];
        new.members.insert(key);
        new.queued += class.queued;
        if class.queued > 0 {
            class.served = new.classes.join(key, 0);
        } else {
            class.served = new.classes.floor();
        }
    }

    /// The flow of an item, with its current weight.
    pub(super) fn flow(&mut self, class: class::Key, item: &Item) -> flow::Key {
        if let Some(&key) = self.classes[class].names.get(&item.account) {
            return key;
        }
        let served = self.classes[class].flows.floor();
        let key = self.flows.insert(Flow {
            class,
            account: item.account.clone(),
            weight: item.account_weight.max(1),
            served,
            backlog: 0,
            queue: Default::default(),
            running: 0,
        });
        self.classes[class].names.insert(item.account.clone(), key);
        key
    }

    pub(super) fn insert(&mut self, class: class::Key, item: Item, order: u64) -> Ticket {
        let flow = self.flow(class, &item);
        if self.flows[flow].queue.is_empty() {
            self.activate(class, flow, item.account_weight.max(1));
        }
        let cost = cost(item.tokens, self.flows[flow].weight);
        let latest = item.latest_start();
        let ticket = self.entries.insert(Entry {
            item,
            flow,
            order,
            cost,
        });
        self.deadlines.insert((latest, ticket));
        let it = &mut self.flows[flow];
        let class = &mut self.classes[class];
        class.finishes.remove(&(it.finish(), flow));
        it.backlog += cost;
        it.queue.insert(order, ticket);
        class.finishes.insert((it.finish(), flow));
        class.queued += 1;
        self.levels[class.tier].queued += 1;
        ticket
    }

    /// Makes an empty flow, and if need be its class, ready.
    pub(super) fn activate(&mut self, key: class::Key, flow: flow::Key, weight: u32) {
        let class = &mut self.classes[key];
        let it = &mut self.flows[flow];
        class.idle.remove(&(it.served, flow));
        it.weight = weight;
        it.served = class.flows.join(flow, it.served);
        class.active_weight += u64::from(weight);
        if class.queued == 0 {
            class.served = self.levels[class.tier].classes.join(key, class.served);
            class.reserved = self.reserve.join(key, class.reserved);
        }
    }

    pub(super) fn detach(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(ticket)?;
        self.deadlines.remove(&(entry.item.latest_start(), ticket));
        let flow = &mut self.flows[entry.flow];
        let key = flow.class;
        let class = &mut self.classes[key];
        class.finishes.remove(&(flow.finish(), entry.flow));
        flow.backlog -= entry.cost;
        flow.queue.remove(&entry.order);
        class.queued -= 1;
        self.levels[class.tier].queued -= 1;
        if flow.queue.is_empty() {
            class.flows.leave(entry.flow, flow.served);
            class.active_weight -= u64::from(flow.weight);
        } else {
            class.finishes.insert((flow.finish(), entry.flow));
        }
        if class.queued == 0 {
            self.levels[class.tier].classes.leave(key, class.served);
            self.reserve.leave(key, class.reserved);
        }
        self.retire(entry.flow);
        Some(entry)
    }

    /// Charges a queued request to its flow and class, before it leaves the queue.
    pub(super) fn charge(&mut self, flow: flow::Key, ticket: Ticket) -> Charge {
        let class = self.flows[flow].class;
        let entry = &self.entries[ticket];
        let (tokens, amount) = (entry.item.tokens, entry.cost);
        let class_cost = cost(tokens, self.classes[class].weight);
        self.adjust(flow, 0, amount);
        self.adjust_class(class, 0, class_cost);
        Charge {
            flow,
            tokens,
            cost: amount,
            class_cost,
        }
    }

    pub(super) fn adjust(&mut self, key: flow::Key, minus: Counter, plus: Counter) {
        let flow = &mut self.flows[key];
        let class = &mut self.classes[flow.class];
        let (served, finish) = (flow.served, flow.finish());
        class.idle.remove(&(served, key));
        flow.served = served.saturating_add(plus).saturating_sub(minus);
        class.flows.update(key, served, flow.served);
        if class.finishes.remove(&(finish, key)) {
            class.finishes.insert((flow.finish(), key));
        }
    }

    pub(super) fn adjust_class(&mut self, key: class::Key, minus: Counter, plus: Counter) {
        let class = &mut self.classes[key];
        let served = class.served;
        class.served = served.saturating_add(plus).saturating_sub(minus);
        self.levels[class.tier]
            .classes
            .update(key, served, class.served);
    }

    /// Forgets an idle flow once its counter is no higher than a new one's would be.
    pub(super) fn retire(&mut self, key: flow::Key) {
        let flow = &self.flows[key];
        let class = &mut self.classes[flow.class];
        if flow.is_idle() {
            class.idle.insert((flow.served, key));
        }
        let floor = class.flows.floor();
        while let Some(&(served, idle)) = class.idle.first() {
            if served > floor {
                break;
            }
            class.idle.remove(&(served, idle));
            let flow = self.flows.remove(idle).expect("an idle flow exists");
            class.names.remove(&flow.account);
        }
    }
}
