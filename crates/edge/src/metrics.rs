//! Counters and latency histograms.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::edge::Edge;
use crate::headers;
use crate::refusal::Reason;
use crate::response::{Responder, Response};
use crate::server::Incoming;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.9, 1.5, 3.0, 5.0, 12.0,
];

/// Label with the outcome of something.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Stable code.
    pub outcome: &'static str,
}

/// Label with a tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Tier {
    /// Urgency.
    pub tier: u8,
}

#[derive(Clone, Copy, Debug)]
struct Buckets;

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(LATENCY_BUCKETS)
    }
}

/// Metrics of an entry host.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: Family<Outcome, Counter>,
    /// Attempts at endpoints by outcome.
    pub attempts: Family<Outcome, Counter>,
    /// Repeats by their reason.
    pub repeats: Family<Outcome, Counter>,
    /// Calls to the store and the duties' receiver by outcome.
    pub calls: Family<Outcome, Counter>,
    /// Changes of what this host believes, by kind.
    pub changes: Family<Outcome, Counter>,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Requests being handled.
    pub running: Gauge,
    /// Whether this host holds the lease.
    pub held: Gauge,
    latency: Latency,
}

#[derive(Debug)]
struct Latency {
    first: Family<Tier, Histogram, Buckets>,
    whole: Family<Tier, Histogram, Buckets>,
    waited: Family<Tier, Histogram, Buckets>,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            first: Family::new_with_constructor(Buckets),
            whole: Family::new_with_constructor(Buckets),
            waited: Family::new_with_constructor(Buckets),
        }
    }
}

/// Counts one event of a kind.
pub fn count(family: &Family<Outcome, Counter>, outcome: &'static str) {
    family.get_or_create(&Outcome { outcome }).inc();
}

/// Outcome of a request that an endpoint answered.
pub fn answered(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "served",
        300..=499 => "answered_4xx",
        _ => "answered_5xx",
    }
}

impl Metrics {
    /// Metrics whose counters of refusals start at zero.
    pub fn new() -> Self {
        let metrics = Self::default();
        for reason in Reason::ALL {
            let outcome = reason.code();
            drop(metrics.requests.get_or_create(&Outcome { outcome }));
        }
        metrics
    }

    /// Time from a request's arrival to the first byte of its answer.
    pub fn first(&self, tier: u8, latency: Duration) {
        observe(&self.latency.first, tier, latency);
    }

    /// Time from a request's arrival to the end of its answer.
    pub fn whole(&self, tier: u8, latency: Duration) {
        observe(&self.latency.whole, tier, latency);
    }

    /// Time that a request waited for a place.
    pub fn waited(&self, tier: u8, latency: Duration) {
        observe(&self.latency.waited, tier, latency);
    }

    /// All metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("agate_edge");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("attempts", "Attempts by outcome", self.attempts.clone());
        registry.register("repeats", "Repeats by reason", self.repeats.clone());
        registry.register("calls", "Calls to remote services", self.calls.clone());
        registry.register("changes", "Changes of belief by kind", self.changes.clone());
        let version = self.config_version.clone();
        registry.register("config_version", "Configuration in force", version);
        registry.register("running", "Requests being handled", self.running.clone());
        registry.register("lease_held", "Whether the lease is held", self.held.clone());
        let latency = &self.latency;
        let first = latency.first.clone();
        registry.register("first_byte_seconds", "Time to the first byte", first);
        let whole = latency.whole.clone();
        registry.register("answer_seconds", "Time to the end of an answer", whole);
        let waited = latency.waited.clone();
        registry.register("wait_seconds", "Time in line", waited);
        let mut out = String::new();
        match text::encode(&mut out, &registry) {
            Ok(()) => out,
            Err(err) => format!("# metrics could not be written: {err}\n"),
        }
    }
}

fn observe(family: &Family<Tier, Histogram, Buckets>, tier: u8, latency: Duration) {
    family
        .get_or_create(&Tier { tier })
        .observe(latency.as_secs_f64());
}

/// Shows the metrics of a host.
pub struct Exposition {
    edge: Rc<Edge>,
}

impl Exposition {
    /// The metrics of `edge`.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }
}

impl Responder for Exposition {
    fn respond<'a>(&'a self, _incoming: &'a Incoming) -> LocalBoxFuture<'a, Response> {
        let page = Response {
            status: StatusCode::OK,
            headers: headers::content_type("application/openmetrics-text; version=1.0.0"),
            body: Bytes::from(self.edge.metrics.render()),
        };
        Box::pin(std::future::ready(page))
    }
}
