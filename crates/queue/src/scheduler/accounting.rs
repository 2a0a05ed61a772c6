//! Accounting of classes, flows and queued requests.

use agate_model::id::ClassId;

use super::{Entry, LEVEL_COUNT, Scheduler};
use crate::class::{self, Class};
use crate::flow::{self, Flow};
use crate::item::{Charge, Item, Ticket};
use crate::ranking::{Counter, cost};

impl Scheduler {
    /// Returns the class of an item, added or updated to the settings that the item carries.
    pub(super) fn upsert_class(&mut self, item: &Item) -> class::Key {
        let key = match self.class_keys.get(&item.class) {
            Some(&key) => key,
            None => self.add_class(&item.class),
        };
        let tier = usize::from(item.tier).min(LEVEL_COUNT - 1);
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

    /// Adds a class, in tier 0 until its settings are known.
    pub(super) fn add_class(&mut self, id: &ClassId) -> class::Key {
        let key = self.classes.insert(Class::new(id.clone()));
        self.class_keys.insert(id.clone(), key);
        self.levels[0].members.insert(key);
        key
    }

    /// Moves a class to another tier with its queued requests.
    pub(super) fn move_class(&mut self, key: class::Key, tier: usize) {
        let class = &mut self.classes[key];
        let old = &mut self.levels[class.tier];
        old.members.remove(&key);
        old.queued -= class.queued;
        old.ready.leave(key, class.served);
        class.tier = tier;
        let new = &mut self.levels[tier];
        new.members.insert(key);
        new.queued += class.queued;
        if class.queued > 0 {
            class.served = new.ready.join(key, 0);
        } else {
            class.served = new.ready.min_served();
        }
    }

    /// Returns the flow of an item in its class; a new flow gets the current weight of the
    /// account.
    pub(super) fn upsert_flow(&mut self, class: class::Key, item: &Item) -> flow::Key {
        if let Some(&key) = self.classes[class].flow_keys.get(&item.account) {
            return key;
        }
        let served = self.classes[class].flows.min_served();
        let key = self.flows.insert(Flow {
            class,
            account: item.account.clone(),
            weight: item.account_weight.max(1),
            served,
            backlog: 0,
            queue: Default::default(),
            running: 0,
        });
        self.classes[class]
            .flow_keys
            .insert(item.account.clone(), key);
        key
    }

    /// Adds a request to its flow at the position `sequence`.
    pub(super) fn insert(&mut self, class: class::Key, item: Item, sequence: u64) -> Ticket {
        let flow = self.upsert_flow(class, &item);
        if self.flows[flow].queue.is_empty() {
            self.activate(class, flow, item.account_weight.max(1));
        }
        let cost = cost(item.tokens, self.flows[flow].weight);
        let latest = item.latest_start();
        let ticket = self.entries.insert(Entry {
            item,
            flow,
            sequence,
            cost,
        });
        self.deadlines.insert((latest, ticket));
        let state = &mut self.flows[flow];
        let class = &mut self.classes[class];
        class.finishes.remove(&(state.finish(), flow));
        state.backlog += cost;
        state.queue.insert(sequence, ticket);
        class.finishes.insert((state.finish(), flow));
        class.queued += 1;
        self.levels[class.tier].queued += 1;
        ticket
    }

    /// Adds a flow without queued requests to the ranking of its class, and the class to those
    /// of its tier and the reserve unless it has other queued requests. The flow takes over the
    /// weight.
    pub(super) fn activate(&mut self, key: class::Key, flow: flow::Key, weight: u32) {
        let class = &mut self.classes[key];
        let state = &mut self.flows[flow];
        class.idle.remove(&(state.served, flow));
        state.weight = weight;
        state.served = class.flows.join(flow, state.served);
        class.active_weight += u64::from(weight);
        if class.queued == 0 {
            class.served = self.levels[class.tier].ready.join(key, class.served);
            class.reserved = self.reserve.join(key, class.reserved);
        }
    }

    /// Removes a queued request from its flow and all rankings; `None` if it is not queued.
    pub(super) fn detach(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(ticket)?;
        self.deadlines.remove(&(entry.item.latest_start(), ticket));
        let flow = &mut self.flows[entry.flow];
        let key = flow.class;
        let class = &mut self.classes[key];
        class.finishes.remove(&(flow.finish(), entry.flow));
        flow.backlog -= entry.cost;
        flow.queue.remove(&entry.sequence);
        class.queued -= 1;
        self.levels[class.tier].queued -= 1;
        if flow.queue.is_empty() {
            class.flows.leave(entry.flow, flow.served);
            class.active_weight -= u64::from(flow.weight);
        } else {
            class.finishes.insert((flow.finish(), entry.flow));
        }
        if class.queued == 0 {
            self.levels[class.tier].ready.leave(key, class.served);
            self.reserve.leave(key, class.reserved);
        }
        self.remove_idle_flows(entry.flow);
        Some(entry)
    }

    /// Adds the estimated cost of a queued request to the counters of its flow and class. It is
    /// called before the request is removed from the queue.
    pub(super) fn charge(&mut self, flow: flow::Key, ticket: Ticket) -> Charge {
        let class = self.flows[flow].class;
        let entry = &self.entries[ticket];
        let (tokens, flow_cost) = (entry.item.tokens, entry.cost);
        let class_cost = cost(tokens, self.classes[class].weight);
        self.adjust_flow(flow, 0, flow_cost);
        self.adjust_class(class, 0, class_cost);
        Charge {
            flow,
            tokens,
            cost: flow_cost,
            class_cost,
        }
    }

    /// Adds `plus` to the counter of a flow and subtracts `minus`.
    pub(super) fn adjust_flow(&mut self, key: flow::Key, minus: Counter, plus: Counter) {
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

    /// Adds `plus` to the counter of a class and subtracts `minus`.
    pub(super) fn adjust_class(&mut self, key: class::Key, minus: Counter, plus: Counter) {
        let class = &mut self.classes[key];
        let served = class.served;
        class.served = served.saturating_add(plus).saturating_sub(minus);
        self.levels[class.tier]
            .ready
            .update(key, served, class.served);
    }

    /// Marks the flow as idle if it is, and removes the idle flows of its class whose counters
    /// are no higher than that of a new flow would be.
    pub(super) fn remove_idle_flows(&mut self, key: flow::Key) {
        let flow = &self.flows[key];
        let class = &mut self.classes[flow.class];
        if flow.is_idle() {
            class.idle.insert((flow.served, key));
        }
        let min_served = class.flows.min_served();
        while let Some(&(served, idle)) = class.idle.first() {
            if served > min_served {
                break;
            }
            class.idle.remove(&(served, idle));
            let flow = self
                .flows
                .remove(idle)
                .expect("every key in the idle set has a flow");
            class.flow_keys.remove(&flow.account);
        }
    }
}
