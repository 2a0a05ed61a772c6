//! Settings of `agate-gate`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agate_member::secret::{Malformed, Secret};
use agate_model::finding::Report;
use agate_model::version::FRESHNESS_LIMIT;
use agate_settings::file::Check;
use agate_settings::size::Size;
use serde::{Deserialize, Serialize};

/// Everything that a gate reads from its settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry host.
    pub host: String,
    /// Availability zone of this entry host.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where metrics, health and explanations are served.
    pub admin: SocketAddr,
    /// Control processes, the one of this host first. Peers are learnt from it.
    pub steer: Vec<SocketAddr>,
    /// File with the cluster key, which seals the calls to control processes. Without it they
    /// are plain, and control processes must be told to answer plain calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster_key_file: Option<PathBuf>,
    /// Platform, for claims of idempotency keys. Without it such requests are refused.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Bounds on what callers send and hold.
    #[serde(default)]
    pub limits: Limits,
    /// Time between calls to the control process.
    #[serde(default = "default_sync_interval", with = "humantime_serde")]
    pub sync_interval: Duration,
    /// Age of the configuration's proof beyond which keyed work is refused.
    #[serde(default = "default_freshness", with = "humantime_serde")]
    pub freshness: Duration,
    /// How long callers may keep an answer about addresses.
    #[serde(default = "default_keep_addresses", with = "humantime_serde")]
    pub keep_addresses: Duration,
    /// How long requests may still run after the host has stopped accepting connections.
    #[serde(default = "default_drain_timeout", with = "humantime_serde")]
    pub drain_timeout: Duration,
    /// Log directives, such as `info,agate_gate=debug`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Certificate for callers; plain HTTP without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<Tls>,
}

/// Bounds on callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body.
    pub body: Size,
    /// Largest answer that is held whole, so that it can be asked for again if it breaks off.
    pub answer: Size,
    /// Largest event of a streamed answer.
    pub event: Size,
    /// Connections of callers at once.
    pub connections: usize,
    /// Time to receive a request head.
    #[serde(with = "humantime_serde")]
    pub head_timeout: Duration,
    /// Time to receive a request body.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Time that an idle connection is kept.
    #[serde(with = "humantime_serde")]
    pub keep_alive: Duration,
    /// Time to connect to an endpoint.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Events of a streamed answer that are held for a slow caller.
    pub stream_events: usize,
    /// Time that a caller may leave a streamed answer unread.
    #[serde(with = "humantime_serde")]
    pub read_timeout: Duration,
    /// Silence of an engine after which its stream is resumed.
    #[serde(with = "humantime_serde")]
    pub stall_timeout: Duration,
}

/// TLS towards callers. Both files are read again on SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Size(8 << 20),
            answer: Size(1 << 20),
            event: Size(256 << 10),
            connections: 10_000,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            keep_alive: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(1),
            stream_events: 64,
            read_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(10),
        }
    }
}

impl Settings {
    /// The cluster key, if calls are to be sealed.
    pub fn secret(&self) -> Result<Option<Secret>, KeyFile> {
        let Some(path) = &self.cluster_key_file else {
            return Ok(None);
        };
        let text = std::fs::read_to_string(path).map_err(KeyFile::Unreadable)?;
        Ok(Some(Secret::from_hex(&text).map_err(KeyFile::Malformed)?))
    }
}

/// Why the cluster key can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFile {
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Unreadable(std::io::Error),
    /// The file holds no cluster key.
    #[error("{0}")]
    Malformed(Malformed),
}

impl Check for Settings {
    fn check(&self, report: &mut Report) {
        for (field, value) in [("host", &self.host), ("zone", &self.zone)] {
            if value.is_empty() {
                report.push(field, "must not be empty");
            }
        }
        if self.steer.is_empty() {
            report.push("steer", "name at least the control process of this host");
        }
        if let Err(err) = self.secret() {
            report.push("cluster_key_file", err.to_string());
        }
        if self.freshness > FRESHNESS_LIMIT {
            let fault = format!(
                "must be at most {}",
                humantime::format_duration(FRESHNESS_LIMIT)
            );
            report.push("freshness", fault);
        }
        if self.sync_interval.is_zero() || self.sync_interval * 2 > self.freshness {
            report.push(
                "sync_interval",
                "must be above zero and at most half of `freshness`",
            );
        }
        if self.keep_addresses < Duration::from_secs(1) {
            report.push("keep_addresses", "must be at least 1s");
        }
        self.limits.check(report);
    }
}

impl Check for Limits {
    fn check(&self, report: &mut Report) {
        let counts = [
            ("limits.body", self.body.bytes()),
            ("limits.event", self.event.bytes()),
            ("limits.connections", self.connections),
            ("limits.stream_events", self.stream_events),
        ];
        for (field, value) in counts {
            if value == 0 {
                report.push(field, "must be above zero");
            }
        }
        let times = [
            ("limits.head_timeout", self.head_timeout),
            ("limits.body_timeout", self.body_timeout),
            ("limits.keep_alive", self.keep_alive),
            ("limits.connect_timeout", self.connect_timeout),
            ("limits.read_timeout", self.read_timeout),
            ("limits.stall_timeout", self.stall_timeout),
        ];
        for (field, value) in times {
            if value.is_zero() {
                report.push(field, "must be above zero");
            }
        }
    }
}

fn default_sync_interval() -> Duration {
    Duration::from_millis(250)
}

fn default_freshness() -> Duration {
    FRESHNESS_LIMIT
}

fn default_keep_addresses() -> Duration {
    Duration::from_secs(30)
}

fn default_drain_timeout() -> Duration {
    Duration::from_secs(120)
}

fn default_log() -> String {
    "info".to_owned()
}
