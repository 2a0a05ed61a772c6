//! Rows in which each process incarnation of a host publishes its usage and the work that it was
//! offered.
//!
//! Every host writes its own row; only the lease holder reads them all.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::ServiceId;
use crate::interface::Counts;

/// Table of the rows. A row has the same key as the host row of its incarnation.
pub const TABLE: &str = "ledger";

/// Size of the counts in one row, in bytes. With what is beside them, and names that are longer in JSON, a
/// row stays below the 64 KiB that the store accepts.
const MAX_COUNT_BYTES: usize = 44 << 10;
/// Size of a count in JSON without the name of its account, in bytes.
const COUNT_BYTES: usize = 14;
/// Separates the key of an incarnation from the number of one of its further rows.
const PART_MARK: char = '+';

/// Work offered to one service since the start of a process incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Number of requests that callers sent.
    pub requests: u64,
    /// Estimated work of these requests, in milliseconds of an engine.
    pub work: f64,
    /// Number of requests currently in flight at endpoints.
    pub running: u32,
    /// Number of requests currently queued.
    pub waiting: u32,
}

/// Row of one process incarnation of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the incarnation.
    pub run: String,
    /// The store's clock at which the row was built, in milliseconds; 0 if not known.
    pub at: u64,
    /// Whether the incarnation has ended, so that this row is final.
    pub ended: bool,
    /// Requests that started to run, by usage window and account.
    pub windows: BTreeMap<u64, Counts>,
    /// Offered work by service.
    pub offers: BTreeMap<ServiceId, Offer>,
}

impl Row {
    /// Splits a row into several that the store accepts. The first has the key of the incarnation, and all
    /// but a part of the counts; the others have further counts. All have the same time.
    pub fn split(mut self) -> Vec<Self> {
        let windows = std::mem::take(&mut self.windows);
        let key = self.run.clone();
        let further = Self {
            offers: BTreeMap::new(),
            ..self.clone()
        };
        let mut rows = vec![self];
        let mut bytes = 0;
        for (window, counts) in windows {
            for (account, count) in counts {
                let size = account.len() + COUNT_BYTES;
                if bytes + size > MAX_COUNT_BYTES {
                    rows.push(Self {
                        run: format!("{key}{PART_MARK}{}", rows.len()),
                        ..further.clone()
                    });
                    bytes = 0;
                }
                bytes += size;
                if let Some(row) = rows.last_mut() {
                    row.windows
                        .entry(window)
                        .or_default()
                        .insert(account, count);
                }
            }
        }
        rows
    }
}

/// Rows of all incarnations, as read by the lease holder.
#[derive(Debug, Default)]
pub struct Ledger {
    rows: HashMap<String, Row>,
    /// The store's clock at the last read of the table, in milliseconds; `None` before the first.
    clock: Option<u64>,
}

impl Ledger {
    /// Inserts a row, unless a newer one of the same incarnation is known.
    pub fn insert(&mut self, row: Row) {
        let is_newer = self
            .rows
            .get(&row.run)
            .is_none_or(|current| current.at <= row.at);
        if is_newer {
            self.rows.insert(row.run.clone(), row);
        }
    }

    /// Removes a row by its key.
    pub fn remove(&mut self, run: &str) {
        self.rows.remove(run);
    }

    /// Records that all rows were read up to `clock`, the store's clock in milliseconds.
    pub fn observe(&mut self, clock: u64) {
        self.clock = Some(self.clock.map_or(clock, |current| current.max(clock)));
    }

    /// Returns whether the table was read at least once.
    pub fn is_known(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns the first row of each incarnation, including those that have ended.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        let rows = self.rows.values();
        rows.filter(|row| first_key(&row.run).is_none())
    }

    /// Returns the keys of the further rows of an incarnation.
    pub fn further_keys<'a>(&'a self, run: &'a str) -> impl Iterator<Item = &'a str> {
        let keys = self.rows.keys().map(String::as_str);
        keys.filter(move |key| first_key(key) == Some(run))
    }

    /// Returns whether a row has the counts that its incarnation wrote last: further rows stay when fewer
    /// are needed.
    fn is_in_force(&self, row: &Row) -> bool {
        let Some(key) = first_key(&row.run) else {
            return true;
        };
        self.rows.get(key).is_some_and(|first| first.at == row.at)
    }

    /// Returns the keys of incarnations that may still publish counts from before `end`, which is a
    /// time of the store's clock in milliseconds: they have written within `timeout`, but not since
    /// `end`, have not ended, and no later incarnation of the host has written.
    pub fn missing(&self, end: u64, timeout: Duration) -> impl Iterator<Item = &str> {
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let oldest = self.clock.unwrap_or(0).saturating_sub(timeout);
        let missing = self.rows().filter(move |row| {
            let is_missing = row.at >= oldest && row.at < end;
            is_missing && !row.ended && !self.is_replaced(row)
        });
        missing.map(|row| row.run.as_str())
    }

    /// Returns whether a later incarnation of the same host has written.
    fn is_replaced(&self, row: &Row) -> bool {
        self.rows().any(|other| {
            other.run != row.run && other.at > row.at && host_key(&other.run) == host_key(&row.run)
        })
    }

    /// Returns the counts of a window, summed over all incarnations.
    pub fn sum(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        let rows = self.rows.values().filter(|row| self.is_in_force(row));
        for counts in rows.filter_map(|row| row.windows.get(&window)) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }
}

/// Returns the key of the first row of an incarnation from that of a further one; `None` for a first row.
fn first_key(run: &str) -> Option<&str> {
    let host = host_key(run);
    let (incarnation, _) = run[host.len()..].split_once(PART_MARK)?;
    Some(&run[..host.len() + incarnation.len()])
}

/// Returns the part of an incarnation's key that identifies the host.
fn host_key(run: &str) -> &str {
    run.rsplit_once('/').map_or(run, |(host, _)| host)
}
