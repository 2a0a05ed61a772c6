//! Record of every request that reached a stand-in.

use std::collections::VecDeque;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// Largest number of entries; beyond it the oldest are dropped.
pub const ENTRY_LIMIT: usize = 200_000;

/// Leading bytes of a body that an entry keeps, and that searches cover.
pub const BODY_BYTES: usize = 64 * 1024;

/// Sequence number of a request, counted from 0 in order of arrival.
pub type Sequence = u64;

/// State of processing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Received and still in progress.
    Received,
    /// Executed completely.
    Completed,
    /// Cancelled before it was executed completely.
    Cancelled,
    /// Not executed: an error was returned, or the connection was closed.
    Refused,
}

/// One header field of a recorded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name in lower case.
    pub name: String,
    /// Header value; bytes that are not UTF-8 are replaced.
    pub value: String,
}

/// Record of one request, as `GET /admin/ledger` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number, assigned by [`Ledger::record`].
    pub sequence: Sequence,
    /// Time at which the request was complete, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of the connection that carried it, counted from 0; `u64::MAX` if it is unknown.
    pub connection: u64,
    /// Time at which the connection was accepted, in milliseconds since the Unix epoch; 0 if it
    /// is unknown.
    pub connected_ms: u64,
    /// HTTP method as sent.
    pub method: String,
    /// Path as sent, with percent signs still encoded.
    pub path: String,
    /// Query string as sent, without the question mark; empty if there is none.
    pub query: String,
    /// All header fields, repeated ones included.
    pub headers: Vec<Header>,
    /// SHA-256 of the complete body, in hexadecimal digits.
    pub body_digest: String,
    /// First [`BODY_BYTES`] bytes of the body; those that are not UTF-8 are replaced.
    pub body: String,
    /// State of processing the request.
    pub outcome: Outcome,
    /// Whether the connection was closed instead of returning the response, as the fault
    /// `lose_answer_rate` demands.
    pub answer_lost: bool,
}

impl Entry {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name == name)
            .map(|header| header.value.as_str())
    }

    /// Reports whether `text` occurs in the path, query, headers or recorded body.
    pub fn contains(&self, text: &str) -> bool {
        self.path.contains(text)
            || self.query.contains(text)
            || self.body.contains(text)
            || self
                .headers
                .iter()
                .any(|header| header.name.contains(text) || header.value.contains(text))
    }
}

/// Response to `GET /admin/ledger?contains=TEXT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of entries that contain the text.
    pub count: u64,
}

/// Recorded requests in order of arrival, at most [`ENTRY_LIMIT`].
#[derive(Debug, Default)]
pub struct Ledger {
    entries: VecDeque<Entry>,
    next: Sequence,
}

impl Ledger {
    /// Adds an entry, assigns its sequence number and returns it.
    pub fn record(&mut self, mut entry: Entry) -> Sequence {
        let sequence = self.next;
        entry.sequence = sequence;
        self.next += 1;
        self.entries.push_back(entry);
        if self.entries.len() > ENTRY_LIMIT {
            self.entries.pop_front();
        }
        sequence
    }

    /// Returns the entry with a sequence number, unless it was dropped.
    pub fn entry_mut(&mut self, sequence: Sequence) -> Option<&mut Entry> {
        let first = self.entries.front()?.sequence;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Sets the outcome of a request; does nothing if its entry was dropped.
    pub fn finish(&mut self, sequence: Sequence, outcome: Outcome) {
        if let Some(entry) = self.entry_mut(sequence) {
            entry.outcome = outcome;
        }
    }

    /// Returns the entries in order of arrival.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the number of entries that contain `text`.
    pub fn count(&self, text: &str) -> u64 {
        self.entries
            .iter()
            .filter(|entry| entry.contains(text))
            .count() as u64
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
