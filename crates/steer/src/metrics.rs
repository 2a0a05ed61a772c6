//! Metrics of the control process, in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label set with one code, which names a reason, outcome or method.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    /// Code from a fixed set of values.
    pub code: String,
}

impl Label {
    /// Returns a label set with this code.
    pub fn new(code: impl Into<String>) -> Self {
        Self { code: code.into() }
    }
}

/// Metrics that are registered at the start of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Registry, to which tasks may add their own metrics.
    pub registry: std::cell::RefCell<Registry>,
    /// Requests of operators, by result code.
    pub api_requests: Family<Label, Counter>,
    /// Calls of gates and peers, by method or refusal.
    pub rpc_calls: Family<Label, Counter>,
    /// Calls to peers that failed, by method.
    pub peer_failures: Family<Label, Counter>,
    /// Questions for permits, by outcome: `granted` and `denied` by this host as an owner, `unanswered` by
    /// another one.
    pub permits: Family<Label, Counter>,
    /// Reads of the store's head version, by result.
    pub store_reads: Family<Label, Counter>,
    /// Changes committed by this host, by result.
    pub changes: Family<Label, Counter>,
    /// Gossip frames, by direction or refusal.
    pub gossip_frames: Family<Label, Counter>,
    /// Gossip bytes without headers of lower layers, by direction.
    pub gossip_bytes: Family<Label, Counter>,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Highest version known to be accepted.
    pub accepted: Gauge,
    /// Age of the newest proof that the configuration is current, in seconds; -1 without a proof.
    pub proof_age: Gauge<f64, AtomicU64>,
    /// Number of live entry hosts, this one included.
    pub hosts: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("agate_steer").into(),
            api_requests: Family::default(),
            rpc_calls: Family::default(),
            peer_failures: Family::default(),
            permits: Family::default(),
            store_reads: Family::default(),
            changes: Family::default(),
            gossip_frames: Family::default(),
            gossip_bytes: Family::default(),
            version: Gauge::default(),
            accepted: Gauge::default(),
            proof_age: Gauge::default(),
            hosts: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.borrow_mut();
        let families = [
            (
                "api_requests",
                "Operator requests by result",
                &self.api_requests,
            ),
            ("rpc_calls", "Calls of gates and peers", &self.rpc_calls),
            (
                "peer_failures",
                "Failed calls to peers",
                &self.peer_failures,
            ),
            ("permits", "Questions for permits by outcome", &self.permits),
            (
                "store_reads",
                "Reads of the head version",
                &self.store_reads,
            ),
            ("changes", "Changes committed here", &self.changes),
            ("gossip_frames", "Gossip frames", &self.gossip_frames),
            ("gossip_bytes", "Gossip payload bytes", &self.gossip_bytes),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        let gauges = [
            ("version", "Configuration version", &self.version),
            (
                "accepted_version",
                "Highest accepted version known",
                &self.accepted,
            ),
            ("hosts", "Entry hosts known and not leaving", &self.hosts),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let help = "Age of the configuration's proof; -1 without proof";
        registry.register("proof_age_seconds", help, self.proof_age.clone());
    }

    /// Encodes all registered metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry.borrow()).expect("writing to a string succeeds");
        text
    }
}
