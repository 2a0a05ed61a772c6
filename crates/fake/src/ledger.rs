//! Record of every request that reached a stand-in.

use std::collections::VecDeque;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// Entries kept; the oldest are dropped.
pub const ENTRY_LIMIT: usize = 200_000;

/// Bytes of a body that are kept for searches.
pub const BODY_BYTES: usize = 64 * 1024;

/// Position of an entry, from 0.
pub type Sequence = u64;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Received; not ended yet.
    Received,
    /// Carried out.
    Completed,
    /// Ended before it was carried out completely.
    Cancelled,
    /// Answered with an error and not carried out.
    Refused,
}

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value; bytes that are not UTF-8 are replaced.
    pub value: String,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub sequence: Sequence,
    /// Time of arrival of the whole request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Connection that it came on, counted from 0.
    pub connection: u64,
    /// Time at which the connection was accepted, in milliseconds since the Unix epoch.
    pub connected_ms: u64,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// All headers.
    pub headers: Vec<Header>,
    /// SHA-256 of the body, in hexadecimal digits.
    pub body_digest: String,
    /// Beginning of the body.
    pub body: String,
    /// What became of it.
    pub outcome: Outcome,
    /// Whether the answer was lost on request.
    pub answer_lost: bool,
}

impl Entry {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|it| it.name == name)
            .map(|it| it.value.as_str())
    }

    /// Whether `text` stands anywhere in the request.
    pub fn contains(&self, text: &str) -> bool {
        self.path.contains(text)
            || self.query.contains(text)
            || self.body.contains(text)
            || self
                .headers
                .iter()
                .any(|it| it.name.contains(text) || it.value.contains(text))
    }
}

/// Answer to a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Entries that contain the text.
    pub count: u64,
}

/// Entries in order of arrival.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: VecDeque<Entry>,
    next: Sequence,
}

impl Ledger {
    /// Adds an entry and assigns its position.
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

    /// Entry at a position, unless it was dropped.
    pub fn entry_mut(&mut self, sequence: Sequence) -> Option<&mut Entry> {
        let first = self.entries.front()?.sequence;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Sets what became of a request.
    pub fn finish(&mut self, sequence: Sequence, outcome: Outcome) {
        if let Some(entry) = self.entry_mut(sequence) {
            entry.outcome = outcome;
        }
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Number of entries that contain `text`.
    pub fn count(&self, text: &str) -> u64 {
        self.entries.iter().filter(|it| it.contains(text)).count() as u64
    }
}

/// Milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
