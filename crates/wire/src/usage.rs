//! Serialised rows of the `usage`, `window` and `report` tables.
//!
//! - `usage/{window:020}/{host}/{incarnation}/{shard}`: [`Row`].
//! - `window/head`: [`Head`].
//! - `window/{window:020}`: [`Window`].
//! - `report/{window:020}/{account}`: [`Report`].

use agate_usage::{counters, report, row, window};
use serde::{Deserialize, Serialize};

use crate::platform;

/// Usage of one account and origin. The serialised names are short, since rows hold thousands of
/// parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the client account.
    #[serde(rename = "a")]
    pub account: String,
    /// Window in which the usage was counted.
    #[serde(rename = "o")]
    pub origin: u64,
    /// Number of requests that got a response.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Number of prompt tokens of these requests.
    #[serde(rename = "p")]
    pub prompt_tokens: u64,
    /// Number of response tokens that were delivered.
    #[serde(rename = "t")]
    pub answer_tokens: u64,
}

/// Serialised form of [`row::Row`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Counters of each account and origin.
    pub parts: Vec<Part>,
}

impl From<&row::Row> for Row {
    fn from(row: &row::Row) -> Self {
        let part = |(bucket, counters): (&row::Bucket, &counters::Counters)| Part {
            account: bucket.account.clone(),
            origin: bucket.origin,
            requests: counters.requests,
            prompt_tokens: counters.prompt_tokens,
            answer_tokens: counters.answer_tokens,
        };
        Self {
            parts: row.counters.iter().map(part).collect(),
        }
    }
}

impl From<Row> for row::Row {
    fn from(wire_row: Row) -> Self {
        let mut row = Self::default();
        for part in wire_row.parts {
            let counters = counters::Counters {
                requests: part.requests,
                prompt_tokens: part.prompt_tokens,
                answer_tokens: part.answer_tokens,
            };
            let bucket = row::Bucket {
                account: part.account,
                origin: part.origin,
            };
            row.observe(bucket, counters);
        }
        row
    }
}

/// Serialised form of [`window::Head`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Start of the window that was closed last.
    pub closed: u64,
    /// Lease epoch of the holder that closed it.
    pub epoch: u64,
}

impl From<window::Head> for Head {
    fn from(head: window::Head) -> Self {
        Self {
            closed: head.closed,
            epoch: head.epoch,
        }
    }
}

impl From<Head> for window::Head {
    fn from(head: Head) -> Self {
        Self {
            closed: head.closed,
            epoch: head.epoch,
        }
    }
}

/// Serialised form of [`window::State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The usage rows of the window can no longer change.
    Closed,
    /// The counters to report are stored.
    Frozen,
    /// The platform has accepted every report of the window.
    Sent,
}

/// State of a closed window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// How far the reporting of the window has come.
    pub state: State,
    /// Lease epoch of the holder that wrote the row.
    pub epoch: u64,
    /// Time at which the row was written, in seconds since the Unix epoch.
    pub at: u64,
}

/// Frozen counters of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counters that are reported for the account.
    pub figures: platform::Counters,
    /// Whether the platform has accepted the report.
    pub sent: bool,
}

impl From<report::Total> for platform::Counters {
    fn from(total: report::Total) -> Self {
        Self {
            requests: total.counters.requests,
            prompt_tokens: total.counters.prompt_tokens,
            answer_tokens: total.counters.answer_tokens,
            late_requests: total.late_requests,
        }
    }
}

impl From<platform::Counters> for counters::Counters {
    fn from(counters: platform::Counters) -> Self {
        Self {
            requests: counters.requests,
            prompt_tokens: counters.prompt_tokens,
            answer_tokens: counters.answer_tokens,
        }
    }
}
