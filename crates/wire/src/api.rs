//! The resource API for operators, over HTTP with JSON bodies.
//!
//! - `GET /api/v1/resources?kind=K` answers [`Listing`].
//! - `GET /api/v1/resources/{kind}/{id}` answers [`Resource`], with its version as `ETag`.
//! - `PUT /api/v1/resources/{kind}/{id}` takes a manifest, and optionally `If-Match: "<version>"`
//!   or `If-None-Match: *`; answers [`Outcome`].
//! - `DELETE /api/v1/resources/{kind}/{id}`, optionally with `If-Match`; answers [`Outcome`].
//! - `POST /api/v1/apply` takes [`Apply`], answers [`Outcome`].
//! - `GET /api/v1/changes/{version}` answers [`Outcome`] of an earlier change.
//! - `GET /api/v1/watch?from=V&wait=S` answers [`Watch`] once there is something above `V`.
//! - `GET /api/v1/status` answers [`Status`].
//! - `GET /api/v1/usage?window=W` answers [`Usage`].
//! - `POST /api/v1/keys/{account}` takes [`KeyRequest`], answers [`KeyIssued`].
//! - `POST /api/v1/witnesses/{host}/ended` declares that the runs of a host that are no longer heard have
//!   ended, so that changes need not wait for them; answers [`Outcome`]. For a host whose machine is
//!   certainly gone.
//! - `DELETE /api/v1/keys/{id}` withdraws a key; answers [`Outcome`].
//!
//! Every request carries `Authorization: Bearer <credential>`. A change with an
//! `Idempotency-Key` header is made at most once. Errors answer [`Failure`]: 400, 401, 403,
//! 404, 409 with both sides of each conflict, 422 with all findings, or 503 when the
//! store cannot be reached.

use std::time::SystemTime;

use agate_model::finding;
use agate_model::id::{
    AccountId, EndpointId, Epoch, HostId, KeyId, PoolId, Version, Window, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::change::{Change, Edit, Resource};
use crate::manifest::Manifest;
use crate::platform::Figures;

/// Resources at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Configuration version.
    pub version: Version,
    /// Age of the proof that this version is the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Resources, ordered by kind and name.
    pub resources: Vec<Resource>,
}

/// Several edits that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Edits.
    pub items: Vec<Item>,
    /// Check only; the answer carries the current version.
    #[serde(default)]
    pub dry_run: bool,
}

/// One edit with its condition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// What changes.
    pub edit: Edit,
    /// Version that the resource must have; 0 if it must not exist yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

/// Whether a change is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// A host without the change serves no keyed work from 2.5 s after this answer at the latest.
    Accepted,
    /// Stored; some hosts may still serve without it.
    Pending,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Version that the change created.
    pub version: Version,
    /// Whether it is in force.
    pub state: State,
    /// Hosts known to have it.
    pub hosts_in_force: u32,
    /// Hosts known.
    pub hosts: u32,
    /// Whether an earlier request with this idempotency key had made the change.
    #[serde(default)]
    pub repeated: bool,
    /// Whether nothing was stored, as asked.
    #[serde(default)]
    pub dry_run: bool,
}

/// An error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Stable code: `bad_request`, `unauthenticated`, `forbidden`, `not_found`, `conflict`,
    /// `invalid`, `store_unavailable`, `outcome_unknown` or `internal`.
    pub code: String,
    /// For people.
    pub message: String,
    /// Every fault of the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// Every edit whose condition failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
}

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Such as `class/chat.target.deadline`.
    pub place: String,
    /// What is wrong.
    pub fault: String,
}

/// An edit whose condition failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Kind.
    pub kind: String,
    /// Name.
    pub id: String,
    /// Version that the request expected; 0 if it expected none.
    pub expected: Version,
    /// Contents that the request would have stored; absent for a deletion.
    pub yours: Option<Manifest>,
    /// What is stored; absent if there is no such resource.
    pub current: Option<Resource>,
}

/// Changes since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Newest version.
    pub version: Version,
    /// Changes above the version asked for, in order.
    pub changes: Vec<Change>,
    /// Set if changes are missing because they are too old; list the resources anew.
    pub reset: bool,
}

/// State of the system as one host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Host that answers.
    pub host: HostId,
    /// Its configuration version.
    pub version: Version,
    /// Highest version known to be accepted.
    pub accepted: Version,
    /// Age of the proof that `version` is the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Time since the store last answered this host, in milliseconds.
    pub store_age_ms: Option<u64>,
    /// Holder of the lease, if known.
    pub lease: Option<Lease>,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Endpoints, declared and ordered.
    pub endpoints: Vec<Endpoint>,
}

/// Holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Host.
    pub holder: HostId,
    /// Fencing number.
    pub epoch: Epoch,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub id: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub gate: String,
    /// Version of its control process, as last heard.
    pub version: Version,
    /// Version that its gate has in force, as last heard; 0 if no gate has called.
    pub gate_version: Version,
    /// Age of its proof, in milliseconds, as last heard.
    pub proof_age_ms: Option<u64>,
    /// Time since it was last heard, in milliseconds; absent if never.
    pub heard_ms: Option<u64>,
    /// Whether it shuts down.
    pub leaving: bool,
    /// Whether it is one of the witnesses.
    pub witness: bool,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name.
    pub id: EndpointId,
    /// Pool.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address.
    pub address: String,
    /// Whether it was ordered by the system, and not declared by an operator.
    pub ordered: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Usage of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Start of the window, in seconds since the Unix epoch.
    pub window: Window,
    /// Whether the figures are final.
    pub closed: bool,
    /// Figures by account.
    pub accounts: Vec<AccountUsage>,
}

/// Usage of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Account.
    pub account: AccountId,
    /// Figures.
    pub figures: Figures,
}

/// A key to be made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// Public name.
    pub id: KeyId,
    /// RFC 3339 time from which the key is refused.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub expires: Option<SystemTime>,
}

/// A new key. This answer is the only place where it is shown.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyIssued {
    /// Public name.
    pub id: KeyId,
    /// Owner.
    pub account: AccountId,
    /// The key that callers show.
    pub key: String,
    /// Result of the change.
    pub outcome: Outcome,
}

impl std::fmt::Debug for KeyIssued {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyIssued")
            .field("id", &self.id)
            .field("account", &self.account)
            .finish_non_exhaustive()
    }
}

impl From<finding::Finding> for Finding {
    fn from(it: finding::Finding) -> Self {
        Self {
            place: it.place,
            fault: it.fault,
        }
    }
}
