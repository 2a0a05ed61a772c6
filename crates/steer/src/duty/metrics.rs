//! Metrics of the background tasks.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::metrics::{self, Label};

/// Counters and gauges of the tasks; a `Label` holds the outcome, kind or reason.
#[derive(Debug, Default)]
pub struct Metrics {
    /// 1 while this process holds the lease and its term lasts, else 0.
    pub held: Gauge,
    /// Epoch of the lease when this process last read or renewed it; 0 without a lease row.
    pub epoch: Gauge,
    /// Changes of this process's hold on the lease, by kind: `acquired`, `raced`, `lost` or
    /// `renewal_failed`.
    pub lease: Family<Label, Counter>,
    /// Endpoint orders sent, by outcome; an order sent again counts again.
    pub orders: Family<Label, Counter>,
    /// Orders sent to engines, by outcome.
    pub engine_orders: Family<Label, Counter>,
    /// Usage reports sent, by outcome; `window_frozen` counts windows frozen.
    pub reports: Family<Label, Counter>,
    /// Writes of usage rows, by outcome.
    pub usage_writes: Family<Label, Counter>,
    /// Usage totals dropped, by reason: `window` for an implausible window.
    pub usage_refused: Family<Label, Counter>,
    /// Calls that mirror usage to a peer, by outcome.
    pub mirror: Family<Label, Counter>,
}

impl Metrics {
    /// Registers all metrics under the names given here.
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

/// Increments the counter whose label value is `code`.
pub fn count(family: &Family<Label, Counter>, code: &str) {
    family.get_or_create(&Label::new(code)).inc();
}
