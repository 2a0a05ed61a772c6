//! Limits that endpoints name for all hosts together, and this gate's share of them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use agate_limit::Time;
use agate_limit::book::{Book, Change, Statement};
use agate_limit::mention::{self, Mention};
use agate_model::id::EndpointId;
use agate_wire::sync;
use awc::ClientResponse;
use tokio::time::Instant;

/// Header in which an endpoint names the requests a second that it takes from all hosts together.
const HEADER: &str = "server-limit";
/// Time for which a gate reports what a response has told it.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// This gate's share of the limit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Requests a second; 0 if other gates send there.
    rate: f64,
    /// When the next request may be sent; `None` without a share.
    next: Option<Instant>,
}

impl Share {
    fn is_open(&self, now: Instant) -> bool {
        self.next.is_some_and(|next| next <= now)
    }

    /// Sets the rate. The first request may be sent after a whole interval, since other gates may have had
    /// the share before.
    fn set_rate(&mut self, now: Instant, rate: f64) {
        self.rate = rate;
        let next = interval(rate).map(|interval| now + interval);
        self.next = match self.next {
            Some(known) => next.map(|next| next.min(known)),
            None => next,
        };
    }
}

/// Returns the time between two requests; `None` without a rate.
fn interval(rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX / 4))
}

/// Limits of endpoints as responses and the control process have told them.
pub struct Limits {
    started: Instant,
    book: RefCell<Book<EndpointId>>,
    shares: RefCell<HashMap<EndpointId, Share>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            book: RefCell::default(),
            shares: RefCell::default(),
        }
    }
}

impl Limits {
    /// Returns a time of this process. Statements from before its start count from that.
    fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.started)
    }

    fn record(&self, endpoint: &EndpointId, statement: Statement) -> Option<Change> {
        let now = self.time(Instant::now());
        let change = self.book.borrow_mut().record(now, endpoint, statement)?;
        match change {
            Change::Limited(rate) => {
                self.shares
                    .borrow_mut()
                    .entry(endpoint.clone())
                    .or_default();
                tracing::info!(event = "endpoint_limited", endpoint = %endpoint, rate);
            }
            Change::Lifted => {
                self.shares.borrow_mut().remove(endpoint);
                tracing::info!(event = "endpoint_limit_lifted", endpoint = %endpoint);
            }
        }
        Some(change)
    }

    /// Records what a response to a request that was sent at `sent` says. Returns what changes by that.
    pub fn observe(
        &self,
        endpoint: &EndpointId,
        mention: Mention,
        sent: Instant,
    ) -> Option<Change> {
        let (rate, at) = match mention {
            Mention::Named(rate) => (Some(rate), Instant::now()),
            Mention::Absent => (None, sent),
            Mention::Malformed => return None,
        };
        let statement = Statement {
            rate,
            at: self.time(at),
            is_own: true,
        };
        self.record(endpoint, statement)
    }

    /// Records what the control process says in a response that was received at `received`. Returns the
    /// change of the limit.
    pub fn apply(&self, limit: &sync::Limit, received: Instant) -> Option<Change> {
        let told = &limit.statement;
        let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
        if !told.rate.is_none_or(is_valid) || !is_valid(limit.share) {
            tracing::warn!(event = "limit_malformed", endpoint = %told.endpoint);
            return None;
        }
        let age = Duration::from_millis(told.age_ms);
        let statement = Statement {
            rate: told.rate,
            at: self.time(received.checked_sub(age).unwrap_or(self.started)),
            is_own: false,
        };
        let change = self.record(&told.endpoint, statement);
        if let Some(share) = self.shares.borrow_mut().get_mut(&told.endpoint) {
            share.set_rate(Instant::now(), limit.share);
        }
        change
    }

    /// Returns what responses have lately told this gate.
    pub fn report(&self) -> Vec<sync::Statement> {
        let now = self.time(Instant::now());
        let mut book = self.book.borrow_mut();
        book.expire(now);
        let recent = book.statements().filter(|(_, statement)| {
            statement.is_own && now.saturating_sub(statement.at) < REPORT_TIME
        });
        let statements = recent.map(|(endpoint, statement)| sync::Statement {
            endpoint: endpoint.clone(),
            rate: statement.rate,
            age_ms: u64::try_from(now.saturating_sub(statement.at).as_millis()).unwrap_or(u64::MAX),
        });
        statements.collect()
    }

    /// Returns whether an endpoint has a limit.
    pub fn is_limited(&self, endpoint: &EndpointId) -> bool {
        self.shares.borrow().contains_key(endpoint)
    }

    /// Returns whether a request may be sent to an endpoint now.
    pub fn is_open(&self, endpoint: &EndpointId) -> bool {
        let shares = self.shares.borrow();
        let share = shares.get(endpoint);
        share.is_none_or(|share| share.is_open(Instant::now()))
    }

    /// Returns the endpoints with limits to which a request may be sent now.
    pub fn open(&self) -> Vec<EndpointId> {
        let now = Instant::now();
        let shares = self.shares.borrow();
        let open = shares.iter().filter(|(_, share)| share.is_open(now));
        open.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Counts a request that is sent to an endpoint. Returns whether that has a limit.
    pub fn take(&self, endpoint: &EndpointId) -> bool {
        let mut shares = self.shares.borrow_mut();
        let Some(share) = shares.get_mut(endpoint) else {
            return false;
        };
        share.next = interval(share.rate).map(|interval| Instant::now() + interval);
        true
    }
}

/// Returns what a response says of the limit of its endpoint.
pub fn mention(response: &ClientResponse) -> Mention {
    let Some(value) = response.headers().get(HEADER) else {
        return Mention::Absent;
    };
    let rate = value.to_str().map_err(|_| mention::Malformed);
    let rate = rate.and_then(mention::parse);
    rate.map_or_else(
        |err| {
            tracing::debug!(event = "notice_malformed", error = %err);
            Mention::Malformed
        },
        Mention::Named,
    )
}
