//! Rows of the `config` and `host` tables, and calls between control processes.
//!
//! Calls are JSON-RPC with one sealed parameter, see `agate_member::seal`.

use agate_model::host;
use agate_model::id::{HostId, Incarnation, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::change::{Change, Snapshot};
use crate::order::Machine;
use crate::platform::Listing;

/// JSON-RPC method that takes configuration entries in [`Push`] and returns [`HostStatus`].
pub const PUSH: &str = "agate_push";
/// JSON-RPC method that reads configuration entries; takes [`Fetch`] and returns [`Fetched`].
pub const FETCH: &str = "agate_fetch";
/// JSON-RPC method that announces the sender and reads the status of the receiver; takes
/// [`Announce`] and returns [`HostStatus`].
pub const STANDING: &str = "agate_standing";

/// JSON-RPC method that reads the lists of a peer; takes null and returns [`Roster`].
pub const ROSTER: &str = "agate_roster";

/// One process incarnation of a host that attests configuration versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Name of the host.
    pub host: HostId,
    /// Process incarnation of its control process.
    pub incarnation: Incarnation,
    /// Availability zone in which the host runs.
    pub zone: ZoneId,
    /// Address on which the host answers gossip frames.
    pub gossip: std::net::SocketAddr,
}

/// Row `config/change/{version:020}`, which holds a change and its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The change of the configuration.
    #[serde(flatten)]
    pub change: Change,
    /// Identity chosen by the writer, which uses it to find out whether a write whose response was
    /// lost succeeded.
    pub nonce: String,
    /// Operator that made the change, or host if the change concerns the witnesses.
    pub author: String,
    /// Witnesses in force from this version on; `None` if the change keeps them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witnesses: Option<Vec<Witness>>,
    /// Process incarnations that an operator declared as ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Witness>,
}

/// Witnesses in force from one version on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// First configuration version for which the set is in force.
    pub since: Version,
    /// Process incarnations that make up the set.
    pub members: Vec<Witness>,
}

/// All resources of one version with the witnesses; also the contents of a snapshot object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Resources and their configuration version.
    pub snapshot: Snapshot,
    /// Witness sets of this version and of older ones that may still be in use.
    pub witnesses: Vec<WitnessSet>,
    /// Process incarnations that an operator declared as ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Witness>,
}

/// Row `config/snapshot`, which refers to the newest snapshot object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    /// Configuration version of the snapshot.
    pub version: Version,
    /// Name of the object that holds the [`Configuration`].
    pub object: String,
}

/// Row `host/{host}`, by which a host announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: HostId,
    /// Process incarnation of its control process.
    pub incarnation: Incarnation,
    /// Availability zone in which the host runs.
    pub zone: ZoneId,
    /// Address on which the gate accepts callers.
    pub gate: std::net::SocketAddr,
    /// Address on which the control process accepts calls of peers.
    pub steer: std::net::SocketAddr,
    /// Address on which the control process receives gossip frames.
    pub gossip: std::net::SocketAddr,
    /// Start time of this process incarnation, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub started_ms: u64,
    /// Whether the host is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

impl From<HostRow> for host::Host {
    fn from(row: HostRow) -> Self {
        Self {
            id: row.host,
            incarnation: row.incarnation,
            zone: row.zone,
            gate: row.gate,
            steer: row.steer,
            gossip: row.gossip,
            leaving: row.leaving,
        }
    }
}

/// Configuration entries that a peer should apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Entries in ascending order of version.
    pub entries: Vec<Entry>,
    /// Highest version that the sender knows to be accepted.
    pub accepted: Version,
}

/// Request for the configuration entries above a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Configuration version that the sender has.
    pub above: Version,
}

/// Response to [`Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fetched {
    /// The requested entries, in ascending order of version.
    Entries(Vec<Entry>),
    /// The whole configuration, for a requester that is too far behind for entries.
    Copy(Box<Configuration>),
}

/// Lists read from the platform and the store at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Hosts and endpoints as the platform lists them.
    pub listing: Listing,
    /// Ordered endpoints; `None` if the platform did not list them.
    pub machines: Option<Vec<Machine>>,
    /// Rows of the `host` table; `None` if the store did not respond.
    pub hosts: Option<Vec<HostRow>>,
}

/// Response to [`ROSTER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Time from the reading of the lists to the writing of this response, in milliseconds.
    pub age_ms: u64,
    /// Lists as the responding host last read them.
    pub lists: Lists,
}

/// Request that announces the sending host to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Row of the sending host.
    pub host: HostRow,
}

/// Status of the control process and gate of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: HostId,
    /// Process incarnation of its control process.
    pub incarnation: Incarnation,
    /// Configuration version that the control process has applied.
    pub version: Version,
    /// Configuration version that its gate has in force; 0 if no gate has called.
    pub gate_version: Version,
    /// Age of the evidence that no newer version exists, in milliseconds; `None` without evidence.
    pub proof_age_ms: Option<u64>,
    /// Hosts that the responding host knows, so that a host that starts while the store is
    /// unavailable finds its peers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostRow>,
}
