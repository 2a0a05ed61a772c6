//! Settings of `agate-steer`, their defaults and their validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agate_lease::Terms;
use agate_member::secret::{Malformed, Secret};
use agate_model::finding::Report;
use agate_model::key::{DIGEST_BYTES, Digest};
use agate_model::version::FRESHNESS_LIMIT;
use agate_settings::file::Check;
use serde::{Deserialize, Serialize};

/// Fraction by which clocks may run too fast or too slow.
const CLOCK_RATE: f64 = 0.001;

/// Printed in place of a secret.
const REDACTED: &str = "(redacted)";

/// Contents of the settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this host, unique among all hosts.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address at which callers reach the gate of this host.
    pub gate: SocketAddr,
    /// Address on which the HTTP API for operators listens.
    pub listen: SocketAddr,
    /// Address on which the JSON-RPC server for gates and peers listens.
    pub peers_listen: SocketAddr,
    /// UDP address on which gossip frames are received.
    pub gossip: SocketAddr,
    /// Address of the platform's interfaces.
    pub platform: SocketAddr,
    /// `peers_listen` addresses of some peers, for a start while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Cluster key, at least 64 hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster_key: Option<String>,
    /// File that holds the cluster key; exactly one of this and `cluster_key` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster_key_file: Option<PathBuf>,
    /// Whether the gate of this host must seal its calls with the cluster key. Gates of other
    /// hosts and peers always must.
    #[serde(default = "yes")]
    pub require_token: bool,
    /// SHA-256 of the credential of an operator who is an admin without a resource, in hexadecimal
    /// digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bootstrap_operator_digest: Option<String>,
    /// Intervals of periodic work.
    #[serde(default)]
    pub intervals: Intervals,
    /// Timeouts of calls, acceptance and shutdown.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Length of a reporting window, in whole seconds.
    #[serde(default = "window", with = "humantime_serde")]
    pub window: Duration,
    /// Time from the end of a window until it is closed.
    #[serde(default = "window_grace", with = "humantime_serde")]
    pub window_grace: Duration,
    /// Lease of the host that orders endpoints and reports usage; the same on all hosts.
    #[serde(default)]
    pub lease: Lease,
    /// Log directives, such as `info,agate_steer=debug`.
    #[serde(default = "log")]
    pub log: String,
}

/// Intervals of periodic work. Unless said otherwise, each is the time from one occurrence to the
/// next.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intervals {
    /// Time between reads of the store's head version; a recent proof from a peer makes a read
    /// unnecessary.
    #[serde(with = "humantime_serde")]
    pub store: Duration,
    /// Age of the known lists of hosts and endpoints at which they are read again; somewhat
    /// longer with many hosts.
    #[serde(with = "humantime_serde")]
    pub hosts: Duration,
    /// Mean time between gossip requests.
    #[serde(with = "humantime_serde")]
    pub gossip: Duration,
    /// Time between writes of usage rows to the store.
    #[serde(with = "humantime_serde")]
    pub usage: Duration,
    /// Time between copies of usage to a peer.
    #[serde(with = "humantime_serde")]
    pub mirror: Duration,
    /// Time between reports of demand to the lease holder.
    #[serde(with = "humantime_serde")]
    pub demand: Duration,
    /// Time between checks of the number of endpoints.
    #[serde(with = "humantime_serde")]
    pub fleet: Duration,
}

/// Durations of the lease; see [`agate_lease::Terms`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lease {
    /// Time for which a renewal is valid.
    #[serde(with = "humantime_serde")]
    pub term: Duration,
    /// Time before the end of the term at which the holder stops acting.
    #[serde(with = "humantime_serde")]
    pub margin: Duration,
    /// Time between renewals.
    #[serde(with = "humantime_serde")]
    pub renewal: Duration,
    /// Longest time for which an order is in flight.
    #[serde(with = "humantime_serde")]
    pub flight: Duration,
    /// Idle timeout of the receivers' connections.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

impl Lease {
    /// Returns the durations in the form that the lease uses.
    pub fn terms(&self) -> Terms {
        Terms {
            term: self.term,
            margin: self.margin,
            renewal: self.renewal,
            flight: self.flight,
            idle: self.idle,
        }
    }
}

impl Default for Lease {
    fn default() -> Self {
        let terms = Terms::default();
        Self {
            term: terms.term,
            margin: terms.margin,
            renewal: terms.renewal,
            flight: terms.flight,
            idle: terms.idle,
        }
    }
}

/// Timeouts of calls, acceptance and shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Timeout of one call to the platform.
    #[serde(with = "humantime_serde")]
    pub platform: Duration,
    /// Timeout of one call to a peer.
    #[serde(with = "humantime_serde")]
    pub peer: Duration,
    /// Time for which a change waits for acceptance before the response calls it pending.
    #[serde(with = "humantime_serde")]
    pub acceptance: Duration,
    /// Longest time for which a host that shuts down waits for its gate.
    #[serde(with = "humantime_serde")]
    pub shutdown: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        Self {
            store: Duration::from_secs(1),
            hosts: Duration::from_secs(1),
            gossip: Duration::from_millis(200),
            usage: Duration::from_secs(10),
            mirror: Duration::from_secs(2),
            demand: Duration::from_secs(5),
            fleet: Duration::from_secs(5),
        }
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            platform: Duration::from_secs(1),
            peer: Duration::from_millis(800),
            acceptance: Duration::from_secs(2),
            shutdown: Duration::from_secs(120),
        }
    }
}

fn yes() -> bool {
    true
}

fn window() -> Duration {
    Duration::from_secs(3600)
}

fn window_grace() -> Duration {
    Duration::from_secs(120)
}

fn log() -> String {
    "info".to_owned()
}

impl Settings {
    /// Returns the settings with the cluster key replaced, for printing.
    pub fn redacted(&self) -> Self {
        let mut settings = self.clone();
        settings.cluster_key = self.cluster_key.as_ref().map(|_| REDACTED.to_owned());
        settings
    }

    /// Returns the cluster key from the settings or from its file.
    pub fn secret(&self) -> Result<Secret, Malformed> {
        let text = match (&self.cluster_key, &self.cluster_key_file) {
            (Some(text), _) => text.clone(),
            (None, Some(path)) => std::fs::read_to_string(path).map_err(|_| Malformed)?,
            (None, None) => return Err(Malformed),
        };
        Secret::from_hex(&text)
    }

    /// Returns the parsed `bootstrap_operator_digest`; `None` if it is absent or malformed.
    pub fn bootstrap(&self) -> Option<Digest> {
        let mut digest = [0; DIGEST_BYTES];
        let text = self.bootstrap_operator_digest.as_deref()?;
        hex::decode_to_slice(text, &mut digest).ok()?;
        Some(Digest(digest))
    }
}

impl Check for Settings {
    fn check(&self, report: &mut Report) {
        if self.host.is_empty() || self.host.len() > agate_wire::manifest::NAME_BYTES {
            report.push("host", "needs 1 to 128 characters");
        }
        if self.zone.is_empty() {
            report.push("zone", "is empty");
        }
        if self.cluster_key.is_some() == self.cluster_key_file.is_some() {
            report.push(
                "cluster_key",
                "needs either cluster_key or cluster_key_file",
            );
        } else if let Err(err) = self.secret() {
            report.push("cluster_key", err.to_string());
        }
        if self.bootstrap_operator_digest.is_some() && self.bootstrap().is_none() {
            report.push(
                "bootstrap_operator_digest",
                "needs 64 hexadecimal digits (SHA-256)",
            );
        }
        if self.window < Duration::from_secs(1) || self.window.subsec_nanos() != 0 {
            report.push("window", "needs to be a whole number of seconds");
        }
        for (setting, value) in [
            ("intervals.store", self.intervals.store),
            ("intervals.gossip", self.intervals.gossip),
            ("timeouts.platform", self.timeouts.platform),
        ] {
            if value.is_zero() || value >= FRESHNESS_LIMIT {
                report.push(
                    setting,
                    format!("needs to be above 0s and below {FRESHNESS_LIMIT:?}"),
                );
            }
        }
        for (setting, value) in [
            ("intervals.hosts", self.intervals.hosts),
            ("intervals.usage", self.intervals.usage),
            ("intervals.mirror", self.intervals.mirror),
            ("intervals.demand", self.intervals.demand),
            ("intervals.fleet", self.intervals.fleet),
            ("lease.renewal", self.lease.renewal),
        ] {
            if value.is_zero() {
                report.push(setting, "needs to be above 0s");
            }
        }
        if !self.lease.terms().covers_drift(CLOCK_RATE) {
            report.push("lease.margin", "does not cover clocks that differ by 0.1 %");
        }
        if self.lease.renewal * 2 > self.lease.term.saturating_sub(self.lease.margin) {
            report.push(
                "lease.renewal",
                "needs to be at most half of term less margin",
            );
        }
    }
}
