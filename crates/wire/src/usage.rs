//! Rows of the `usage`, `window` and `report` tables.
//!
//! - `usage/{window:020}/{host}/{incarnation}/{shard}`: [`Row`].
//! - `window/head`: [`Head`].
//! - `window/{window:020}`: [`Window`].
//! - `report/{window:020}/{account}`: [`Report`].

use agate_usage::{counters, report, row, window};
use serde::{Deserialize, Serialize};

use crate::platform;

/// Usage of one account and origin. Names are short, since rows hold thousands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Account.
    #[serde(rename = "a")]
    pub account: String,
    /// Window in which it was counted.
    #[serde(rename = "o")]
    pub origin: u64,
    /// Answered requests.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Prompt tokens.
    #[serde(rename = "p")]
    pub prompt_tokens: u64,
    /// Answer tokens.
    #[serde(rename = "t")]
    pub answer_tokens: u64,
}

/// See [`row::Row`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Figures by account and origin.
    pub parts: Vec<Part>,
}

impl From<&row::Row> for Row {
    fn from(it: &row::Row) -> Self {
        let part = |(part, figures): (&row::Bucket, &counters::Counters)| Part {
            account: part.account.clone(),
            origin: part.origin,
            requests: figures.requests,
            prompt_tokens: figures.prompt_tokens,
            answer_tokens: figures.answer_tokens,
        };
        Self {
            parts: it.counters.iter().map(part).collect(),
        }
    }
}

impl From<Row> for row::Row {
    fn from(it: Row) -> Self {
        let mut row = Self::default();
        for part in it.parts {
            let figures = counters::Counters {
                requests: part.requests,
                prompt_tokens: part.prompt_tokens,
                answer_tokens: part.answer_tokens,
            };
            let part = row::Bucket {
                account: part.account,
                origin: part.origin,
            };
            row.observe(part, figures);
        }
        row
    }
}

/// See [`window::Head`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Last closed window.
    pub closed: u64,
    /// Epoch of the holder that closed it.
    pub epoch: u64,
}

impl From<window::Head> for Head {
    fn from(it: window::Head) -> Self {
        Self {
            closed: it.closed,
            epoch: it.epoch,
        }
    }
}

impl From<Head> for window::Head {
    fn from(it: Head) -> Self {
        Self {
            closed: it.closed,
            epoch: it.epoch,
        }
    }
}

/// See [`window::State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its rows can no longer change.
    Closed,
    /// Its figures are stored.
    Frozen,
    /// Every report was accepted.
    Sent,
}

/// A closed window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// State.
    pub state: State,
    /// Epoch of the holder that wrote the row.
    pub epoch: u64,
    /// When the row was written, in seconds since the Unix epoch.
    pub at: u64,
}

/// Frozen figures of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What is reported.
    pub figures: platform::Figures,
    /// Whether the report was accepted.
    pub sent: bool,
}

impl From<report::Total> for platform::Figures {
    fn from(it: report::Total) -> Self {
        Self {
            requests: it.counters.requests,
            prompt_tokens: it.counters.prompt_tokens,
            answer_tokens: it.counters.answer_tokens,
            late_requests: it.late_requests,
        }
    }
}

impl From<platform::Figures> for counters::Counters {
    fn from(it: platform::Figures) -> Self {
        Self {
            requests: it.requests,
            prompt_tokens: it.prompt_tokens,
            answer_tokens: it.answer_tokens,
        }
    }
}
