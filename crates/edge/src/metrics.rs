//! Counters, gauges and latency histograms of an entry host.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use agate_memory::{Budget, Purpose};
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
use crate::meter::Meter;
use crate::refusal::Reason;
use crate::response::{Responder, Response};
use crate::server::Incoming;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.9, 1.5, 3.0, 5.0, 12.0,
];

/// Label with the outcome of a request, attempt or call, or the kind of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Code of the outcome, which does not change between releases.
    pub outcome: &'static str,
}

/// Labels of a read of a table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Read {
    /// Table that is read.
    pub table: &'static str,
    /// Who is asked: `host` or `store`.
    pub source: &'static str,
    /// `complete`, `failed`, or `abandoned` if the read was given up before it ended.
    pub outcome: &'static str,
}

/// Label with the name of a table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Table {
    /// Name under which hosts hand the table on.
    pub table: String,
}

/// Label with the name of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Service {
    /// Name of the service.
    pub service: String,
}

/// Label with the tier of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Tier {
    /// Urgency; 0 is the highest.
    pub tier: u8,
}

/// Label with what bytes are held for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Held {
    /// Code of the purpose.
    pub purpose: &'static str,
}

/// Constructor of histograms with `LATENCY_BUCKETS`.
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
    /// Number of requests by outcome.
    pub requests: Family<Outcome, Counter>,
    /// Number of connections of callers that this process ended without a response to what it had read
    /// from them, by that: `fresh`, `kept`, `partial`.
    pub unanswered: Family<Outcome, Counter>,
    /// Number of attempts at endpoints by outcome.
    pub attempts: Family<Outcome, Counter>,
    /// Number of endpoints that were found to be slow, or to have recovered.
    pub endpoint_speeds: Family<Outcome, Counter>,
    /// Number of retries by reason.
    pub retries: Family<Outcome, Counter>,
    /// Number of responses that were cut since a part of them exceeded its limit, by part.
    pub endless: Family<Outcome, Counter>,
    /// Number of calls to the store and the receiver of duties, by outcome.
    pub calls: Family<Outcome, Counter>,
    /// Number of reads of tables, from other hosts and from the store.
    pub reads: Family<Read, Counter>,
    /// Bytes of rows handed on to other hosts, by table.
    pub relayed_bytes: Family<Table, Counter>,
    /// Number of changes of this host's state, by kind.
    pub changes: Family<Outcome, Counter>,
    /// Version of the configuration in force; 0 before the first.
    pub config_version: Gauge,
    /// Newest known era of the store.
    pub store_era: Gauge,
    /// Number of endpoints that are cold.
    pub cold_endpoints: Gauge,
    /// Number of evacuated zones.
    pub evacuated_zones: Gauge,
    /// Number of notices of endpoints by kind: `leaving`, `paused`, `resumed`, `limited`, `limit_lifted`,
    /// `malformed`.
    pub notices: Family<Outcome, Counter>,
    /// Number of endpoints that have named a limit.
    pub limited_endpoints: Gauge,
    /// Number of attempts at endpoints of which this host knew that they have a limit.
    pub limited_attempts: Counter,
    /// Number of requests for permits by outcome: `granted` and `denied` by this host as an owner,
    /// `received` from an owner, `unanswered` by one.
    pub permits: Family<Outcome, Counter>,
    /// Work and messages spent on evidence of prompts that crash endpoints, by kind: `evaluated`, `deferred`,
    /// `learned`, and `heartbeat`, `heartbeat_held`, `read`, `read_held` for what is sent before its time.
    pub evidence: Family<Outcome, Counter>,
    /// Time spent on that evidence, in microseconds.
    pub evidence_micros: Counter,
    /// Number of sets of prompt parts whose requests are refused.
    pub blocked_prompts: Gauge,
    /// Number of requests in flight.
    pub in_flight: Gauge,
    /// Bytes held for callers by purpose.
    pub held_bytes: Family<Held, Gauge>,
    /// Number of open connections of callers.
    pub connections: Gauge,
    /// Number of requests and connections that were refused or closed for lack of room, by cause.
    pub shortages: Family<Outcome, Counter>,
    /// Number of requests in the queue of each service.
    pub queued: Family<Service, Gauge>,
    /// Number of requests that were queued, by what became of them: `started`, `full`, `unreachable`.
    pub queue_ends: Family<Outcome, Counter>,
    /// 1 while this host holds the lease, otherwise 0.
    pub lease_held: Gauge,
    /// Calls to the store by kind and table.
    pub store: Meter,
    latency: Latency,
}

/// Latency histograms by tier, in seconds.
#[derive(Debug)]
struct Latency {
    /// Time to the first byte of the response.
    first_byte: Family<Tier, Histogram, Buckets>,
    /// Time to the end of the response.
    response: Family<Tier, Histogram, Buckets>,
    /// Time in the queue.
    wait: Family<Tier, Histogram, Buckets>,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            first_byte: Family::new_with_constructor(Buckets),
            response: Family::new_with_constructor(Buckets),
            wait: Family::new_with_constructor(Buckets),
        }
    }
}

/// Returns the value of the counter of an outcome.
pub fn value(family: &Family<Outcome, Counter>, outcome: &'static str) -> u64 {
    family.get_or_create(&Outcome { outcome }).get()
}

/// Increments the counter of an outcome.
pub fn count(family: &Family<Outcome, Counter>, outcome: &'static str) {
    family.get_or_create(&Outcome { outcome }).inc();
}

/// Returns the outcome of a request to which an endpoint responded with `status`.
pub fn response_outcome(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "served",
        300..=499 => "answered_4xx",
        _ => "answered_5xx",
    }
}

impl Metrics {
    /// Creates metrics in which the counter of each refusal reason is present with the value 0.
    pub fn new() -> Self {
        let metrics = Self::default();
        for reason in Reason::ALL {
            let outcome = reason.code();
            drop(metrics.requests.get_or_create(&Outcome { outcome }));
        }
        metrics
    }

    /// Records the time from a request's arrival to the first byte of its response.
    pub fn observe_first_byte(&self, tier: u8, latency: Duration) {
        observe(&self.latency.first_byte, tier, latency);
    }

    /// Records the time from a request's arrival to the end of its response.
    pub fn observe_response(&self, tier: u8, latency: Duration) {
        observe(&self.latency.response, tier, latency);
    }

    /// Records the time that a request was queued for an endpoint.
    pub fn observe_wait(&self, tier: u8, latency: Duration) {
        observe(&self.latency.wait, tier, latency);
    }

    /// Records what a budget holds and has refused.
    pub fn observe_memory(&self, memory: &Budget) {
        for purpose in Purpose::ALL {
            let held = i64::try_from(memory.held(purpose)).unwrap_or(i64::MAX);
            let purpose = purpose.code();
            self.held_bytes.get_or_create(&Held { purpose }).set(held);
        }
        let connections = i64::try_from(memory.connections()).unwrap_or(i64::MAX);
        self.connections.set(connections);
        let counts = memory.counts();
        for (outcome, count) in [
            ("refused_bytes", counts.refused_bytes),
            ("refused_connection", counts.refused_connections),
            ("yielded_bytes", counts.yielded_bytes),
            ("yielded_connection", counts.yielded_connections),
        ] {
            let counter = self.shortages.get_or_create(&Outcome { outcome });
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Sets the number of requests that wait for an endpoint of a service.
    pub fn set_queued(&self, service: &str, waiting: i64) {
        let service = service.to_owned();
        self.queued.get_or_create(&Service { service }).set(waiting);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("agate_edge");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        let unanswered = self.unanswered.clone();
        registry.register("unanswered", "Connections ended unanswered", unanswered);
        registry.register("attempts", "Attempts by outcome", self.attempts.clone());
        let help = "Endpoints that became slow or recovered";
        registry.register("endpoint_speeds", help, self.endpoint_speeds.clone());
        registry.register("repeats", "Repeats by reason", self.retries.clone());
        let endless = self.endless.clone();
        registry.register("endless", "Responses cut for their length by part", endless);
        registry.register("calls", "Calls to remote services", self.calls.clone());
        let store = &self.store;
        registry.register("store_calls", "Calls to the store", store.calls.clone());
        registry.register(
            "store_bytes",
            "Bytes of rows read or written",
            store.bytes.clone(),
        );
        registry.register("reads", "Reads of tables by outcome", self.reads.clone());
        let relayed = self.relayed_bytes.clone();
        registry.register("relayed_bytes", "Bytes handed on to other hosts", relayed);
        registry.register("changes", "Changes of belief by kind", self.changes.clone());
        let version = self.config_version.clone();
        registry.register("config_version", "Configuration in force", version);
        let era = self.store_era.clone();
        registry.register("store_era", "Newest known era of the store", era);
        let cold = self.cold_endpoints.clone();
        registry.register("cold_endpoints", "Cold endpoints", cold);
        let evacuated = self.evacuated_zones.clone();
        registry.register("evacuated_zones", "Evacuated zones", evacuated);
        let notices = self.notices.clone();
        registry.register("notices", "Notices of endpoints by kind", notices);
        let limited = self.limited_endpoints.clone();
        registry.register("limited_endpoints", "Endpoints with a limit", limited);
        let attempts = self.limited_attempts.clone();
        registry.register(
            "limited_attempts",
            "Attempts at endpoints with a limit",
            attempts,
        );
        let permits = self.permits.clone();
        registry.register("permits", "Requests for permits by outcome", permits);
        let evidence = self.evidence.clone();
        registry.register("evidence", "Work on evidence of crashes by kind", evidence);
        let micros = self.evidence_micros.clone();
        registry.register(
            "evidence_micros",
            "Time spent on that, in microseconds",
            micros,
        );
        let blocked = self.blocked_prompts.clone();
        registry.register("blocked_prompts", "Sets of prompt parts refused", blocked);
        registry.register("running", "Requests being handled", self.in_flight.clone());
        registry.register(
            "lease_held",
            "Whether the lease is held",
            self.lease_held.clone(),
        );
        let held = self.held_bytes.clone();
        registry.register("held_bytes", "Bytes held for callers by purpose", held);
        let connections = self.connections.clone();
        registry.register("connections", "Open connections of callers", connections);
        let shortages = self.shortages.clone();
        registry.register("shortages", "Refused or closed for lack of room", shortages);
        registry.register("queued", "Requests in line", self.queued.clone());
        let ends = self.queue_ends.clone();
        registry.register("queue_ends", "Requests that left the line by end", ends);
        let latency = &self.latency;
        let first_byte = latency.first_byte.clone();
        registry.register("first_byte_seconds", "Time to the first byte", first_byte);
        let response = latency.response.clone();
        registry.register("answer_seconds", "Time to the end of an answer", response);
        let wait = latency.wait.clone();
        registry.register("wait_seconds", "Time in line", wait);
        let mut out = String::new();
        match text::encode(&mut out, &registry) {
            Ok(()) => out,
            Err(err) => format!("# metrics could not be written: {err}\n"),
        }
    }
}

/// Records a latency in the histogram of a tier.
fn observe(family: &Family<Tier, Histogram, Buckets>, tier: u8, latency: Duration) {
    family
        .get_or_create(&Tier { tier })
        .observe(latency.as_secs_f64());
}

/// Serves the metrics of a host.
pub struct Exposition {
    edge: Rc<Edge>,
}

impl Exposition {
    /// Creates an exposition of the metrics of `edge`.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }
}

impl Responder for Exposition {
    fn memory(&self) -> Rc<Budget> {
        self.edge.memory.clone()
    }

    fn respond<'a>(&'a self, _incoming: &'a Incoming) -> LocalBoxFuture<'a, Response> {
        self.edge.metrics.observe_memory(&self.edge.memory);
        let page = Response {
            status: StatusCode::OK,
            headers: headers::content_type("application/openmetrics-text; version=1.0.0"),
            body: Bytes::from(self.edge.metrics.render()),
        };
        Box::pin(std::future::ready(page))
    }
}
