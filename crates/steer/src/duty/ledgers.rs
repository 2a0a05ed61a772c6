//! Usage totals of gate incarnations, and what is known of their rows in the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::id::Window;
use agate_usage::row::{Row, Shard, Source};
use agate_usage::window::{Head, Schedule};
use agate_usage::{Bucket, Counters, Ledger};
use agate_wire::table::{Conflict, Transaction};
use tokio::time::Instant;

use crate::context::Context;
use crate::duty::store::Found;
use crate::duty::usage::schedule;

/// Time without a message after which a mirrored gate incarnation counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(30);
/// Time after its last message at which a gate incarnation may be evicted, once all is written.
const LOST_RETENTION: Duration = Duration::from_secs(3600);
/// Number of closed windows whose totals are kept in memory.
const KEPT_WINDOWS: u64 = 8;
/// Rate at which rows of windows that have not ended may be written, in bytes per second and gate
/// incarnation.
const PACE_BYTES: f64 = 512.0;

/// Window and account shard, which identify a row within one gate incarnation.
pub(super) type RowId = (Window, Shard);

/// A row as it was last read or written; empty and without a revision if it does not exist.
#[derive(Clone, Debug, Default)]
pub(super) struct Stored {
    pub(super) row: Row,
    pub(super) revision: Option<u64>,
    /// When this process last wrote it; `None` if it was only read.
    pub(super) written_at: Option<Instant>,
}

/// Usage of one gate incarnation.
#[derive(Clone, Debug)]
struct Entry {
    ledger: Ledger,
    stored: BTreeMap<RowId, Stored>,
    /// Totals that the mirror peer has not acknowledged.
    unmirrored: Row,
    /// When the gate, or the peer that mirrors it here, was last heard.
    heard_at: Instant,
    /// Whether the gate calls this host; otherwise its totals are mirrored here.
    is_local: bool,
    /// Earliest time to write a row of a window that has not ended; `None` for no limit.
    paced_until: Option<Instant>,
}

/// Rows that a write may choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Rows of windows that have ended, and the others at the rate `PACE_BYTES`.
    Paced {
        /// Current window by the wall clock; windows before it have ended.
        open: Window,
    },
    /// All rows, without a limit on the rate.
    All,
}

/// Sender of usage totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The gate itself.
    Gate,
    /// The control process that the gate calls, which mirrors them to this one.
    Mirror,
}

/// Usage of the gates of this host and of mirrored ones, by gate incarnation.
#[derive(Debug, Default)]
pub struct Ledgers {
    entries: RefCell<BTreeMap<Source, Entry>>,
    /// Window head as last read; `None` if it has to be read.
    pub(super) head: RefCell<Option<Found<Head>>>,
}

/// A row whose totals exceed what the store is known to hold.
pub(super) struct Due {
    pub(super) row_id: RowId,
    pub(super) row: Row,
    /// The row as last read or written; `None` if it has to be read.
    pub(super) stored: Option<Stored>,
}

impl Ledgers {
    /// Merges the totals of a gate incarnation. Totals from the gate itself stay unmirrored until
    /// the mirror peer has acknowledged them.
    pub fn merge(&self, source: Source, totals: &Row, received_at: Instant, origin: Origin) {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(source).or_insert_with(|| Entry {
            ledger: Ledger::default(),
            stored: BTreeMap::new(),
            unmirrored: Row::default(),
            heard_at: received_at,
            is_local: false,
            paced_until: None,
        });
        entry.ledger.merge(totals);
        entry.heard_at = entry.heard_at.max(received_at);
        if origin == Origin::Gate {
            entry.is_local = true;
            entry.unmirrored.merge(totals);
        }
    }

    /// Returns the totals of the gates that call this host which the mirror peer has not
    /// acknowledged. A gate without such totals has an empty row.
    pub fn unmirrored(&self) -> BTreeMap<Source, Row> {
        let entries = self.entries.borrow();
        let local = entries.iter().filter(|(_, entry)| entry.is_local);
        local
            .map(|(source, entry)| (source.clone(), entry.unmirrored.clone()))
            .collect()
    }

    /// Records that the mirror peer has acknowledged these totals. Totals that have grown in the
    /// meantime stay unmirrored.
    pub fn acknowledge(&self, acknowledged: &BTreeMap<Source, Row>) {
        let mut entries = self.entries.borrow_mut();
        for (source, mirrored) in acknowledged {
            if let Some(entry) = entries.get_mut(source) {
                let is_changed =
                    |bucket: &Bucket, counters: Counters| mirrored.get(bucket) != counters;
                entry
                    .unmirrored
                    .counters
                    .retain(|bucket, counters| is_changed(bucket, *counters));
            }
        }
    }

    /// Marks all totals as unmirrored, for a mirror peer that has none yet.
    pub fn mark_unmirrored(&self) {
        let mut entries = self.entries.borrow_mut();
        for entry in entries.values_mut().filter(|entry| entry.is_local) {
            entry.unmirrored = entry.ledger.totals().clone();
        }
    }

    /// Discards the window head, so that it is read again.
    pub fn invalidate_head(&self) {
        *self.head.borrow_mut() = None;
    }

    /// Returns the gate incarnations whose rows this host writes now: those that call it, and lost
    /// ones, whose host is gone by the platform's list or which were not heard for [`LOST_AFTER`].
    pub(super) fn due(&self, context: &Context) -> Vec<Source> {
        let entries = self.entries.borrow();
        let is_due = |(source, entry): &(&Source, &Entry)| {
            let is_lost = context.members.is_terminated(&source.host)
                || entry.heard_at.elapsed() >= LOST_AFTER;
            entry.is_local || is_lost
        };
        entries
            .iter()
            .filter(is_due)
            .map(|(source, _)| source.clone())
            .collect()
    }

    /// Returns the closed windows whose rows must be read and passed to [`Ledgers::settle`]; see
    /// [`Ledger::unread`].
    pub(super) fn unread(&self, source: &Source, head: Head, schedule: &Schedule) -> Vec<Window> {
        let entries = self.entries.borrow();
        let entry = entries.get(source);
        entry.map_or_else(Vec::new, |entry| entry.ledger.unread(head, schedule))
    }

    /// Records the stored row of a closed window, with all shards merged.
    pub(super) fn settle(&self, source: &Source, window: Window, row: Row) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(source) {
            entry.ledger.settle(window, row);
        }
    }

    /// Returns the row that was written least recently, among those that `scope` allows and that
    /// are not known to be in the store.
    pub(super) fn next(
        &self,
        source: &Source,
        head: Head,
        schedule: &Schedule,
        scope: Scope,
    ) -> Option<Due> {
        let entries = self.entries.borrow();
        let entry = entries.get(source)?;
        let mut rows = entry.ledger.rows(head, schedule);
        rows.retain(|(window, _), _| entry.may_write(*window, scope));
        let due = rows
            .into_iter()
            .filter(|(row_id, row)| !entry.covers(*row_id, row));
        let due = due.map(|(row_id, row)| Due {
            row_id,
            row,
            stored: entry.stored.get(&row_id).cloned(),
        });
        due.min_by_key(|due| {
            (
                due.stored.as_ref().and_then(|row| row.written_at),
                due.row_id,
            )
        })
    }

    /// Delays the next row of a window that has not ended by the time that the written one takes at
    /// `PACE_BYTES`.
    pub(super) fn pace(&self, source: &Source, transaction: &Transaction) {
        let values = transaction
            .writes
            .iter()
            .filter_map(|write| write.value.as_ref());
        let bytes: usize = values.map(String::len).sum();
        let pause = Duration::from_secs_f64(bytes as f64 / PACE_BYTES);
        if let Some(entry) = self.entries.borrow_mut().get_mut(source) {
            entry.paced_until = Some(Instant::now() + pause);
        }
    }

    /// Records a row as read or written.
    pub(super) fn store(&self, source: &Source, row_id: RowId, stored: Stored) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(source) {
            entry.stored.insert(row_id, stored);
        }
    }

    /// Discards what is known of a row and of the window head, so that both are read again.
    pub(super) fn invalidate(&self, source: &Source, row_id: RowId) {
        self.invalidate_head();
        if let Some(entry) = self.entries.borrow_mut().get_mut(source) {
            entry.stored.remove(&row_id);
        }
    }

    /// Logs a conflict and discards what it shows to be out of date.
    pub(super) fn conflict(&self, source: &Source, row_id: RowId, conflict: &Conflict) {
        tracing::debug!(event = "usage_raced", table = conflict.check.table);
        self.invalidate(source, row_id);
    }

    /// Evicts windows more than `KEPT_WINDOWS` before the last closed one, and gate incarnations
    /// not heard for `LOST_RETENTION`, but of each gate incarnation only once all its rows are
    /// written.
    pub(super) fn evict(&self, context: &Context) {
        let Some(head) = self.head.borrow().as_ref().map(|found| found.value) else {
            return;
        };
        let schedule = schedule(context);
        let before = head
            .closed
            .saturating_sub(KEPT_WINDOWS * schedule.length.as_secs());
        self.entries.borrow_mut().retain(|_, entry| {
            let is_written = entry.is_written(head, &schedule);
            if is_written {
                entry.ledger.forget(before);
                entry
                    .unmirrored
                    .counters
                    .retain(|bucket, _| bucket.origin >= before);
                entry.stored.retain(|(window, _), _| *window >= before);
            }
            !is_written || entry.heard_at.elapsed() < LOST_RETENTION
        });
        context.inbox.forget(before);
    }
}

impl Entry {
    /// Returns whether `scope` and the pace allow to write a row of this window now.
    fn may_write(&self, window: Window, scope: Scope) -> bool {
        let is_paced = self.paced_until.is_some_and(|at| Instant::now() < at);
        match scope {
            Scope::All => true,
            Scope::Paced { open } => window < open || !is_paced,
        }
    }

    /// Returns whether the store is known to hold at least the totals of `row`.
    fn covers(&self, row_id: RowId, row: &Row) -> bool {
        let Some(stored) = self.stored.get(&row_id) else {
            return false;
        };
        row.counters.iter().all(|(bucket, counters)| {
            stored.row.get(bucket).max(*counters) == stored.row.get(bucket)
        })
    }

    /// Returns whether the store is known to hold all totals.
    fn is_written(&self, head: Head, schedule: &Schedule) -> bool {
        let rows = self.ledger.rows(head, schedule);
        self.ledger.unread(head, schedule).is_empty()
            && rows.iter().all(|(row_id, row)| self.covers(*row_id, row))
    }
}
