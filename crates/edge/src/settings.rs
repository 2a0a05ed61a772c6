//! Settings file of an entry host.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use agate_memory::Size;
use agate_model::finding::Report;
use agate_model::id::{HostId, ZoneId};
use agate_settings::file::Check;
use serde::{Deserialize, Serialize};

use crate::budget;

/// Least memory of a host in megabytes: the program itself, and one request and its response.
const MIN_MEMORY_MB: u64 = 48;
/// Least number of file descriptors: those of files, and some connections.
const MIN_DESCRIPTORS: usize = 256;

/// Addresses at which the host listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for requests of callers.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for lookups of host addresses.
    pub directory: SocketAddr,
    /// Address for other hosts; without it this host reads everything from the store itself.
    pub relay: Option<SocketAddr>,
    /// Address for metrics; without it none are served.
    pub metrics: Option<SocketAddr>,
}

/// Addresses of the services that this host depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Remote {
    /// Address of the table store.
    pub store: SocketAddr,
    /// Address of the receiver of usage reports and orders; without it the host takes no part in
    /// the duties.
    pub duties: Option<SocketAddr>,
}

/// Time bounds and budgets that the operators guarantee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum time from a change of the configuration until it is in force on all hosts.
    #[serde(with = "humantime_serde")]
    pub apply: Duration,
    /// Maximum time from a key's withdrawal until no request with it runs.
    #[serde(with = "humantime_serde")]
    pub withdraw: Duration,
    /// Maximum time from an endpoint's leaving until it gets no new work.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// Maximum time from SIGTERM to the end of the process.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Maximum time for which callers keep an address.
    #[serde(with = "humantime_serde")]
    pub addresses: Duration,
    /// Time between the actions of two successive lease holders.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Length of a usage window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Maximum time from the end of a usage window to its report.
    #[serde(with = "humantime_serde")]
    pub report: Duration,
    /// Number of retries allowed for each request, between 0 and 1.
    pub repeat_ratio: f64,
    /// Additional retries allowed in one `repeat_window`, for all hosts together.
    pub repeat_extra: f64,
    /// Time window of the retry budget.
    #[serde(with = "humantime_serde")]
    pub repeat_window: Duration,
}

impl Bounds {
    /// Returns the terms of the retry budget.
    pub fn budget(&self) -> budget::Policy {
        budget::Policy {
            ratio: self.repeat_ratio,
            extra: self.repeat_extra,
            window: self.repeat_window,
        }
    }
}

/// Settings of a deployment whose zones the operators evacuate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Zones that may be evacuated, each with its region.
    pub zones: BTreeMap<ZoneId, String>,
}

/// Resources of the machine that this host runs on. Each has a default.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Memory in megabytes beyond which the process is ended.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
    /// Bandwidth of the machine's link in megabits per second.
    pub link_mbps: f64,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory_mb: 1024,
            descriptors: 4096,
            link_mbps: 1000.0,
        }
    }
}

impl Machine {
    /// Returns the bounds on what connections hold.
    pub fn size(&self) -> Size {
        Size::of_machine(self.memory_mb << 20, self.descriptors)
    }
}

/// Contents of the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Address under which other hosts reach this one.
    pub ip: IpAddr,
    /// Relative size of this host among all hosts; must be above 0.
    pub weight: f64,
    /// Addresses at which this host listens.
    pub listen: Listen,
    /// Services that this host depends on.
    pub remote: Remote,
    /// Time bounds and budgets that this host must meet.
    pub bounds: Bounds,
    /// Evacuations of zones; without it, hosts do not check for them with each heartbeat.
    #[serde(default)]
    pub evacuation: Option<Evacuation>,
    /// Resources of the machine.
    #[serde(default)]
    pub machine: Machine,
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
        if self.machine.memory_mb < MIN_MEMORY_MB {
            let message = format!("must be at least {MIN_MEMORY_MB}");
            report.push("machine.memory_mb", message);
        }
        if self.machine.descriptors < MIN_DESCRIPTORS {
            let message = format!("must be at least {MIN_DESCRIPTORS}");
            report.push("machine.descriptors", message);
        }
        if !(self.machine.link_mbps.is_finite() && self.machine.link_mbps > 0.0) {
            report.push("machine.link_mbps", "must be above 0");
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
