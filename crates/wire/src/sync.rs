//! JSON-RPC call from gates to control processes.
//!
//! A gate calls `sync` every few hundred milliseconds on the control process of its own host, or on
//! a peer's if that one does not respond.

use std::time::Duration;

use agate_model::endpoint;
use agate_model::id::{AccountId, EndpointId, PoolId, Version, Window};
use serde::{Deserialize, Serialize};

use crate::address::Entry;
use crate::change::{Change, Snapshot};
use crate::manifest::Endpoint;
use crate::platform::Counters;

/// Name of the JSON-RPC method, which takes [`Request`] and returns [`Response`].
pub const METHOD: &str = "agate_sync";

/// State, usage and demand of a gate.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Host of the gate.
    pub host: String,
    /// Process incarnation of the gate.
    pub incarnation: String,
    /// Configuration version that the gate has in force; 0 if none.
    pub version: Version,
    /// Revision of the endpoint states that the gate has.
    pub endpoint_revision: u64,
    /// Usage counters that changed since the last acknowledged call. Values are totals of this
    /// process incarnation, so a retried call adds nothing.
    pub usage: Vec<Usage>,
    /// Demand for each pool since the last call.
    pub demand: Vec<Demand>,
    /// Lowest tier that is still admitted, for each pool under pressure.
    pub pressure: Vec<Pressure>,
    /// What responses of endpoints have lately said of their limits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Statement>,
    /// Whether the gate is shutting down.
    pub leaving: bool,
}

/// Total of one account and window in one process incarnation of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the client account.
    pub account: AccountId,
    /// Window in which the usage was counted.
    pub window: Window,
    /// Totals since the gate started.
    pub figures: Counters,
}

/// Demand for one pool on one gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the pool.
    pub pool: PoolId,
    /// Number of requests that arrived since the last call.
    pub arrivals: u64,
    /// Number of requests in the queue when the request was written.
    pub queued: u32,
    /// Number of requests in flight when the request was written.
    pub running: u32,
    /// Time that the oldest queued request has waited, in milliseconds.
    pub oldest_wait_ms: u64,
}

/// Admission limit of a pool under pressure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Name of the pool.
    pub pool: PoolId,
    /// Lowest tier that is still admitted.
    pub floor: u8,
}

/// What a response of an endpoint said of its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Requests a second that it takes from all hosts together; `None` if it names no limit any more.
    pub rate: Option<f64>,
    /// Time since it can be taken to have said so, in milliseconds.
    pub age_ms: u64,
}

/// Configuration, endpoint states and peers for a gate.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Configuration version that the control process has.
    pub version: Version,
    /// Age of the evidence that no accepted version is newer than `version`, in milliseconds, when
    /// the response was written; `None` without evidence.
    pub proof_age_ms: Option<u64>,
    /// Configuration or changes that the gate lacks; `None` if the gate is up to date.
    pub update: Option<Update>,
    /// Endpoint states; `None` if the gate's revision is current.
    pub endpoints: Option<EndpointStates>,
    /// Entry hosts that the gate lists to callers.
    pub hosts: Vec<Entry>,
    /// Control processes of peers, to call when this one does not respond.
    pub peers: Vec<String>,
    /// Number of live entry hosts, this one included.
    pub live_hosts: u32,
    /// Pressure on pools that peers have reported.
    pub pressure: Vec<Pressure>,
    /// What endpoints are known to have said of their limits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Statement>,
    /// Start of the open reporting window, in seconds since the Unix epoch.
    pub window: Window,
}

/// Configuration for a gate that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The changes that follow the gate's version.
    Changes(Vec<Change>),
    /// The whole configuration, for a gate that is too far behind for changes.
    Snapshot(Snapshot),
}

/// Ordered endpoints, and the endpoints that take no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStates {
    /// Revision of the states, which grows with every change.
    pub revision: u64,
    /// Endpoints that the system ordered, with their addresses.
    pub ordered: Vec<Endpoint>,
    /// Endpoints that take no new requests, declared or ordered.
    pub leaving: Vec<EndpointId>,
}

impl Response {
    /// Returns the age of the evidence when the response was written; `None` without evidence.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof_age_ms.map(Duration::from_millis)
    }
}

impl TryFrom<Endpoint> for endpoint::Endpoint {
    type Error = agate_model::finding::Report;

    fn try_from(endpoint: Endpoint) -> Result<Self, Self::Error> {
        use agate_model::resource::Spec;
        match Spec::try_from(crate::manifest::Manifest::Endpoint(endpoint))? {
            Spec::Endpoint(endpoint) => Ok(endpoint),
            _ => unreachable!("the manifest of an endpoint converts to another kind of resource"),
        }
    }
}
