//! Counters and histograms.

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

/// Why an attempt was repeated or doubled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Retry {
    /// No connection; nothing was sent.
    Unreachable,
    /// The connection broke before the answer was whole.
    Broken,
    /// No answer in time.
    Timeout,
    /// The endpoint answered that it is overloaded or failing.
    Status,
    /// A stream was resumed on the same engine.
    Resume,
    /// A streamed answer was generated again on another engine.
    Regenerate,
    /// A slow idempotent request was sent to a second endpoint.
    Hedge,
}

impl Retry {
    /// Every reason, for counters that start at zero.
    pub const ALL: [Retry; 7] = [
        Retry::Unreachable,
        Retry::Broken,
        Retry::Timeout,
        Retry::Status,
        Retry::Resume,
        Retry::Regenerate,
        Retry::Hedge,
    ];

    /// Stable code in logs and metrics.
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

#[derive(Clone, Debug)]
struct Latency;

impl MetricConstructor<Histogram> for Latency {
    fn new_metric(&self) -> Histogram {
        Histogram::new(LATENCY_BUCKETS)
    }
}

type Latencies = Family<ClassLabel, Histogram, Latency>;

/// All metrics of a gate.
#[derive(Debug)]
pub struct Metrics {
    registry: RefCell<Registry>,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    requests: Family<ClassLabel, Counter>,
    answers: Family<ClassLabel, Counter>,
    attained: Family<ClassLabel, Counter>,
    cancelled: Family<ClassLabel, Counter>,
    wasted_tokens: Family<ClassLabel, Counter>,
    attempts: Family<EndpointLabel, Counter>,
    queue_wait: Latencies,
    first_token: Latencies,
    duration: Latencies,
    sync_failures: Counter,
    version: Gauge,
    proof_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    connections: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: RefCell::new(Registry::with_prefix("agate_gate")),
            refusals: Family::default(),
            retries: Family::default(),
            requests: Family::default(),
            answers: Family::default(),
            attained: Family::default(),
            cancelled: Family::default(),
            wasted_tokens: Family::default(),
            attempts: Family::default(),
            queue_wait: Family::new_with_constructor(Latency),
            first_token: Family::new_with_constructor(Latency),
            duration: Family::new_with_constructor(Latency),
            sync_failures: Counter::default(),
            version: Gauge::default(),
            proof_age: Gauge::default(),
            connections: Gauge::default(),
        };
        metrics.register();
        metrics.start_at_zero();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.borrow_mut();
        let it = &mut *registry;
        it.register("refusals", "Refused requests", self.refusals.clone());
        it.register(
            "retries",
            "Repeated or doubled attempts",
            self.retries.clone(),
        );
        it.register("requests", "Requests accepted", self.requests.clone());
        it.register("answers", "Answers delivered whole", self.answers.clone());
        it.register(
            "attained",
            "Answers that met all targets",
            self.attained.clone(),
        );
        it.register(
            "cancelled",
            "Requests whose caller went away",
            self.cancelled.clone(),
        );
        it.register(
            "wasted_tokens",
            "Tokens received from engines and not delivered",
            self.wasted_tokens.clone(),
        );
        it.register(
            "attempts",
            "Requests sent to endpoints",
            self.attempts.clone(),
        );
        let unit = || Unit::Seconds;
        it.register_with_unit(
            "queue_wait",
            "Time in the queue",
            unit(),
            self.queue_wait.clone(),
        );
        it.register_with_unit(
            "first_token",
            "Arrival to first token, or to the answer of a plain call",
            unit(),
            self.first_token.clone(),
        );
        it.register_with_unit(
            "duration",
            "Arrival to whole answer",
            unit(),
            self.duration.clone(),
        );
        it.register(
            "sync_failures",
            "Failed calls to control processes",
            self.sync_failures.clone(),
        );
        it.register(
            "config_version",
            "Configuration in force",
            self.version.clone(),
        );
        it.register_with_unit(
            "config_proof_age",
            "Age of the proof that the configuration is current",
            unit(),
            self.proof_age.clone(),
        );
        it.register(
            "connections",
            "Connections of callers",
            self.connections.clone(),
        );
    }

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

    /// Text in OpenMetrics form.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut out, &self.registry.borrow());
        out
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refusals
            .get_or_create(&ReasonLabel {
                reason: reason.code(),
            })
            .inc();
    }

    /// Counts a retry, resume or hedge.
    pub fn retried(&self, retry: Retry) {
        self.retries
            .get_or_create(&ReasonLabel {
                reason: retry.code(),
            })
            .inc();
    }

    /// Counts an accepted request.
    pub fn accepted(&self, class: &str) {
        self.requests.get_or_create(&label(class)).inc();
    }

    /// Counts a request whose caller went away.
    pub fn cancelled(&self, class: &str) {
        self.cancelled.get_or_create(&label(class)).inc();
    }

    /// Counts tokens that no caller received.
    pub fn wasted(&self, class: &str, tokens: u64) {
        self.wasted_tokens
            .get_or_create(&label(class))
            .inc_by(tokens);
    }

    /// Counts an attempt.
    pub fn attempted(&self, endpoint: &str) {
        let label = EndpointLabel {
            endpoint: endpoint.to_owned(),
        };
        self.attempts.get_or_create(&label).inc();
    }

    /// Records the wait of a request that was started.
    pub fn started(&self, class: &str, wait: Duration) {
        self.queue_wait
            .get_or_create(&label(class))
            .observe(wait.as_secs_f64());
    }

    /// Records the first token.
    pub fn first_token(&self, class: &str, after: Duration) {
        self.first_token
            .get_or_create(&label(class))
            .observe(after.as_secs_f64());
    }

    /// Records an answer delivered whole.
    pub fn answered(&self, class: &str, after: Duration, attained: bool) {
        let label = label(class);
        self.duration
            .get_or_create(&label)
            .observe(after.as_secs_f64());
        self.answers.get_or_create(&label).inc();
        if attained {
            self.attained.get_or_create(&label).inc();
        }
    }

    /// Counts a failed call to a control process.
    pub fn sync_failed(&self) {
        self.sync_failures.inc();
    }

    /// Records the configuration in force.
    pub fn configured(&self, version: u64, age: Option<Duration>) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.proof_age
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Records the number of connections.
    pub fn connected(&self, count: usize) {
        self.connections
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

fn label(class: &str) -> ClassLabel {
    ClassLabel {
        class: class.to_owned(),
    }
}
