//! Rumours of this host, and their effect.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use agate_member::frame::{Tag, tag};
use agate_member::rumour::{Fact, Queue, Rumour};
use agate_model::id::EndpointId;
use agate_wire::sync::Pressure;
use tokio::time::Instant;

use crate::context::Context;
use crate::endpoints::Source;

/// Rumours that are passed on, and endpoints that were heard to leave since the last list.
#[derive(Debug, Default)]
pub struct Rumours {
    mill: RefCell<Queue>,
    leaving: RefCell<BTreeMap<Tag, Instant>>,
}

impl Rumours {
    /// Rumours for a frame.
    pub fn next(&self, limit: usize) -> Vec<Rumour> {
        let now = Instant::now().into_std();
        self.mill.borrow_mut().next(limit, now)
    }

    /// Starts a rumour.
    pub fn tell(&self, fact: Fact) {
        self.tell_of(fact, Instant::now());
    }

    fn tell_of(&self, fact: Fact, told: Instant) {
        self.mill.borrow_mut().record(fact, told.into_std());
    }

    /// Forgets endpoints that were heard to leave before a list was read, as the list is newer.
    pub fn supersede(&self, read: Instant) {
        self.leaving.borrow_mut().retain(|_, told| *told >= read);
    }
}

/// Takes the rumours of a frame.
pub fn hear(context: &Context, rumours: &[Rumour]) {
    let now = Instant::now();
    for rumour in rumours {
        let mut mill = context.rumours.mill.borrow_mut();
        let is_new = mill.receive(*rumour, now.into_std());
        drop(mill);
        if is_new {
            take(context, rumour.fact, now);
        }
    }
}

fn take(context: &Context, fact: Fact, now: Instant) {
    match fact {
        Fact::HostLeaving { host, incarnation } => {
            context.members.run_leaves(host, incarnation);
        }
        Fact::EndpointLeaving { endpoint } => {
            let mut leaving = context.rumours.leaving.borrow_mut();
            leaving.insert(endpoint, now);
            drop(leaving);
            show_leaving(context);
        }
        Fact::Pressure { pool, floor } => {
            let snapshot = context.copy.snapshot();
            let found = snapshot.pools().find(|it| tag(&it.id) == pool);
            if let Some(pool) = found {
                let pool = pool.id.clone();
                context.floors.press(Pressure { pool, floor }, now);
            }
        }
    }
}

/// Starts rumours of what this host knows itself.
pub fn tell_own(context: &Context) {
    if context.members.is_leaving() {
        context.rumours.tell(Fact::HostLeaving {
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
            context.rumours.tell_of(fact, call.at);
            context.floors.press(pressure.clone(), call.at);
        }
    }
    show_leaving(context);
}

/// Tells of endpoints that the platform's list shows as leaving, if they are new.
pub fn tell_leaving(context: &Context, before: &BTreeSet<EndpointId>, now: &BTreeSet<EndpointId>) {
    for endpoint in now.difference(before) {
        let endpoint = tag(endpoint);
        context.rumours.tell(Fact::EndpointLeaving { endpoint });
    }
}

/// Hands the endpoints that were heard to leave to the gates.
fn show_leaving(context: &Context) {
    let heard = context.rumours.leaving.borrow();
    let mut leaving = BTreeSet::new();
    if !heard.is_empty() {
        let snapshot = context.copy.snapshot();
        let declared = snapshot.endpoints().map(|it| it.id.clone());
        let ordered = context.endpoints.ordered().into_iter().map(|it| it.id);
        leaving = declared
            .chain(ordered)
            .filter(|id| heard.contains_key(&tag(id)))
            .collect();
    }
    context.endpoints.set_leaving(Source::Gossip, leaving);
}
