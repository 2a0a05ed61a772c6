//! Rumours that this host publishes and passes on, and what it does on receiving one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_member::frame::{Tag, tag};
use agate_member::rumour::{Fact, Queue, Rumour};
use agate_model::id::EndpointId;
use agate_wire::sync::{Pressure, Statement};
use tokio::time::Instant;

use crate::context::Context;
use crate::endpoints::Source;

/// Queue of rumours to pass on, and the endpoints that rumours reported as leaving since the
/// platform's list was last read.
#[derive(Debug, Default)]
pub struct Rumours {
    queue: RefCell<Queue>,
    leaving: RefCell<BTreeMap<Tag, Instant>>,
}

impl Rumours {
    /// Returns up to `limit` rumours for the next frame.
    pub fn next(&self, limit: usize) -> Vec<Rumour> {
        let now = Instant::now().into_std();
        self.queue.borrow_mut().next(limit, now)
    }

    /// Adds a rumour of a fact that holds now.
    pub fn publish(&self, fact: Fact) {
        self.publish_at(fact, Instant::now());
    }

    fn publish_at(&self, fact: Fact, at: Instant) {
        self.queue.borrow_mut().record(fact, at.into_std());
    }

    /// Forgets endpoints reported as leaving before `read`, when the platform's list was read, as
    /// the list is newer.
    pub fn supersede(&self, read: Instant) {
        self.leaving
            .borrow_mut()
            .retain(|_, reported| *reported >= read);
    }
}

/// Queues the rumours of a received frame, and applies those that are new.
pub fn receive(context: &Context, rumours: &[Rumour]) {
    let now = Instant::now();
    for rumour in rumours {
        let mut queue = context.rumours.queue.borrow_mut();
        let is_new = queue.receive(*rumour, now.into_std());
        drop(queue);
        if is_new {
            let observed = rumour.observed(now.into_std());
            let observed = observed.map_or(now, Instant::from_std);
            apply(context, rumour.fact, now, observed);
        }
    }
}

fn apply(context: &Context, fact: Fact, now: Instant, observed: Instant) {
    match fact {
        Fact::HostLeaving { host, incarnation } => {
            context.members.mark_leaving(host, incarnation);
        }
        Fact::EndpointLeaving { endpoint } => {
            let mut leaving = context.rumours.leaving.borrow_mut();
            leaving.insert(endpoint, now);
            drop(leaving);
            update_leaving(context);
        }
        Fact::Pressure { pool, floor } => {
            let snapshot = context.copy.snapshot();
            let found = snapshot.pools().find(|declared| tag(&declared.id) == pool);
            if let Some(pool) = found {
                let pool = pool.id.clone();
                context.floors.record(Pressure { pool, floor }, now);
            }
        }
        Fact::Limit { endpoint, rate } => {
            let rate = rate.map(|rate| rate as f64 / 1e3);
            context.limits.record(endpoint, rate, observed);
        }
    }
}

/// Publishes what this host knows itself: that it shuts down, and the pressure that its gates
/// report.
pub fn publish_own(context: &Context) {
    if context.members.is_leaving() {
        context.rumours.publish(Fact::HostLeaving {
            host: tag(&context.host.id),
            incarnation: tag(&context.host.incarnation),
        });
    }
    for call in context.inbox.calls().values() {
        for pressure in &call.pressure {
            let fact = Fact::Pressure {
                pool: tag(&pressure.pool),
                floor: pressure.floor,
            };
            context.rumours.publish_at(fact, call.at);
            context.floors.record(pressure.clone(), call.at);
        }
    }
    update_leaving(context);
}

/// Publishes what a gate reports of limits that endpoints have named.
pub fn publish_limits(context: &Context, statements: &[Statement]) {
    let now = Instant::now();
    for statement in statements {
        let age = Duration::from_millis(statement.age_ms);
        let observed = now.checked_sub(age).unwrap_or(now);
        if let Some(fact) = context.limits.report(statement, observed) {
            context.rumours.publish_at(fact, observed);
        }
    }
}

/// Publishes the endpoints of `now`, which the platform lists as leaving, that aren't in `before`,
/// which were already known as leaving.
pub fn publish_leaving(
    context: &Context,
    before: &BTreeSet<EndpointId>,
    now: &BTreeSet<EndpointId>,
) {
    for endpoint in now.difference(before) {
        let endpoint = tag(endpoint);
        context.rumours.publish(Fact::EndpointLeaving { endpoint });
    }
}

/// Updates the endpoints shown to gates as leaving because of rumours. Rumours name endpoints by
/// tag, so only declared and ordered endpoints can be resolved.
fn update_leaving(context: &Context) {
    let reported = context.rumours.leaving.borrow();
    let mut leaving = BTreeSet::new();
    if !reported.is_empty() {
        let snapshot = context.copy.snapshot();
        let declared = snapshot.endpoints().map(|endpoint| endpoint.id.clone());
        let ordered = context
            .endpoints
            .ordered()
            .into_iter()
            .map(|endpoint| endpoint.id);
        leaving = declared
            .chain(ordered)
            .filter(|id| reported.contains_key(&tag(id)))
            .collect();
    }
    context.endpoints.set_leaving(Source::Gossip, leaving);
}
