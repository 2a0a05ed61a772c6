//! The line in the log that tells what became of a request.

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{AccountId, EndpointId, RequestId, RouteId, Tier, Version};
use tokio::time::Instant;

use crate::edge::Edge;
use crate::metrics::count;
use crate::roster::Endpoint;

/// Everything that decided about a request. It is logged when dropped, so that a request whose
/// caller has gone away leaves a line too.
pub struct Record {
    edge: Rc<Edge>,
    arrival: Instant,
    /// Request.
    pub request: RequestId,
    /// Route.
    pub route: RouteId,
    /// Account.
    pub account: Option<AccountId>,
    /// Urgency.
    pub tier: Tier,
    /// Version of the configuration that admitted it.
    pub version: Version,
    /// Age of the evidence that this version was the newest.
    pub evidence: Option<Duration>,
    /// Whether it waited in line.
    pub waited: bool,
    /// Time from arrival to the head of an endpoint's answer.
    pub first: Option<Duration>,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
    /// What became of it.
    pub outcome: &'static str,
    /// Wait that the caller was told.
    pub retry_after: Option<Duration>,
    endpoints: Vec<EndpointId>,
    placed: Option<Duration>,
}

impl Record {
    /// A request that has just arrived. Unless its outcome is set, its caller has gone away.
    pub fn new(edge: Rc<Edge>, arrival: Instant) -> Self {
        Self {
            edge,
            arrival,
            request: RequestId::new(),
            route: RouteId::new(),
            account: None,
            tier: 0,
            version: 0,
            evidence: None,
            waited: false,
            first: None,
            status: 0,
            outcome: "caller_gone",
            retry_after: None,
            endpoints: Vec::new(),
            placed: None,
        }
    }

    /// The request goes to an endpoint.
    pub fn attempt(&mut self, endpoint: &Endpoint) {
        let elapsed = self.arrival.elapsed();
        self.placed.get_or_insert(elapsed);
        self.endpoints.push(endpoint.id.clone());
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let metrics = &self.edge.metrics;
        count(&metrics.requests, self.outcome);
        let whole = self.arrival.elapsed();
        metrics.observe_response(self.tier, whole);
        if let Some(first) = self.first {
            metrics.observe_first_byte(self.tier, first);
        }
        if let Some(placed) = self.placed {
            metrics.observe_wait(self.tier, placed);
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
            config = self.version,
            evidence_ms = self.evidence.map_or(-1, millis),
            waited = self.waited,
            placed_ms = self.placed.map_or(-1, millis),
            first_ms = self.first.map_or(-1, millis),
            whole_ms = millis(whole),
            retry_after_ms = self.retry_after.map_or(-1, millis),
        );
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
