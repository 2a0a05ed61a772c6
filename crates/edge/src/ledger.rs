//! What each run of a host counts: requests that began, and work that it was offered.
//!
//! Every host writes its row; only the holder of the lease reads them all.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::ServiceId;
use crate::interface::Counts;

/// Table of the rows. Their keys are those of the hosts' rows.
pub const TABLE: &str = "ledger";

/// Work offered to one service, since the start of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Requests of callers.
    pub requests: u64,
    /// Estimated work of the requests, in milliseconds of an engine.
    pub work: f64,
    /// Requests at endpoints now.
    pub running: u32,
    /// Requests in line now.
    pub waiting: u32,
}

/// The row of one run of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the run.
    pub run: String,
    /// The store's clock at which it was written, in milliseconds.
    pub at: u64,
    /// Whether nothing follows: the run has ended.
    pub ended: bool,
    /// Requests that began, by window and account.
    pub windows: BTreeMap<u64, Counts>,
    /// Work offered by service.
    pub offers: BTreeMap<ServiceId, Offer>,
}

/// Rows of all runs, as the holder of the lease reads them.
#[derive(Debug, Default)]
pub struct Ledger {
    rows: HashMap<String, Row>,
    /// The store's clock when the table was read last; `None` before the first time.
    clock: Option<u64>,
}

impl Ledger {
    /// Takes a row over, unless a newer one of the same run is known.
    pub fn insert(&mut self, row: Row) {
        let is_newer = self
            .rows
            .get(&row.run)
            .is_none_or(|known| known.at <= row.at);
        if is_newer {
            self.rows.insert(row.run.clone(), row);
        }
    }

    /// Forgets a row.
    pub fn remove(&mut self, run: &str) {
        self.rows.remove(run);
    }

    /// All rows were read up to `clock` of the store.
    pub fn observe(&mut self, clock: u64) {
        self.clock = Some(self.clock.map_or(clock, |known| known.max(clock)));
    }

    /// Whether the table was read.
    pub fn is_known(&self) -> bool {
        self.clock.is_some()
    }

    /// All rows, of ended runs too.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Runs that may still bring counts from before `end`, on the store's clock: they have
    /// written within `silence`, but not since then, and their host has not started anew.
    pub fn missing(&self, end: u64, silence: Duration) -> impl Iterator<Item = &str> {
        let silence = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        let oldest = self.clock.unwrap_or(0).saturating_sub(silence);
        let rows = self.rows.values();
        let missing = rows.filter(move |row| {
            let is_silent = row.at >= oldest && row.at < end;
            is_silent && !row.ended && !self.is_replaced(row)
        });
        missing.map(|row| row.run.as_str())
    }

    /// Whether a later run of the same host has written.
    fn is_replaced(&self, row: &Row) -> bool {
        let mut rows = self.rows.values();
        rows.any(|it| it.run != row.run && it.at > row.at && host(&it.run) == host(&row.run))
    }

    /// Sum of a window over all runs.
    pub fn sum(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        for counts in self.rows().filter_map(|row| row.windows.get(&window)) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }
}

/// The key of a run without its incarnation.
fn host(run: &str) -> &str {
    run.rsplit_once('/').map_or(run, |(host, _)| host)
}
