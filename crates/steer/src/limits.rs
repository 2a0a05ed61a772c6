//! Limits that endpoints have named, as gates and peers report them, and the share of each gate.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agate_limit::Time;
use agate_limit::book::{Book, Statement};
use agate_limit::owner;
use agate_member::frame::{Tag, tag};
use agate_member::rumour::Fact;
use agate_model::id::EndpointId;
use agate_wire::sync;
use tokio::time::Instant;

use crate::context::Context;
use crate::rpc::peer::millis;

/// Time from the start of a process until its host gets shares: others know of the host by then.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Age of the proof of the configuration beyond which the host may be cut off, and so know outdated hosts.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// Interval between two rumours of a limit that does not change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Newest known statement of each endpoint, by the tag of its name.
#[derive(Debug)]
pub struct Limits {
    started: Instant,
    book: RefCell<Book<Tag>>,
    /// When this host last published a rumour of an endpoint's limit.
    published: RefCell<HashMap<Tag, Instant>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            book: RefCell::default(),
            published: RefCell::default(),
        }
    }
}

impl Limits {
    /// Returns a time of this process. Statements from before its start count from that.
    fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.started)
    }

    /// Records a statement of an endpoint that some host observed at `observed`. Returns whether that
    /// changes its limit.
    pub fn record(&self, endpoint: Tag, rate: Option<f64>, observed: Instant) -> bool {
        let statement = Statement {
            rate,
            at: self.time(observed),
            is_own: false,
        };
        let now = self.time(Instant::now());
        let change = self.book.borrow_mut().record(now, &endpoint, statement);
        if let Some(change) = change {
            let tag = format!("{endpoint:016x}");
            tracing::info!(event = "limit_changed", tag, change = ?change);
        }
        change.is_some()
    }

    /// Records what a gate reports; returns the fact if peers are to be told of it.
    pub fn report(&self, statement: &sync::Statement, observed: Instant) -> Option<Fact> {
        let endpoint = tag(&statement.endpoint);
        let has_changed = self.record(endpoint, statement.rate, observed);
        let mut published = self.published.borrow_mut();
        let last = published.get(&endpoint);
        let is_due = last.is_none_or(|at| at.elapsed() >= REPEAT_INTERVAL);
        if !has_changed && !is_due {
            return None;
        }
        published.retain(|_, at| at.elapsed() < REPEAT_INTERVAL);
        published.insert(endpoint, Instant::now());
        // A limit stays one however small it is.
        let rate = statement.rate.map(|rate| (rate * 1e3).ceil() as u64);
        Some(Fact::Limit { endpoint, rate })
    }
}

/// Returns the limits of the declared and ordered endpoints, with the shares of the gate of `host`.
pub fn shares(context: &Context, host: &str) -> Vec<sync::Limit> {
    let limits = &context.limits;
    let now = limits.time(Instant::now());
    limits.book.borrow_mut().expire(now);
    let book = limits.book.borrow();
    if book.is_empty() {
        return Vec::new();
    }
    let entries = context.members.entries();
    let live: Vec<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
    // Hosts that are not reached may run and have owners of their own.
    let sharing = context.members.rows().len().div_ceil(2);
    let is_settled = limits.started.elapsed() >= SETTLE_TIME;
    let is_current = context
        .copy
        .proof_age()
        .is_some_and(|age| age <= MAX_PROOF_AGE);
    let limits = names(context).into_iter().filter_map(|(tag, endpoint)| {
        let statement = book.statement(&tag)?;
        let share = statement.rate.filter(|_| is_settled).map_or(0.0, |rate| {
            let part = owner::part(&endpoint, host, &live, sharing);
            owner::granted_rate(rate, part, is_current)
        });
        let statement = sync::Statement {
            endpoint,
            rate: statement.rate,
            age_ms: millis(now.saturating_sub(statement.at)),
        };
        Some(sync::Limit { statement, share })
    });
    limits.collect()
}

/// Returns the names of the declared and ordered endpoints by their tags.
fn names(context: &Context) -> BTreeMap<Tag, EndpointId> {
    let snapshot = context.copy.snapshot();
    let declared = snapshot.endpoints().map(|endpoint| endpoint.id.clone());
    let ordered = context.endpoints.ordered().into_iter();
    let ordered = ordered.map(|endpoint| endpoint.id);
    let all = declared.chain(ordered);
    all.map(|endpoint| (tag(&endpoint), endpoint)).collect()
}
