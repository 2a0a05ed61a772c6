//! Metrics of the lease holder's work.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::metrics::{self, Label};

/// Counters and gauges.
#[derive(Debug, Default)]
pub struct Metrics {
    /// 1 while this process holds the lease and its term lasts.
    pub held: Gauge,
    /// Epoch last seen.
    pub epoch: Gauge,
    /// Changes of the lease seen by this process, by kind.
    pub lease: Family<Label, Counter>,
    /// Endpoint orders, by outcome.
    pub orders: Family<Label, Counter>,
    /// Orders to engines, by outcome.
    pub engine_orders: Family<Label, Counter>,
    /// Reports, by outcome.
    pub reports: Family<Label, Counter>,
    /// Writes of usage rows, by outcome.
    pub usage_writes: Family<Label, Counter>,
    /// Usage totals refused, by reason.
    pub usage_refused: Family<Label, Counter>,
    /// Calls that copy usage to a peer, by outcome.
    pub mirror: Family<Label, Counter>,
}

impl Metrics {
    /// Adds all metrics to the registry.
    pub fn register(&self, metrics: &metrics::Metrics) {
        let mut registry = metrics.registry.borrow_mut();
        let help = "Whether this process holds the lease";
        registry.register("lease_held", help, self.held.clone());
        registry.register("lease_epoch", "Epoch last seen", self.epoch.clone());
        let families = [
            ("lease_changes", "Changes of the lease", &self.lease),
            ("orders", "Endpoint orders by outcome", &self.orders),
            (
                "engine_orders",
                "Orders to engines by outcome",
                &self.engine_orders,
            ),
            ("reports", "Usage reports by outcome", &self.reports),
            ("usage_writes", "Writes of usage rows", &self.usage_writes),
            ("usage_refused", "Usage totals refused", &self.usage_refused),
            ("mirror_calls", "Copies of usage to a peer", &self.mirror),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
    }
}

/// Adds one to the counter of a code.
pub fn count(family: &Family<Label, Counter>, code: &str) {
    family.get_or_create(&Label::new(code)).inc();
}
