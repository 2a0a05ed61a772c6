//! What one run of a gate has counted, and which row takes it.

use std::collections::{BTreeMap, BTreeSet};

use agate_model::id::Window;

use crate::figures::Figures;
use crate::row::{Part, Row, Shard, shard};
use crate::window::{Head, Schedule};

/// Totals of one run of a gate, and the rows of closed windows that show parts of them.
///
/// Every process that knows the same totals and the same closed windows computes
/// the same rows, so a peer can write them in place of a lost host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    totals: Row,
    /// Rows of closed windows, as read from the store.
    settled: BTreeMap<Window, Row>,
}

impl Ledger {
    /// Takes note of a total counted in the window `part.origin`.
    pub fn observe(&mut self, part: Part, total: Figures) {
        self.totals.observe(part, total);
    }

    /// Takes note of all totals of another copy.
    pub fn merge(&mut self, totals: &Row) {
        self.totals.merge(totals);
    }

    /// The totals.
    pub fn totals(&self) -> &Row {
        &self.totals
    }

    /// Closed windows whose rows have to be read and given to [`Ledger::settle`]
    /// before [`Ledger::rows`] is asked.
    pub fn unread(&self, head: Head, schedule: &Schedule) -> Vec<Window> {
        let origins: BTreeSet<Window> = self.totals.parts.keys().map(|it| it.origin).collect();
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

    /// The rows of this run in a closed window, all divisions together.
    pub fn settle(&mut self, window: Window, row: Row) {
        self.settled.insert(window, row);
    }

    /// Rows of open windows, by window and division.
    pub fn rows(&self, head: Head, schedule: &Schedule) -> BTreeMap<(Window, Shard), Row> {
        let mut rows: BTreeMap<(Window, Shard), Row> = BTreeMap::new();
        for (part, total) in &self.totals.parts {
            let left = total.minus(self.reported(part));
            if left.is_zero() {
                continue;
            }
            let target = schedule.target(part.origin, head);
            let row = rows.entry((target, shard(&part.account))).or_default();
            row.observe(part.clone(), left);
        }
        rows
    }

    /// Forgets windows before `window`. A total that comes up again is settled
    /// anew from the store.
    pub fn forget(&mut self, window: Window) {
        self.totals.parts.retain(|part, _| part.origin >= window);
        self.settled.retain(|it, _| *it >= window);
    }

    fn reported(&self, part: &Part) -> Figures {
        self.settled
            .range(part.origin..)
            .map(|(_, row)| row.get(part))
            .fold(Figures::default(), Figures::plus)
    }
}
