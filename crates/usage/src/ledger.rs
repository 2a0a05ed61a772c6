//! Totals that one incarnation of a gate has counted, and the rows that they are written to.

use std::collections::{BTreeMap, BTreeSet};

use agate_model::id::Window;

use crate::counters::Counters;
use crate::row::{Bucket, Row, Shard, shard};
use crate::window::{Head, Schedule};

/// Totals of one incarnation of a gate, and its rows of closed windows, which hold a part of them.
///
/// Every process that knows the same totals and the same closed windows computes the same rows, so
/// a peer can write them in place of a lost host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Totals since the gate started, of origins that have not been forgotten.
    totals: Row,
    /// Rows of closed windows as read from the store, all shards of a window merged.
    settled: BTreeMap<Window, Row>,
}

impl Ledger {
    /// Merges a total of one account that was counted in the window `bucket.origin`.
    pub fn observe(&mut self, bucket: Bucket, total: Counters) {
        self.totals.observe(bucket, total);
    }

    /// Merges all totals of another copy of the ledger.
    pub fn merge(&mut self, totals: &Row) {
        self.totals.merge(totals);
    }

    /// Returns the totals by account and origin.
    pub fn totals(&self) -> &Row {
        &self.totals
    }

    /// Returns the closed windows whose rows must be read from the store and passed to
    /// [`Ledger::settle`] before [`Ledger::rows`] is called.
    pub fn unread(&self, head: Head, schedule: &Schedule) -> Vec<Window> {
        let origins: BTreeSet<Window> = self
            .totals
            .counters
            .keys()
            .map(|bucket| bucket.origin)
            .collect();
        let mut unread = Vec::new();
        let Some(mut window) = origins.first().copied() else {
            return unread;
        };
        while window <= head.closed {
            if !self.settled.contains_key(&window) {
                unread.push(window);
            }
            window = schedule.next(window);
        }
        unread
    }

    /// Records the row of this incarnation in a closed window, with all shards merged.
    pub fn settle(&mut self, window: Window, row: Row) {
        self.settled.insert(window, row);
    }

    /// Returns the rows of open windows by window and shard. They hold the usage that no settled
    /// row holds.
    pub fn rows(&self, head: Head, schedule: &Schedule) -> BTreeMap<(Window, Shard), Row> {
        let mut rows: BTreeMap<(Window, Shard), Row> = BTreeMap::new();
        for (bucket, total) in &self.totals.counters {
            let remaining = total.saturating_sub(self.settled_total(bucket));
            if remaining.is_zero() {
                continue;
            }
            let target = schedule.target(bucket.origin, head);
            let row = rows.entry((target, shard(&bucket.account))).or_default();
            row.observe(bucket.clone(), remaining);
        }
        rows
    }

    /// Drops totals and settled rows of windows before `window`. If such a total is observed again,
    /// its settled rows must be read from the store again.
    pub fn forget(&mut self, window: Window) {
        self.totals
            .counters
            .retain(|bucket, _| bucket.origin >= window);
        self.settled.retain(|settled, _| *settled >= window);
    }

    /// Returns the sum of a bucket's counters in the settled rows from its origin on.
    fn settled_total(&self, bucket: &Bucket) -> Counters {
        self.settled
            .range(bucket.origin..)
            .map(|(_, row)| row.get(bucket))
            .fold(Counters::default(), Counters::saturating_add)
    }
}
