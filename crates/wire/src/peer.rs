//! Rows of the `config` and `host` tables, and calls between control processes.
//!
//! Calls are JSON-RPC with one sealed parameter, see `agate_member::seal`.

use agate_model::host;
use agate_model::id::{HostId, Incarnation, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::change::{Change, Snapshot};
use crate::order::Machine;
use crate::platform::Listing;

/// JSON-RPC method that takes up entries: [`Push`], answered by [`Standing`].
pub const PUSH: &str = "agate_push";
/// JSON-RPC method that reads entries: [`Fetch`], answered by [`Fetched`].
pub const FETCH: &str = "agate_fetch";
/// JSON-RPC method that announces a host and asks for the state of another: [`Announce`],
/// answered by [`Standing`].
pub const STANDING: &str = "agate_standing";

/// JSON-RPC method that reads the lists of a peer: null, answered by [`Roster`].
pub const ROSTER: &str = "agate_roster";

/// One run of a host that attests versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Host.
    pub host: HostId,
    /// Run of its control process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where it answers gossip.
    pub gossip: std::net::SocketAddr,
}

/// Row `config/change/{version:020}`: a change and its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The change.
    #[serde(flatten)]
    pub change: Change,
    /// Identity chosen by the writer; tells whether a lost answer was a success.
    pub nonce: String,
    /// Operator, or host for changes of the witnesses.
    pub author: String,
    /// Witnesses in force from this version on, if they change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witnesses: Option<Vec<Witness>>,
    /// Runs that an operator declared as ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Witness>,
}

/// Witnesses in force from one version on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// First version.
    pub since: Version,
    /// Members.
    pub members: Vec<Witness>,
}

/// A whole configuration with its witnesses; also the contents of a snapshot object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// Resources.
    pub snapshot: Snapshot,
    /// Witnesses of this version and of older ones that may still be in use.
    pub witnesses: Vec<WitnessSet>,
    /// Runs that an operator declared as ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Witness>,
}

/// Row `config/snapshot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    /// Version of the snapshot.
    pub version: Version,
    /// Name of the object that holds the [`struct@Copy`].
    pub object: String,
}

/// Row `host/{host}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name.
    pub host: HostId,
    /// Run of the control process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub gate: std::net::SocketAddr,
    /// Where peers call the control process.
    pub steer: std::net::SocketAddr,
    /// Where peers send gossip frames.
    pub gossip: std::net::SocketAddr,
    /// Start of this run, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub started_ms: u64,
    /// Whether it shuts down.
    #[serde(default)]
    pub leaving: bool,
}

impl From<HostRow> for host::Host {
    fn from(it: HostRow) -> Self {
        Self {
            id: it.host,
            incarnation: it.incarnation,
            zone: it.zone,
            gate: it.gate,
            steer: it.steer,
            gossip: it.gossip,
            leaving: it.leaving,
        }
    }
}

/// Entries that a peer should take up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Entries in ascending order.
    pub entries: Vec<Entry>,
    /// Highest version known to be accepted.
    pub accepted: Version,
}

/// Asks for the entries above a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Version that the caller has.
    pub above: Version,
}

/// Answer to [`Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fetched {
    /// The entries, in ascending order.
    Entries(Vec<Entry>),
    /// Everything, for a caller that is far behind.
    Copy(Box<Copy>),
}

/// Lists read from the platform at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Hosts and endpoints.
    pub listing: Listing,
    /// Ordered endpoints; absent if the platform did not list them.
    pub machines: Option<Vec<Machine>>,
    /// Table of hosts; absent if the store did not answer.
    pub hosts: Option<Vec<HostRow>>,
}

/// Answer to [`ROSTER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Time since the lists were read, in milliseconds, when the answer was written.
    pub age_ms: u64,
    /// The lists.
    pub lists: Lists,
}

/// Tells a peer of this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The caller.
    pub host: HostRow,
}

/// State of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Host.
    pub host: HostId,
    /// Run of its control process.
    pub incarnation: Incarnation,
    /// Configuration version that it has taken up.
    pub version: Version,
    /// Version that its gate has in force; 0 if no gate has called.
    pub gate_version: Version,
    /// Age of its proof, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Known hosts, so that a host that starts without the store finds the others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostRow>,
}
