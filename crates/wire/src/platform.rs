//! The platform's object store, host list and report interface, over HTTP.
//!
//! - `PUT|GET /objects/{name}` stores and returns an object as bytes.
//! - `GET /hosts` returns [`Listing`]; it lags by seconds.
//! - `POST /reports` takes [`Report`] with the `Idempotency-Key` header; a second report for the
//!   same account and window with other counters is refused with 409.

use serde::{Deserialize, Serialize};

/// Lifecycle state of a host or endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The machine is running.
    Live,
    /// The machine stops soon and takes no new requests.
    Leaving,
    /// The machine has stopped and does not return.
    Gone,
}

/// Part that a listed machine plays in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// The machine is an entry host.
    Host,
    /// The machine is an endpoint.
    Endpoint,
}

/// One host or endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the host or endpoint.
    pub id: String,
    /// Whether the machine is a host or an endpoint.
    pub purpose: Purpose,
    /// Availability zone in which the machine runs.
    pub zone: String,
    /// Lifecycle state of the machine.
    pub state: State,
}

/// Hosts and endpoints as the platform lists them; the list lags by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the list, which grows with every change.
    pub revision: u64,
    /// All listed hosts and endpoints.
    pub machines: Vec<Machine>,
}

/// Usage of one account in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the client account.
    pub account: String,
    /// Start of the window, in seconds since the Unix epoch.
    pub window: u64,
    /// Lease epoch of the sender.
    pub epoch: u64,
    /// Counters of the account for the window.
    pub figures: Counters,
}

/// Usage counters of one account and window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Number of requests that got a response.
    pub requests: u64,
    /// Number of prompt tokens of these requests.
    pub prompt_tokens: u64,
    /// Number of response tokens that were delivered.
    pub answer_tokens: u64,
    /// Number of the above requests that belong to earlier windows that were already reported.
    pub late_requests: u64,
}
