//! Settings file of `agate-gate`, its defaults and its checks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agate_member::secret::{Malformed, Secret};
use agate_model::finding::Report;
use agate_model::version::FRESHNESS_LIMIT;
use agate_settings::file::Check;
use agate_settings::size::Size;
use serde::{Deserialize, Serialize};

/// Contents of the settings file. Unknown fields are refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this entry host, under which claims and usage are recorded.
    pub host: String,
    /// Availability zone of this entry host.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators, where metrics, health and explanations are served.
    pub admin: SocketAddr,
    /// Control processes in the order in which they are called, that of this host first. Those of
    /// other hosts are learnt from their responses.
    pub steer: Vec<SocketAddr>,
    /// File with the cluster key, which seals calls to control processes. Without it calls are
    /// plain, and control processes must be configured to accept plain calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster_key_file: Option<PathBuf>,
    /// Address of the platform, whose store holds claims of idempotency keys. Without it requests
    /// with such a key are refused.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Limits on requests, responses and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Interval between calls to control processes, at most half of `freshness`.
    #[serde(default = "default_sync_interval", with = "humantime_serde")]
    pub sync_interval: Duration,
    /// Age of the evidence for the configuration beyond which keyed work is refused.
    #[serde(default = "default_freshness", with = "humantime_serde")]
    pub freshness: Duration,
    /// Time for which callers may keep the list of entry hosts, at least 1 s. A leaving host keeps
    /// serving for this time.
    #[serde(default = "default_keep_addresses", with = "humantime_serde")]
    pub keep_addresses: Duration,
    /// Time for which requests may still run after the host has stopped accepting connections.
    #[serde(default = "default_drain_timeout", with = "humantime_serde")]
    pub drain_timeout: Duration,
    /// Log directives, such as `info,agate_gate=debug`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Certificate for callers. Without it they use plain HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<Tls>,
}

/// Limits on requests, responses and connections. Each has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body: Size,
    /// Maximum size of a response that is buffered in full, so that it can be requested again if
    /// the connection breaks.
    pub answer: Size,
    /// Maximum size of one event of a streamed response.
    pub event: Size,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Timeout for a request head, and for the TLS handshake.
    #[serde(with = "humantime_serde")]
    pub head_timeout: Duration,
    /// Timeout for a request body, from when the gate starts to read it.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    #[serde(with = "humantime_serde")]
    pub keep_alive: Duration,
    /// Timeout for connecting to an endpoint.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Number of events of a streamed response that are buffered for a slow caller.
    pub stream_events: usize,
    /// Time for which a caller may leave a streamed response unread.
    #[serde(with = "humantime_serde")]
    pub read_timeout: Duration,
    /// Time without data from an engine after which its stream is resumed.
    #[serde(with = "humantime_serde")]
    pub stall_timeout: Duration,
}

/// TLS for callers. Both files are read again on SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// PEM file with the certificate chain, the own certificate first.
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
    /// Reads the cluster key from its file; `None` if the settings name no file.
    pub fn secret(&self) -> Result<Option<Secret>, KeyError> {
        let Some(path) = &self.cluster_key_file else {
            return Ok(None);
        };
        let text = std::fs::read_to_string(path).map_err(KeyError::Unreadable)?;
        Ok(Some(Secret::from_hex(&text).map_err(KeyError::Malformed)?))
    }
}

/// Reason why the cluster key can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Unreadable(std::io::Error),
    /// The contents of the file are not a cluster key.
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
            let message = format!(
                "must be at most {}",
                humantime::format_duration(FRESHNESS_LIMIT)
            );
            report.push("freshness", message);
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
        let sizes = [
            ("limits.body", self.body.bytes()),
            ("limits.event", self.event.bytes()),
            ("limits.connections", self.connections),
            ("limits.stream_events", self.stream_events),
        ];
        for (field, value) in sizes {
            if value == 0 {
                report.push(field, "must be above zero");
            }
        }
        let durations = [
            ("limits.head_timeout", self.head_timeout),
            ("limits.body_timeout", self.body_timeout),
            ("limits.keep_alive", self.keep_alive),
            ("limits.connect_timeout", self.connect_timeout),
            ("limits.read_timeout", self.read_timeout),
            ("limits.stall_timeout", self.stall_timeout),
        ];
        for (field, value) in durations {
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
