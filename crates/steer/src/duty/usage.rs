//! Rows of usage: those of this host's gates, and those of lost hosts.

use std::time::{Duration, SystemTime};

use agate_model::id::Window;
use agate_store::Error;
use agate_usage::row::{self, Row, SHARDS, Source};
use agate_usage::window::{HEAD, Head, Schedule};
use agate_usage::{Bucket, window};
use agate_wire::table::Transaction;
use agate_wire::usage;
use tokio::time::{Instant, sleep, timeout};

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::books::{Due, Origin, Scope, Stored};
use crate::duty::metrics::count;
use crate::duty::store::{self, Found};
use crate::inbox::Gate;

/// Attempts to write one row against other writers.
const ATTEMPTS: usize = 4;
/// Windows before and after the open one for which totals are accepted.
const WINDOWS: u64 = 48;
/// Longest time for writing the remaining rows at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

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
    let open = schedule(context).window(now);
    for source in context.duty.books.due(context) {
        let outcome = write(context, &source, Scope::Paced { open }).await;
        report(context, outcome.map(|_| ()));
    }
    context.duty.books.forget(context);
}

/// Writes all remaining rows.
pub async fn flush(context: &Context, now: SystemTime) {
    absorb(context, now);
    let all = async {
        for source in context.duty.books.due(context) {
            while let Ok(true) = write(context, &source, Scope::All).await {}
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
    for (gate, call) in context.inbox.calls() {
        books.take(source(gate), &Row::default(), call.at, Origin::Gate);
    }
    for (counter, figures) in context.inbox.take_changed() {
        if !is_plausible(context, counter.window, now) {
            count(&context.duty.metrics.usage_refused, "window");
            continue;
        }
        let part = Bucket {
            account: counter.account,
            origin: counter.window,
        };
        let mut totals = Row::default();
        totals.observe(part, figures.into());
        let source = source(counter.gate);
        books.take(source, &totals, Instant::now(), Origin::Gate);
    }
}

fn source(gate: Gate) -> Source {
    Source {
        host: gate.host,
        incarnation: gate.incarnation,
    }
}

/// Whether gates may count in this window.
pub fn is_plausible(context: &Context, origin: Window, now: SystemTime) -> bool {
    let schedule = schedule(context);
    let open = schedule.window(now);
    let length = schedule.length.as_secs();
    origin.is_multiple_of(length) && origin.abs_diff(open) <= WINDOWS * length
}

fn report(context: &Context, outcome: Result<(), Error>) {
    if let Err(err) = outcome {
        count(&context.duty.metrics.usage_writes, "failed");
        tracing::debug!(event = "usage_not_written", error = %err);
    }
}

/// Writes the row of a run that has waited longest; whether there was one.
async fn write(context: &Context, source: &Source, scope: Scope) -> Result<bool, Error> {
    for _ in 0..ATTEMPTS {
        let Some(head) = read_head(context).await? else {
            return Ok(false);
        };
        settle(context, source, head.value).await?;
        let schedule = schedule(context);
        let books = &context.duty.books;
        let due = books.next(source, head.value, &schedule, scope);
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
            books.pace(source, &transaction);
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
