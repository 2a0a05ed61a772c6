//! Limits that endpoints have named, as gates and peers report them, and the permits that owners grant to
//! hosts.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agate_limit::Time;
use agate_limit::book::{Book, Change, Statement};
use agate_limit::owner;
use agate_limit::permit::Answer;
use agate_limit::schedule::Schedules;
use agate_member::frame::{Tag, tag};
use agate_member::rumour::Fact;
use agate_model::id::{EndpointId, HostId};
use agate_wire::permit::{self, Question, Reply};
use agate_wire::sync;
use rand::seq::SliceRandom as _;
use tokio::time::{Instant, timeout};

use crate::context::Context;
use crate::metrics::Label;
use crate::rpc::peer::millis;

/// Time from the start of a process until it grants permits: others know of its host by then.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Age of the proof of the configuration beyond which the host may be cut off, and so know outdated hosts.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// Interval between two rumours of a limit that does not change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Time until an owner that does not answer is given up. A gate waits for the answers of two.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Wait of a host that asks one which is no owner: what hosts know of each other agrees again after it.
const NO_OWNER_WAIT: Duration = Duration::from_secs(1);
/// Answer where no owner knows of the limit or can be reached.
const NO_ANSWER: Answer = Answer::Denied {
    wait: Duration::from_millis(300),
};

/// Newest known statement of each endpoint, by the tag of its name.
#[derive(Debug)]
pub struct Limits {
    started: Instant,
    book: RefCell<Book<Tag>>,
    /// When this host last published a rumour of an endpoint's limit.
    published: RefCell<HashMap<Tag, Instant>>,
    /// Permits that this host grants as an owner.
    schedules: RefCell<Schedules<Tag>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            book: RefCell::default(),
            published: RefCell::default(),
            schedules: RefCell::default(),
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
        if change == Some(Change::Lifted) {
            self.schedules.borrow_mut().remove(&endpoint);
        }
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

    fn grant(&self, context: &Context, question: &Question) -> Answer {
        let now = Instant::now();
        let endpoint = tag(&question.endpoint);
        let rate = self.book.borrow().rate(&endpoint);
        let Some(rate) = rate else {
            // The host that asks may have been told before this one.
            return NO_ANSWER;
        };
        let part = self.part(context, &question.endpoint);
        if part <= 0.0 {
            return Answer::Denied {
                wait: NO_OWNER_WAIT,
            };
        }
        let proof_age = context.copy.proof_age();
        let is_current = proof_age.is_some_and(|age| age <= MAX_PROOF_AGE);
        let rate = owner::granted_rate(rate, part, is_current);
        let mut schedules = self.schedules.borrow_mut();
        schedules.ask(&endpoint, now.into_std(), rate, question.wanted)
    }

    /// Returns the part of an endpoint's limit that this host grants; 0 if it is no owner.
    fn part(&self, context: &Context, endpoint: &EndpointId) -> f64 {
        if self.started.elapsed() < SETTLE_TIME {
            return 0.0;
        }
        let hosts = electorate(context);
        let live: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
        // Hosts that are not reached may run and have owners of their own.
        let sharing = context.members.rows().len().div_ceil(2);
        owner::part(endpoint, &context.host.id, &live, sharing)
    }
}

/// Returns what the declared and ordered endpoints are known to have said of their limits.
pub fn statements(context: &Context) -> Vec<sync::Statement> {
    let limits = &context.limits;
    let now = limits.time(Instant::now());
    limits.book.borrow_mut().expire(now);
    let book = limits.book.borrow();
    if book.is_empty() {
        return Vec::new();
    }
    let statements = names(context).into_iter().filter_map(|(tag, endpoint)| {
        let statement = book.statement(&tag)?;
        Some(sync::Statement {
            endpoint,
            rate: statement.rate,
            age_ms: millis(now.saturating_sub(statement.at)),
        })
    });
    statements.collect()
}

/// Answers a host, this one included, that wants permits for an endpoint.
pub fn grant(context: &Context, question: &Question) -> Answer {
    let answer = context.limits.grant(context, question);
    let outcome = match answer {
        Answer::Granted { .. } => "granted",
        Answer::Denied { .. } => "denied",
    };
    count(context, outcome);
    answer
}

/// Asks the owners of an endpoint, in random order, until one grants permits. Returns the answer with the
/// shortest wait if none does.
pub async fn find(context: &Context, question: Question) -> Answer {
    let hosts = electorate(context);
    let hosts: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    let mut owners = owner::owners(&question.endpoint, &hosts);
    owners.shuffle(&mut rand::rng());
    let mut shortest = None;
    for owner in owners {
        let answer = match owner == context.host.id {
            true => Some(grant(context, &question)),
            false => call(context, owner, &question).await,
        };
        match answer {
            Some(Answer::Denied { wait }) => {
                shortest = Some(shortest.map_or(wait, |known: Duration| known.min(wait)));
            }
            Some(granted) => return granted,
            None => {}
        }
    }
    shortest.map_or(NO_ANSWER, |wait| Answer::Denied { wait })
}

/// Asks the control process of another host for permits; `None` without an answer.
async fn call(context: &Context, owner: &str, question: &Question) -> Option<Answer> {
    let address = context.members.get(owner)?.host.steer;
    let reply = context.peers.call(address, permit::GRANT, question);
    let reply: Result<Reply, String> = match timeout(CALL_TIMEOUT, reply).await {
        Ok(reply) => reply.map_err(|err| err.to_string()),
        Err(elapsed) => Err(elapsed.to_string()),
    };
    let reply = reply.inspect_err(|error| {
        count(context, "unanswered");
        let endpoint = &question.endpoint;
        tracing::info!(event = "owner_lost", endpoint, owner, error);
    });
    reply.ok().map(Answer::from)
}

/// Returns the hosts among which the owners of endpoints are chosen.
fn electorate(context: &Context) -> Vec<HostId> {
    let entries = context.members.entries().into_iter();
    entries.map(|entry| entry.host).collect()
}

fn count(context: &Context, outcome: &str) {
    let label = Label::new(outcome);
    context.metrics.permits.get_or_create(&label).inc();
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
