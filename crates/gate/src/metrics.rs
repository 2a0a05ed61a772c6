//! Counters, gauges and histograms of a gate in OpenMetrics format.

use std::cell::RefCell;
use std::time::Duration;

use agate_model::refusal::Reason;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.9, 1.5, 3.0, 10.0, 30.0,
];

/// Reason for a retry, resume or hedge; a label of the counter `retries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Retry {
    /// No connection to the endpoint could be opened, and nothing was sent.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// No response arrived in time.
    Timeout,
    /// The endpoint responded with a status that means overload or failure.
    Status,
    /// A stream was resumed on the same engine.
    Resume,
    /// A streamed response was generated again on another engine.
    Regenerate,
    /// A slow idempotent request was sent to a second endpoint.
    Hedge,
}

impl Retry {
    /// All reasons, for counters that exist from the start.
    pub const ALL: [Retry; 7] = [
        Retry::Unreachable,
        Retry::Broken,
        Retry::Timeout,
        Retry::Status,
        Retry::Resume,
        Retry::Regenerate,
        Retry::Hedge,
    ];

    /// Returns the code of the reason in logs and metrics, which is stable.
    pub fn code(self) -> &'static str {
        match self {
            Retry::Unreachable => "unreachable",
            Retry::Broken => "broken",
            Retry::Timeout => "timeout",
            Retry::Status => "status",
            Retry::Resume => "resume",
            Retry::Regenerate => "regenerate",
            Retry::Hedge => "hedge",
        }
    }
}

/// Label with the code of a refusal or a [`Retry`].
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabel {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndpointLabel {
    endpoint: String,
}

/// Creates histograms with [`LATENCY_BUCKETS`].
#[derive(Clone, Debug)]
struct LatencyBuckets;

impl MetricConstructor<Histogram> for LatencyBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(LATENCY_BUCKETS)
    }
}

type Latencies = Family<ClassLabel, Histogram, LatencyBuckets>;

/// All metrics of a gate, registered with the prefix `agate_gate`.
#[derive(Debug)]
pub struct Metrics {
    registry: RefCell<Registry>,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    requests: Family<ClassLabel, Counter>,
    delivered: Family<ClassLabel, Counter>,
    attained: Family<ClassLabel, Counter>,
    cancelled: Family<ClassLabel, Counter>,
    wasted_tokens: Family<ClassLabel, Counter>,
    attempts: Family<EndpointLabel, Counter>,
    queue_wait: Latencies,
    first_token: Latencies,
    duration: Latencies,
    sync_failures: Counter,
    version: Gauge,
    evidence_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    connections: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: RefCell::new(Registry::with_prefix("agate_gate")),
            refusals: Family::default(),
            retries: Family::default(),
            requests: Family::default(),
            delivered: Family::default(),
            attained: Family::default(),
            cancelled: Family::default(),
            wasted_tokens: Family::default(),
            attempts: Family::default(),
            queue_wait: Family::new_with_constructor(LatencyBuckets),
            first_token: Family::new_with_constructor(LatencyBuckets),
            duration: Family::new_with_constructor(LatencyBuckets),
            sync_failures: Counter::default(),
            version: Gauge::default(),
            evidence_age: Gauge::default(),
            connections: Gauge::default(),
        };
        metrics.register();
        metrics.start_at_zero();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut guard = self.registry.borrow_mut();
        let registry = &mut *guard;
        registry.register("refusals", "Refused requests", self.refusals.clone());
        registry.register(
            "retries",
            "Repeated or doubled attempts",
            self.retries.clone(),
        );
        registry.register("requests", "Requests accepted", self.requests.clone());
        registry.register("answers", "Answers delivered whole", self.delivered.clone());
        registry.register(
            "attained",
            "Answers that met all targets",
            self.attained.clone(),
        );
        registry.register(
            "cancelled",
            "Requests whose caller went away",
            self.cancelled.clone(),
        );
        registry.register(
            "wasted_tokens",
            "Tokens received from engines and not delivered",
            self.wasted_tokens.clone(),
        );
        registry.register(
            "attempts",
            "Requests sent to endpoints",
            self.attempts.clone(),
        );
        let unit = || Unit::Seconds;
        registry.register_with_unit(
            "queue_wait",
            "Time in the queue",
            unit(),
            self.queue_wait.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Arrival to first token, or to the answer of a plain call",
            unit(),
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "duration",
            "Arrival to whole answer",
            unit(),
            self.duration.clone(),
        );
        registry.register(
            "sync_failures",
            "Failed calls to control processes",
            self.sync_failures.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            self.version.clone(),
        );
        registry.register_with_unit(
            "config_proof_age",
            "Age of the proof that the configuration is current",
            unit(),
            self.evidence_age.clone(),
        );
        registry.register(
            "connections",
            "Connections of callers",
            self.connections.clone(),
        );
    }

    /// Creates the counters of all reasons, so that they are exported as zero at first.
    fn start_at_zero(&self) {
        for reason in Reason::ALL {
            drop(self.refusals.get_or_create(&ReasonLabel {
                reason: reason.code(),
            }));
        }
        for retry in Retry::ALL {
            drop(self.retries.get_or_create(&ReasonLabel {
                reason: retry.code(),
            }));
        }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut out, &self.registry.borrow());
        out
    }

    /// Counts a refused request, or a connection beyond the limit, by reason.
    pub fn refused(&self, reason: Reason) {
        self.refusals
            .get_or_create(&ReasonLabel {
                reason: reason.code(),
            })
            .inc();
    }

    /// Counts a retry, resume or hedge by reason.
    pub fn retried(&self, retry: Retry) {
        self.retries
            .get_or_create(&ReasonLabel {
                reason: retry.code(),
            })
            .inc();
    }

    /// Counts a request whose caller, class and body are valid.
    pub fn accepted(&self, class: &str) {
        self.requests.get_or_create(&label(class)).inc();
    }

    /// Counts a request whose caller disconnected before the response was delivered.
    pub fn cancelled(&self, class: &str) {
        self.cancelled.get_or_create(&label(class)).inc();
    }

    /// Adds tokens that were received from engines but not delivered to callers.
    pub fn wasted(&self, class: &str, tokens: u64) {
        self.wasted_tokens
            .get_or_create(&label(class))
            .inc_by(tokens);
    }

    /// Counts an attempt on an endpoint.
    pub fn attempted(&self, endpoint: &str) {
        let label = EndpointLabel {
            endpoint: endpoint.to_owned(),
        };
        self.attempts.get_or_create(&label).inc();
    }

    /// Records how long a started request waited in the queue.
    pub fn started(&self, class: &str, wait: Duration) {
        self.queue_wait
            .get_or_create(&label(class))
            .observe(wait.as_secs_f64());
    }

    /// Records the time from arrival to the first token, or to the response of a plain service.
    pub fn first_token(&self, class: &str, after: Duration) {
        self.first_token
            .get_or_create(&label(class))
            .observe(after.as_secs_f64());
    }

    /// Records a response that was delivered in full, `after` its request arrived; `attained` says
    /// whether it met all targets of its class.
    pub fn delivered(&self, class: &str, after: Duration, attained: bool) {
        let label = label(class);
        self.duration
            .get_or_create(&label)
            .observe(after.as_secs_f64());
        self.delivered.get_or_create(&label).inc();
        if attained {
            self.attained.get_or_create(&label).inc();
        }
    }

    /// Counts a failed call to a control process.
    pub fn sync_failed(&self) {
        self.sync_failures.inc();
    }

    /// Sets the version in force and the age of its evidence, which is infinite without evidence.
    pub fn set_config(&self, version: u64, age: Option<Duration>) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.evidence_age
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Sets the number of open connections of callers.
    pub fn set_connections(&self, count: usize) {
        self.connections
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

fn label(class: &str) -> ClassLabel {
    ClassLabel {
        class: class.to_owned(),
    }
}
