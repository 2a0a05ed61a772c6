//! The platform's object store, host list and report interface, over HTTP.
//!
//! - `PUT|GET /objects/{name}`: bytes.
//! - `GET /hosts` answers [`Listing`]; it lags by seconds.
//! - `POST /reports` takes [`Report`] with the `Idempotency-Key` header; a
//!   second report for the same account and window with other figures is
//!   refused with 409.

use serde::{Deserialize, Serialize};

/// State of a host or endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Running.
    Live,
    /// Stops soon; takes no new work.
    Leaving,
    /// Gone for good.
    Gone,
}

/// What a machine in the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// An entry host.
    Host,
    /// An endpoint.
    Endpoint,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the host or endpoint.
    pub id: String,
    /// What it is.
    pub purpose: Purpose,
    /// Availability zone.
    pub zone: String,
    /// State.
    pub state: State,
}

/// The lagging list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Grows with every change of the list.
    pub revision: u64,
    /// Machines.
    pub machines: Vec<Machine>,
}

/// Usage of one account in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Client account.
    pub account: String,
    /// Start of the window, in seconds since the Unix epoch.
    pub window: u64,
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Figures.
    pub figures: Figures,
}

/// Counted usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Answered requests.
    pub requests: u64,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: u64,
    /// Answer tokens delivered.
    pub answer_tokens: u64,
    /// Share of the above that belongs to earlier, already reported windows, in requests.
    pub late_requests: u64,
}
