//! Access log: one line for each request.

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{AccountId, EndpointId, RequestId, RouteId, Tier, Version};
use tokio::time::Instant;

use crate::edge::Edge;
use crate::metrics::count;
use crate::roster::Endpoint;

/// Outcome of a request whose caller disconnected.
const CALLER_GONE: &str = "caller_gone";
/// Outcome of a request that was in flight when the process ended.
const CUT: &str = "cut";
/// Outcome of a request whose handling panicked.
const PANICKED: &str = "panicked";

/// Log record of one request. It is written to log and metrics when dropped, so that a request
/// whose caller disconnects is recorded too.
pub struct Record {
    edge: Rc<Edge>,
    arrival: Instant,
    /// Id of the request; empty if its head is malformed.
    pub request: RequestId,
    /// Id of the matching route; empty if there is none.
    pub route: RouteId,
    /// Account of the key, if one is known.
    pub account: Option<AccountId>,
    /// Tier in which the request is queued.
    pub tier: Tier,
    /// Version of the configuration by which the request was admitted or refused.
    pub version: Version,
    /// Age of the evidence that this version was the newest; None without any evidence.
    pub evidence_age: Option<Duration>,
    /// Whether the request waited in the queue.
    pub waited: bool,
    /// Time from arrival to the head of an endpoint's response.
    pub time_to_first_byte: Option<Duration>,
    /// Status of the response; 0 if there was none.
    pub status: u16,
    /// Outcome in log and metrics.
    pub outcome: &'static str,
    /// `Retry-After` that was sent to the caller.
    pub retry_after: Option<Duration>,
    /// Endpoints of all attempts, in order.
    endpoints: Vec<EndpointId>,
    /// Attempts at endpoints of which this host knew that they have a limit.
    limited: u32,
    /// Time from arrival to the first attempt.
    time_to_attempt: Option<Duration>,
}

impl Record {
    /// Creates the record of a request that has just arrived. Its outcome stays `caller_gone`
    /// unless another one is set.
    pub fn new(edge: Rc<Edge>, arrival: Instant) -> Self {
        Self {
            edge,
            arrival,
            request: RequestId::new(),
            route: RouteId::new(),
            account: None,
            tier: 0,
            version: 0,
            evidence_age: None,
            waited: false,
            time_to_first_byte: None,
            status: 0,
            outcome: CALLER_GONE,
            retry_after: None,
            endpoints: Vec::new(),
            limited: 0,
            time_to_attempt: None,
        }
    }

    /// Adds an attempt at an endpoint; `is_limited` tells whether that is known to have a limit.
    pub fn add_attempt(&mut self, endpoint: &Endpoint, is_limited: bool) {
        let elapsed = self.arrival.elapsed();
        self.time_to_attempt.get_or_insert(elapsed);
        self.endpoints.push(endpoint.id.clone());
        if is_limited {
            self.limited += 1;
            self.edge.metrics.limited_attempts.inc();
        }
    }

    /// Returns whether there was an attempt.
    pub fn has_attempts(&self) -> bool {
        !self.endpoints.is_empty()
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.outcome == CALLER_GONE {
            self.outcome = match self.edge.has_ended() {
                _ if std::thread::panicking() => PANICKED,
                true => CUT,
                false => CALLER_GONE,
            };
        }
        let metrics = &self.edge.metrics;
        count(&metrics.requests, self.outcome);
        let total = self.arrival.elapsed();
        metrics.observe_response(self.tier, total);
        if let Some(latency) = self.time_to_first_byte {
            metrics.observe_first_byte(self.tier, latency);
        }
        if let Some(time_to_attempt) = self.time_to_attempt {
            metrics.observe_wait(self.tier, time_to_attempt);
        }
        tracing::info!(
            event = "request",
            request = self.request,
            outcome = self.outcome,
            status = self.status,
            route = self.route,
            account = self.account.as_deref().unwrap_or_default(),
            tier = self.tier,
            endpoints = self.endpoints.join(","),
            limited = self.limited,
            config = self.version,
            evidence_ms = self.evidence_age.map_or(-1, millis),
            waited = self.waited,
            placed_ms = self.time_to_attempt.map_or(-1, millis),
            first_ms = self.time_to_first_byte.map_or(-1, millis),
            whole_ms = millis(total),
            retry_after_ms = self.retry_after.map_or(-1, millis),
        );
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
