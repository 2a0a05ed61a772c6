//! Rows of usage: those of this host's gates, and those of lost hosts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use agate_model::id::Window;
use agate_platform::Error;
use agate_usage::row::{self, Row, SHARDS, Shard, Source};
use agate_usage::window::{HEAD, Head, Schedule};
use agate_usage::{Ledger, Part, window};
use agate_wire::table::{Conflict, Transaction};
use agate_wire::usage;
use tokio::time::{Instant, sleep, timeout};

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::metrics::count;
use crate::duty::store::{self, Found};

/// Silence after which a mirrored run counts as lost.
pub const SILENCE: Duration = Duration::from_secs(30);
/// Time for which a lost run is remembered after all is written.
const LOST_MEMORY: Duration = Duration::from_secs(3600);
/// Attempts to write one row against other writers.
const ATTEMPTS: usize = 4;
/// Closed windows whose totals are kept in memory.
const KEPT_WINDOWS: u64 = 8;
/// Windows before the open one for which totals are accepted.
const PAST_WINDOWS: u64 = 48;
/// Longest time for writing the remaining rows at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Position of a row within one run.
type Place = (Window, Shard);

/// A row as it was last read or written.
#[derive(Clone, Debug, Default)]
struct Stored {
    row: Row,
    revision: Option<u64>,
    at: Option<Instant>,
}

/// Usage of one run of a gate.
#[derive(Clone, Debug)]
struct Book {
    ledger: Ledger,
    stored: BTreeMap<Place, Stored>,
    heard: Instant,
    is_own: bool,
}

/// Usage of the gates of this host and of mirrored ones.
#[derive(Debug, Default)]
pub struct Books {
    books: RefCell<BTreeMap<Source, Book>>,
    head: RefCell<Option<Found<Head>>>,
}

/// A row that has to be written.
struct Due {
    place: Place,
    row: Row,
    stored: Option<Stored>,
}

/// What became of a write.
enum Written {
    Done,
    Again,
}

/// Writes rows until the task is aborted.
pub async fn run(context: Context) {
    loop {
        sleep(jittered(context.settings.intervals.usage)).await;
        step(&context, SystemTime::now()).await;
    }
}

/// Takes up what gates have sent, and writes one row of each run that is due.
pub async fn step(context: &Context, now: SystemTime) {
    absorb(context, now);
    for source in context.duty.books.due(context) {
        report(context, write(context, &source).await.map(|_| ()));
    }
    context.duty.books.forget(context);
}

/// Writes all remaining rows.
pub async fn flush(context: &Context, now: SystemTime) {
    absorb(context, now);
    let all = async {
        for source in context.duty.books.due(context) {
            while let Ok(true) = write(context, &source).await {}
        }
    };
    if timeout(FLUSH_TIMEOUT, all).await.is_err() {
        tracing::warn!(event = "usage_not_flushed");
    }
}

/// Reporting windows, by the settings.
pub fn schedule(context: &Context) -> Schedule {
    Schedule {
        length: context.settings.window,
        grace: context.settings.window_grace,
    }
}

/// Takes up the totals of the gates that call this host.
pub fn absorb(context: &Context, now: SystemTime) {
    let books = &context.duty.books;
    let calls = context.inbox.calls();
    for (counter, figures) in context.inbox.totals() {
        if !is_plausible(context, counter.window, now) {
            count(&context.duty.metrics.usage_refused, "window");
            continue;
        }
        let at = calls
            .get(&counter.gate)
            .map_or_else(Instant::now, |it| it.at);
        let source = Source {
            host: counter.gate.host,
            incarnation: counter.gate.incarnation,
        };
        let part = Part {
            account: counter.account,
            origin: counter.window,
        };
        let mut totals = Row::default();
        totals.observe(part, figures.into());
        books.take(source, &totals, at, true);
    }
}

/// Whether gates may count in this window.
pub fn is_plausible(context: &Context, origin: Window, now: SystemTime) -> bool {
    let schedule = schedule(context);
    let open = schedule.window(now);
    let length = schedule.length.as_secs();
    origin.is_multiple_of(length)
        && origin <= schedule.next(open)
        && origin + PAST_WINDOWS * length >= open
}

fn report(context: &Context, outcome: Result<(), Error>) {
    if let Err(err) = outcome {
        count(&context.duty.metrics.usage_writes, "failed");
        tracing::debug!(event = "usage_not_written", error = %err);
    }
}

/// Writes the row of a run that has waited longest; whether there was one.
async fn write(context: &Context, source: &Source) -> Result<bool, Error> {
    for _ in 0..ATTEMPTS {
        let Some(head) = read_head(context).await? else {
            return Ok(false);
        };
        settle(context, source, head.value).await?;
        let due = context
            .duty
            .books
            .next(source, head.value, &schedule(context));
        let Some(due) = due else {
            return Ok(false);
        };
        if let Written::Done = write_row(context, source, &head, due).await? {
            return Ok(true);
        }
    }
    Err(Error::Unreached("usage rows keep changing".to_owned()))
}

/// The head, from memory if it was read before.
async fn read_head(context: &Context) -> Result<Option<Found<Head>>, Error> {
    if let Some(head) = context.duty.books.head.borrow().clone() {
        return Ok(Some(head));
    }
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Head>> = store::read(tables, window::TABLE, HEAD).await?;
    let head = found.map(|it| Found {
        key: it.key,
        value: Head::from(it.value),
        revision: it.revision,
    });
    context.duty.books.head.borrow_mut().clone_from(&head);
    Ok(head)
}

/// Reads what the closed rows of a run show.
async fn settle(context: &Context, source: &Source, head: Head) -> Result<(), Error> {
    let books = &context.duty.books;
    for window in books.unread(source, head, &schedule(context)) {
        let mut whole = Row::default();
        for shard in 0..SHARDS {
            let key = row::key(window, source, shard);
            let tables = &*context.platform.tables;
            let found: Option<Found<usage::Row>> = store::read(tables, row::TABLE, &key).await?;
            if let Some(found) = found {
                whole.merge(&Row::from(found.value));
            }
        }
        books.settle(source, window, whole);
    }
    Ok(())
}

async fn write_row(
    context: &Context,
    source: &Source,
    head: &Found<Head>,
    due: Due,
) -> Result<Written, Error> {
    let books = &context.duty.books;
    let (window, shard) = due.place;
    let key = row::key(window, source, shard);
    let stored = match due.stored {
        Some(stored) => stored,
        None => read_row(context, &key).await?,
    };
    let mut merged = stored.row.clone();
    merged.merge(&due.row);
    if merged == stored.row {
        books.store(source, due.place, stored);
        return Ok(Written::Done);
    }
    let transaction = Transaction {
        checks: vec![
            store::check(window::TABLE, HEAD, Some(head.revision)),
            store::check(row::TABLE, &key, stored.revision),
        ],
        writes: vec![store::put(row::TABLE, &key, &usage::Row::from(&merged))],
    };
    match context.platform.tables.commit(&transaction).await {
        Ok(commit) => {
            count(&context.duty.metrics.usage_writes, "done");
            let stored = Stored {
                row: merged,
                revision: Some(commit.revision),
                at: Some(Instant::now()),
            };
            books.store(source, due.place, stored);
            Ok(Written::Done)
        }
        Err(Error::Conflict(conflict)) => {
            books.conflict(source, due.place, &conflict);
            Ok(Written::Again)
        }
        Err(err) => {
            books.distrust(source, due.place);
            Err(err)
        }
    }
}

async fn read_row(context: &Context, key: &str) -> Result<Stored, Error> {
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Row>> = store::read(tables, row::TABLE, key).await?;
    Ok(found.map_or_else(Stored::default, |it| Stored {
        row: Row::from(it.value),
        revision: Some(it.revision),
        at: None,
    }))
}

impl Books {
    /// Takes up totals of a run, heard at `at` from its gate (`is_own`) or its host.
    pub fn take(&self, source: Source, totals: &Row, at: Instant, is_own: bool) {
        let mut books = self.books.borrow_mut();
        let book = books.entry(source).or_insert_with(|| Book {
            ledger: Ledger::default(),
            stored: BTreeMap::new(),
            heard: at,
            is_own,
        });
        book.ledger.merge(totals);
        book.heard = book.heard.max(at);
        book.is_own |= is_own;
    }

    /// Totals of the gates that call this host.
    pub fn own(&self) -> BTreeMap<Source, Row> {
        let books = self.books.borrow();
        let own = books.iter().filter(|(_, book)| book.is_own);
        own.map(|(source, book)| (source.clone(), book.ledger.totals().clone()))
            .collect()
    }

    /// The store's head as it was last read is out of date.
    pub fn forget_head(&self) {
        *self.head.borrow_mut() = None;
    }

    /// Runs whose rows this host writes now.
    fn due(&self, context: &Context) -> Vec<Source> {
        let books = self.books.borrow();
        let is_due = |(source, book): &(&Source, &Book)| {
            let is_lost = context.members.is_gone(&source.host) || book.heard.elapsed() >= SILENCE;
            book.is_own || is_lost
        };
        books
            .iter()
            .filter(is_due)
            .map(|(source, _)| source.clone())
            .collect()
    }

    fn unread(&self, source: &Source, head: Head, schedule: &Schedule) -> Vec<Window> {
        let books = self.books.borrow();
        let book = books.get(source);
        book.map_or_else(Vec::new, |it| it.ledger.unread(head, schedule))
    }

    fn settle(&self, source: &Source, window: Window, row: Row) {
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.ledger.settle(window, row);
        }
    }

    /// The row that differs from the store and was not written for the longest time.
    fn next(&self, source: &Source, head: Head, schedule: &Schedule) -> Option<Due> {
        let books = self.books.borrow();
        let book = books.get(source)?;
        let rows = book.ledger.rows(head, schedule);
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

    fn store(&self, source: &Source, place: Place, stored: Stored) {
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.stored.insert(place, stored);
        }
    }

    fn distrust(&self, source: &Source, place: Place) {
        self.forget_head();
        if let Some(book) = self.books.borrow_mut().get_mut(source) {
            book.stored.remove(&place);
        }
    }

    fn conflict(&self, source: &Source, place: Place, conflict: &Conflict) {
        tracing::debug!(event = "usage_raced", table = conflict.check.table);
        self.distrust(source, place);
    }

    /// Forgets windows long closed and runs long lost, once all is written.
    fn forget(&self, context: &Context) {
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
                book.stored.retain(|(window, _), _| *window >= before);
            }
            !is_written || book.heard.elapsed() < LOST_MEMORY
        });
        context.inbox.forget(before);
    }
}

impl Book {
    /// Whether the store is known to show at least `row`.
    fn shows(&self, place: Place, row: &Row) -> bool {
        let Some(stored) = self.stored.get(&place) else {
            return false;
        };
        row.parts
            .iter()
            .all(|(part, figures)| stored.row.get(part).max(*figures) == stored.row.get(part))
    }

    fn is_written(&self, head: Head, schedule: &Schedule) -> bool {
        let rows = self.ledger.rows(head, schedule);
        self.ledger.unread(head, schedule).is_empty()
            && rows.iter().all(|(place, row)| self.shows(*place, row))
    }
}
