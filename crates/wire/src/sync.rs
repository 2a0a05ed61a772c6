//! Calls of gates to control processes, by JSON-RPC.
//!
//! A gate calls `sync` every few hundred milliseconds at the control process
//! of its own host, or at a peer's if that does not answer.

use std::time::Duration;

use agate_model::endpoint;
use agate_model::id::{AccountId, EndpointId, PoolId, Version, Window};
use serde::{Deserialize, Serialize};

use crate::address::Entry;
use crate::change::{Change, Snapshot};
use crate::manifest::Endpoint;
use crate::platform::Figures;

/// JSON-RPC method name of the call.
pub const METHOD: &str = "agate_sync";

/// What a gate sends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Host of the gate.
    pub host: String,
    /// Run of the gate.
    pub incarnation: String,
    /// Configuration version that the gate has in force; 0 if none.
    pub version: Version,
    /// Revision of the endpoint states that it has.
    pub endpoint_revision: u64,
    /// Usage counters that changed since the last acknowledged call. Values
    /// are totals of this run, so a repeated call adds nothing.
    pub usage: Vec<Usage>,
    /// Demand for each pool since the last call.
    pub demand: Vec<Demand>,
    /// Lowest tier still admitted for each pool under pressure.
    pub pressure: Vec<Pressure>,
    /// Set once the gate shuts down.
    pub leaving: bool,
}

/// Total of one account and window in one run of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Account.
    pub account: AccountId,
    /// Window.
    pub window: Window,
    /// Totals.
    pub figures: Figures,
}

/// Demand for one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Pool.
    pub pool: PoolId,
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests waiting now.
    pub queued: u32,
    /// Requests running now.
    pub running: u32,
    /// Longest wait now, in milliseconds.
    pub oldest_wait_ms: u64,
}

/// Pressure on one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Pool.
    pub pool: PoolId,
    /// Lowest tier still admitted.
    pub floor: u8,
}

/// What the gate gets back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Version that the control process has.
    pub version: Version,
    /// Age of the proof that `version` is the newest accepted one, in
    /// milliseconds when the answer was written; `None` without proof.
    pub proof_age_ms: Option<u64>,
    /// The configuration itself, if the gate is behind.
    pub update: Option<Update>,
    /// Endpoint states, if they changed.
    pub endpoints: Option<EndpointStates>,
    /// Entry hosts to name to callers.
    pub hosts: Vec<Entry>,
    /// Control processes of peers, to call when this one does not answer.
    pub peers: Vec<String>,
    /// Number of live entry hosts, this one included.
    pub live_hosts: u32,
    /// Pressure that peers have signalled.
    pub pressure: Vec<Pressure>,
    /// Reporting window that is open, in seconds since the Unix epoch.
    pub window: Window,
}

/// Configuration for a gate that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The changes that follow the gate's version.
    Changes(Vec<Change>),
    /// Everything.
    Snapshot(Snapshot),
}

/// Endpoints beyond the declared ones, and those that take no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStates {
    /// Grows with every change.
    pub revision: u64,
    /// Endpoints that were ordered, with their addresses.
    pub ordered: Vec<Endpoint>,
    /// Endpoints that take no new work, declared or ordered.
    pub leaving: Vec<EndpointId>,
}

impl Response {
    /// Age of the proof when the answer was written.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof_age_ms.map(Duration::from_millis)
    }
}

impl TryFrom<Endpoint> for endpoint::Endpoint {
    type Error = agate_model::finding::Report;

    fn try_from(it: Endpoint) -> Result<Self, Self::Error> {
        use agate_model::resource::Spec;
        match Spec::try_from(crate::manifest::Manifest::Endpoint(it))? {
            Spec::Endpoint(endpoint) => Ok(endpoint),
            _ => unreachable!("an endpoint manifest converts to an endpoint"),
        }
    }
}
