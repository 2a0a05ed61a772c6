//! Totals of runs of gates, and what is known of their rows in the store.

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

/// Silence after which a mirrored run counts as lost.
pub const SILENCE: Duration = Duration::from_secs(30);
/// Time for which a lost run is remembered after all is written.
const LOST_MEMORY: Duration = Duration::from_secs(3600);
/// Closed windows whose totals are kept in memory.
const KEPT_WINDOWS: u64 = 8;
/// Bytes per second and run that rows of windows which have not ended may take.
const PACE: f64 = 512.0;

/// Position of a row within one run.
pub(super) type Place = (Window, Shard);

/// A row as it was last read or written.
#[derive(Clone, Debug, Default)]
pub(super) struct Stored {
    pub(super) row: Row,
    pub(super) revision: Option<u64>,
    pub(super) at: Option<Instant>,
}

/// Usage of one run of a gate.
#[derive(Clone, Debug)]
struct Book {
    ledger: Ledger,
    stored: BTreeMap<Place, Stored>,
    /// Totals that the mirror peer does not have.
    uncopied: Row,
    heard: Instant,
    is_own: bool,
    /// When the next row of a window that has not ended may be written.
    paced_until: Option<Instant>,
}

/// Which rows are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Those of windows that have ended, and the others at a limited pace.
    Paced {
        /// Window that has not ended.
        open: Window,
    },
    /// All.
    All,
}

/// Where totals come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The gate itself.
    Gate,
    /// The control process that the gate calls.
    Mirror,
}

/// Usage of the gates of this host and of mirrored ones.
#[derive(Debug, Default)]
pub struct Books {
    books: RefCell<BTreeMap<Source, Book>>,
    pub(super) head: RefCell<Option<Found<Head>>>,
}

/// A row that has to be written.
pub(super) struct Due {
    pub(super) place: Place,
    pub(super) row: Row,
    pub(super) stored: Option<Stored>,
}

impl Books {
    /// Takes up totals of a run, heard at `at`.
    pub fn take(&self, source: Source, totals: &Row, at: Instant, origin: Origin) {
        let mut books = self.books.borrow_mut();
        let book = books.entry(source).or_insert_with(|| Book {
            ledger: Ledger::default(),
            stored: BTreeMap::new(),
            uncopied: Row::default(),
            heard: at,
            is_own: false,
            paced_until: None,
        });
        book.ledger.merge(totals);
        book.heard = book.heard.max(at);
        if origin == Origin::Gate {
            book.is_own = true;
            book.uncopied.merge(totals);
        }
    }

    /// Totals of the gates that call this host which its mirror peer does not have.
    pub fn uncopied(&self) -> BTreeMap<Source, Row> {
        let books = self.books.borrow();
        let own = books.iter().filter(|(_, book)| book.is_own);
        own.map(|(source, book)| (source.clone(), book.uncopied.clone()))
            .collect()
    }

    /// The mirror peer has taken these totals up.
    pub fn copied(&self, copies: &BTreeMap<Source, Row>) {
        let mut books = self.books.borrow_mut();
        for (source, copy) in copies {
            if let Some(book) = books.get_mut(source) {
                let is_newer = |part: &Bucket, figures: Counters| copy.get(part) != figures;
                book.uncopied
                    .counters
                    .retain(|part, it| is_newer(part, *it));
            }
        }
    }

    /// Another mirror peer has nothing yet.
    pub fn copy_all(&self) {
        let mut books = self.books.borrow_mut();
        for book in books.values_mut().filter(|it| it.is_own) {
            book.uncopied = book.ledger.totals().clone();
        }
    }

    /// The store's head as it was last read is out of date.
    pub fn forget_head(&self) {
        *self.head.borrow_mut() = None;
    }

    /// Runs whose rows this host writes now.
    pub(super) fn due(&self, context: &Context) -> Vec<Source> {
        let books = self.books.borrow();
        let is_due = |(source, book): &(&Source, &Book)| {
            let is_lost =
                context.members.is_terminated(&source.host) || book.heard.elapsed() >= SILENCE;
            book.is_own || is_lost
        };
        books
            .iter()
            .filter(is_due)
            .map(|(source, _)| source.clone())
            .collect()
    }

    pub(super) fn unread(&self, source: &Source, head: Head, schedule: &Schedule) -> Vec<Window> {
        let books = self.books.borrow();
        let book = books.get(source);
        book.map_or_else(Vec::new, |it| it.ledger.unread(head, schedule))
    }

    pub(super) fn settle(&self, source: &Source, window: Window, row: Row) {
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.ledger.settle(window, row);
        }
    }

    /// The row that differs from the store and was not written for the longest time.
    pub(super) fn next(
        &self,
        source: &Source,
        head: Head,
        schedule: &Schedule,
        scope: Scope,
    ) -> Option<Due> {
        let books = self.books.borrow();
        let book = books.get(source)?;
        let mut rows = book.ledger.rows(head, schedule);
        rows.retain(|(window, _), _| book.may_write(*window, scope));
        let due = rows
            .into_iter()
            .filter(|(place, row)| !book.shows(*place, row));
        let due = due.map(|(place, row)| Due {
            place,
            row,
            stored: book.stored.get(&place).cloned(),
        });
        due.min_by_key(|it| (it.stored.as_ref().and_then(|it| it.at), it.place))
    }

    /// Delays the next row by the size of this one.
    pub(super) fn pace(&self, source: &Source, transaction: &Transaction) {
        let values = transaction.writes.iter().filter_map(|it| it.value.as_ref());
        let bytes: usize = values.map(String::len).sum();
        let pause = Duration::from_secs_f64(bytes as f64 / PACE);
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.paced_until = Some(Instant::now() + pause);
        }
    }

    pub(super) fn store(&self, source: &Source, place: Place, stored: Stored) {
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.stored.insert(place, stored);
        }
    }

    pub(super) fn distrust(&self, source: &Source, place: Place) {
        self.forget_head();
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.stored.remove(&place);
        }
    }

    pub(super) fn conflict(&self, source: &Source, place: Place, conflict: &Conflict) {
        tracing::debug!(event = "usage_raced", table = conflict.check.table);
        self.distrust(source, place);
    }

    /// Forgets windows long closed and runs long lost, once all is written.
    pub(super) fn forget(&self, context: &Context) {
        let Some(head) = self.head.borrow().as_ref().map(|it| it.value) else {
            return;
        };
        let schedule = schedule(context);
        let before = head
            .closed
            .saturating_sub(KEPT_WINDOWS * schedule.length.as_secs());
        self.books.borrow_mut().retain(|_, book| {
            let is_written = book.is_written(head, &schedule);
            if is_written {
                book.ledger.forget(before);
                book.uncopied
                    .counters
                    .retain(|part, _| part.origin >= before);
                book.stored.retain(|(window, _), _| *window >= before);
            }
            !is_written || book.heard.elapsed() < LOST_MEMORY
        });
        context.inbox.forget(before);
    }
}

impl Book {
    fn may_write(&self, window: Window, scope: Scope) -> bool {
        let is_paced = self.paced_until.is_some_and(|at| Instant::now() < at);
        match scope {
            Scope::All => true,
            Scope::Paced { open } => window < open || !is_paced,
        }
    }

    /// Whether the store is known to show at least `row`.
    fn shows(&self, place: Place, row: &Row) -> bool {
        let Some(stored) = self.stored.get(&place) else {
            return false;
        };
        row.counters
            .iter()
            .all(|(part, figures)| stored.row.get(part).max(*figures) == stored.row.get(part))
    }

    fn is_written(&self, head: Head, schedule: &Schedule) -> bool {
        let rows = self.ledger.rows(head, schedule);
        self.ledger.unread(head, schedule).is_empty()
            && rows.iter().all(|(place, row)| self.shows(*place, row))
    }
}
