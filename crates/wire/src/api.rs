//! The resource API for operators, over HTTP with JSON bodies.
//!
//! - `GET /api/v1/resources?kind=K` returns [`Listing`].
//! - `GET /api/v1/resources/{kind}/{id}` returns [`Resource`], with its version as `ETag`.
//! - `PUT /api/v1/resources/{kind}/{id}` takes a manifest, and optionally `If-Match: "<version>"`
//!   or `If-None-Match: *`; returns [`Outcome`].
//! - `DELETE /api/v1/resources/{kind}/{id}`, optionally with `If-Match`; returns [`Outcome`].
//! - `POST /api/v1/apply` takes [`Apply`] and returns [`Outcome`].
//! - `GET /api/v1/changes/{version}` returns [`Outcome`] of an earlier change.
//! - `GET /api/v1/watch?from=V&wait=S` is a long poll; it returns [`Watch`] once a version above
//!   `V` exists.
//! - `GET /api/v1/status` returns [`Status`].
//! - `GET /api/v1/usage?window=W` returns [`Usage`].
//! - `POST /api/v1/keys/{account}` takes [`KeyRequest`] and returns [`KeyIssued`].
//! - `POST /api/v1/witnesses/{host}/ended` declares that the process incarnations of a host that
//!   no longer respond have ended, so that changes need not wait for them; returns [`Outcome`].
//!   Only for a host whose machine has certainly stopped.
//! - `DELETE /api/v1/keys/{id}` withdraws a key; returns [`Outcome`].
//!
//! Every request carries `Authorization: Bearer <credential>`. A change with an `Idempotency-Key`
//! header is made at most once. Errors return [`Failure`] with status 400, 401, 403, 404, 409 with
//! both sides of each conflict, 422 with all findings, or 503 when the store is unreachable.

use std::time::SystemTime;

use agate_model::finding;
use agate_model::id::{
    AccountId, EndpointId, Epoch, HostId, KeyId, PoolId, Version, Window, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::change::{Change, Edit, Resource};
use crate::manifest::Manifest;
use crate::platform::Counters;

/// Response with the resources of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Configuration version that the resources belong to.
    pub version: Version,
    /// Age of the evidence that no newer version exists, in milliseconds; `None` without evidence.
    pub proof_age_ms: Option<u64>,
    /// Resources, ordered by kind and name.
    pub resources: Vec<Resource>,
}

/// Request with several edits that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Edits to make, each with its precondition.
    pub items: Vec<Item>,
    /// Whether to check the edits without storing them; the response then carries the current
    /// version.
    #[serde(default)]
    pub dry_run: bool,
}

/// One edit with its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Resource to store or to delete.
    pub edit: Edit,
    /// Version that the resource must have, 0 if it must not exist yet; `None` sets no
    /// precondition.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

/// Whether a change is in force on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// From 2.5 s after this response at the latest, a host without the change serves no keyed
    /// requests.
    Accepted,
    /// The change is stored, but some hosts may still serve without it.
    Pending,
}

/// Response to a request that changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Configuration version that the change created.
    pub version: Version,
    /// Whether the change is in force on every host.
    pub state: State,
    /// Number of hosts that are known to have the change in force.
    pub hosts_in_force: u32,
    /// Number of known entry hosts.
    pub hosts: u32,
    /// Whether an earlier request with the same idempotency key already made the change.
    #[serde(default)]
    pub repeated: bool,
    /// Whether nothing was stored because the request was a dry run.
    #[serde(default)]
    pub dry_run: bool,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Stable error code: `bad_request`, `unauthenticated`, `forbidden`, `not_found`, `conflict`,
    /// `invalid`, `store_unavailable`, `outcome_unknown` or `internal`.
    pub code: String,
    /// Description of the error for people.
    pub message: String,
    /// All faults found in the request; set when the code is `invalid`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// All edits whose precondition failed; set when the code is `conflict`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
}

/// One fault in the request and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Resource and field of the fault, such as `class/chat.target.deadline`.
    pub place: String,
    /// Description of what is wrong.
    pub fault: String,
}

/// An edit whose precondition on the resource version failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Kind of the resource, in the form that manifests use.
    pub kind: String,
    /// Name of the resource within its kind.
    pub id: String,
    /// Version that the request expected; 0 if it expected that the resource does not exist.
    pub expected: Version,
    /// Manifest that the request would have stored; `None` for a deletion.
    pub yours: Option<Manifest>,
    /// Resource as it is stored; `None` if it does not exist.
    pub current: Option<Resource>,
}

/// Response with the changes that follow a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Newest version that the responding host has.
    pub version: Version,
    /// Changes above the requested version, in ascending order.
    pub changes: Vec<Change>,
    /// Whether changes are missing because they are too old to be kept; the client then lists the
    /// resources again.
    pub reset: bool,
}

/// State of the system as one host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host that responds.
    pub host: HostId,
    /// Configuration version of that host.
    pub version: Version,
    /// Highest configuration version known to be accepted.
    pub accepted: Version,
    /// Age of the evidence that no version newer than `version` exists, in milliseconds; `None`
    /// without evidence.
    pub proof_age_ms: Option<u64>,
    /// Time since the last response of the store to this host, in milliseconds; `None` before the
    /// first one.
    pub store_age_ms: Option<u64>,
    /// Current lease holder; `None` if this host does not know it.
    pub lease: Option<Lease>,
    /// Entry hosts that this host knows.
    pub hosts: Vec<Host>,
    /// Endpoints that operators declared and endpoints that the system ordered.
    pub endpoints: Vec<Endpoint>,
}

/// Lease holder and its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the host that holds the lease.
    pub holder: HostId,
    /// Lease epoch, which is the fencing token.
    pub epoch: Epoch,
}

/// State of one entry host as the responding host last received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the entry host.
    pub id: HostId,
    /// Availability zone in which the host runs.
    pub zone: ZoneId,
    /// Address on which its gate accepts callers.
    pub gate: String,
    /// Configuration version that its control process last reported.
    pub version: Version,
    /// Configuration version that its gate last reported as in force; 0 if no gate has called.
    pub gate_version: Version,
    /// Age of its evidence, in milliseconds, as last reported; `None` without evidence.
    pub proof_age_ms: Option<u64>,
    /// Time since its last report, in milliseconds; `None` if it never reported.
    pub heard_ms: Option<u64>,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// Whether the host is one of the current witnesses.
    pub witness: bool,
}

/// One declared or ordered endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Name of the pool that the endpoint serves.
    pub pool: PoolId,
    /// Availability zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Address to which requests are forwarded.
    pub address: String,
    /// Whether the system ordered the endpoint; otherwise an operator declared it.
    pub ordered: bool,
    /// Whether the endpoint takes no new requests.
    pub leaving: bool,
}

/// Usage of all accounts in one reporting window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Start of the window, in seconds since the Unix epoch.
    pub window: Window,
    /// Whether the counters are final; those of an open window still grow.
    pub closed: bool,
    /// Counters of each account with usage in the window.
    pub accounts: Vec<AccountUsage>,
}

/// Usage of one account in the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Name of the client account.
    pub account: AccountId,
    /// Counters of the account in the window.
    pub figures: Counters,
}

/// Request to create a key for an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// Public name of the new key.
    pub id: KeyId,
    /// Time from which the key is refused, written in RFC 3339; `None` if it does not expire.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub expires: Option<SystemTime>,
}

/// A new key. The key itself appears only in this response, since the store keeps its digest.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyIssued {
    /// Public name of the key.
    pub id: KeyId,
    /// Client account that owns the key.
    pub account: AccountId,
    /// Secret that callers send with their requests.
    pub key: String,
    /// Result of the change that stored the digest of the key.
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
    fn from(finding: finding::Finding) -> Self {
        Self {
            place: finding.place,
            fault: finding.fault,
        }
    }
}
