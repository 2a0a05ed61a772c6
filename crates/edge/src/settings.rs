//! Settings of an entry host.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use agate_model::finding::Report;
use agate_model::id::{HostId, ZoneId};
use agate_settings::file::Check;
use serde::{Deserialize, Serialize};

use crate::budget;

/// Listening addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// Callers that ask for addresses.
    pub directory: SocketAddr,
    /// Other hosts; without it this host reads everything from the store itself.
    pub relay: Option<SocketAddr>,
    /// Metrics; none are served without it.
    pub metrics: Option<SocketAddr>,
}

/// Addresses of the services that this host relies on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Remote {
    /// Table store.
    pub store: SocketAddr,
    /// Receiver of usage reports and orders; the host holds no duties without it.
    pub duties: Option<SocketAddr>,
}

/// Time bounds and budgets that the operators promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// From a change of the configuration until it is in force everywhere.
    #[serde(with = "humantime_serde")]
    pub apply: Duration,
    /// From a key's withdrawal until no request with it runs.
    #[serde(with = "humantime_serde")]
    pub withdraw: Duration,
    /// From an endpoint's leaving until it gets no new work.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// From SIGTERM to the end of the process.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Longest time for which callers keep an address.
    #[serde(with = "humantime_serde")]
    pub addresses: Duration,
    /// Time between two holders of the lease that act.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Length of a usage window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// From the end of a window to its report.
    #[serde(with = "humantime_serde")]
    pub report: Duration,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Repeats beside those, in one `repeat_window`, of all hosts together.
    pub repeat_extra: f64,
    /// Window of the budget of repeats.
    #[serde(with = "humantime_serde")]
    pub repeat_window: Duration,
}

impl Bounds {
    /// Terms of the budget of repeats.
    pub fn budget(&self) -> budget::Policy {
        budget::Policy {
            ratio: self.repeat_ratio,
            extra: self.repeat_extra,
            window: self.repeat_window,
        }
    }
}

/// Settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address towards other hosts.
    pub ip: IpAddr,
    /// Relative size of this host among its peers.
    pub weight: f64,
    /// Listening addresses.
    pub listen: Listen,
    /// Services that it relies on.
    pub remote: Remote,
    /// Bounds.
    pub bounds: Bounds,
    /// Directives of the log filter.
    pub log: String,
}

impl Check for Settings {
    fn check(&self, report: &mut Report) {
        if self.host.is_empty() {
            report.push("host", "must not be empty");
        }
        if !(self.weight.is_finite() && self.weight > 0.0) {
            report.push("weight", "must be above 0");
        }
        if self.bounds.window.as_millis() == 0 {
            report.push("bounds.window", "must be at least 1ms");
        }
        if self.bounds.withdraw < self.bounds.apply {
            report.push("bounds.withdraw", "must not be below bounds.apply");
        }
        if !(0.0..=1.0).contains(&self.bounds.repeat_ratio) {
            report.push("bounds.repeat_ratio", "must be between 0 and 1");
        }
    }
}
