//! Writes the usage rows of the gates of this host, and of lost hosts mirrored here.

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
use crate::duty::ledgers::{Due, Origin, Scope, Stored};
use crate::duty::metrics::count;
use crate::duty::store::{self, Found};
use crate::inbox::Gate;

/// Attempts to write one row; other writers cause conflicts in between.
const ATTEMPTS: usize = 4;
/// Number of windows before and after the open one for which totals are accepted.
const ACCEPTED_WINDOWS: u64 = 48;
/// Timeout for writing the remaining rows at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of one attempt to write a row.
enum Outcome {
    Done,
    Conflict,
}

/// Takes a step per interval until the task is aborted.
pub async fn run(context: Context) {
    loop {
        sleep(jittered(context.settings.intervals.usage)).await;
        step(&context, SystemTime::now()).await;
    }
}

/// Collects the totals that gates have sent, and writes one row of each gate incarnation that is
/// due.
pub async fn step(context: &Context, now: SystemTime) {
    collect(context, now);
    let open = schedule(context).window(now);
    for source in context.duty.ledgers.due(context) {
        let outcome = write(context, &source, Scope::Paced { open }).await;
        log_failure(context, outcome.map(|_| ()));
    }
    context.duty.ledgers.evict(context);
}

/// Writes all remaining rows, until `FLUSH_TIMEOUT` is over.
pub async fn flush(context: &Context, now: SystemTime) {
    collect(context, now);
    let writes = async {
        for source in context.duty.ledgers.due(context) {
            while let Ok(true) = write(context, &source, Scope::All).await {}
        }
    };
    if timeout(FLUSH_TIMEOUT, writes).await.is_err() {
        tracing::warn!(event = "usage_not_flushed");
    }
}

/// Returns the schedule of reporting windows from the settings.
pub fn schedule(context: &Context) -> Schedule {
    Schedule {
        length: context.settings.window,
        grace: context.settings.window_grace,
    }
}

/// Merges the totals of the gates that call this host into the ledgers. Totals of implausible
/// windows are counted and dropped.
pub fn collect(context: &Context, now: SystemTime) {
    let ledgers = &context.duty.ledgers;
    for (gate, call) in context.inbox.calls() {
        ledgers.merge(source(gate), &Row::default(), call.at, Origin::Gate);
    }
    for (counter, total) in context.inbox.take_changed() {
        if !is_plausible(context, counter.window, now) {
            count(&context.duty.metrics.usage_refused, "window");
            continue;
        }
        let bucket = Bucket {
            account: counter.account,
            origin: counter.window,
        };
        let mut totals = Row::default();
        totals.observe(bucket, total.into());
        let source = source(counter.gate);
        ledgers.merge(source, &totals, Instant::now(), Origin::Gate);
    }
}

fn source(gate: Gate) -> Source {
    Source {
        host: gate.host,
        incarnation: gate.incarnation,
    }
}

/// Returns whether totals are accepted for this window: its start is a multiple of the window
/// length and within `ACCEPTED_WINDOWS` of the open one.
pub fn is_plausible(context: &Context, origin: Window, now: SystemTime) -> bool {
    let schedule = schedule(context);
    let open = schedule.window(now);
    let length = schedule.length.as_secs();
    origin.is_multiple_of(length) && origin.abs_diff(open) <= ACCEPTED_WINDOWS * length
}

/// Counts and logs a failed write.
fn log_failure(context: &Context, outcome: Result<(), Error>) {
    if let Err(err) = outcome {
        count(&context.duty.metrics.usage_writes, "failed");
        tracing::debug!(event = "usage_not_written", error = %err);
    }
}

/// Writes the row of a gate incarnation that was written least recently. Returns `false` if there
/// is none to write.
async fn write(context: &Context, source: &Source, scope: Scope) -> Result<bool, Error> {
    for _ in 0..ATTEMPTS {
        let Some(head) = read_head(context).await? else {
            return Ok(false);
        };
        settle(context, source, head.value).await?;
        let schedule = schedule(context);
        let ledgers = &context.duty.ledgers;
        let due = ledgers.next(source, head.value, &schedule, scope);
        let Some(due) = due else {
            return Ok(false);
        };
        if let Outcome::Done = write_row(context, source, &head, due).await? {
            return Ok(true);
        }
    }
    Err(Error::Unreached(
        "the usage row or the window head changed during every attempt to write".to_owned(),
    ))
}

/// Returns the window head, from memory if it is known; `None` if no holder has written it yet.
async fn read_head(context: &Context) -> Result<Option<Found<Head>>, Error> {
    if let Some(head) = context.duty.ledgers.head.borrow().clone() {
        return Ok(Some(head));
    }
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Head>> = store::read(tables, window::TABLE, HEAD).await?;
    let head = found.map(|found| Found {
        key: found.key,
        value: Head::from(found.value),
        revision: found.revision,
    });
    context.duty.ledgers.head.borrow_mut().clone_from(&head);
    Ok(head)
}

/// Reads the rows of a gate incarnation in those closed windows that its ledger lists as unread.
async fn settle(context: &Context, source: &Source, head: Head) -> Result<(), Error> {
    let ledgers = &context.duty.ledgers;
    for window in ledgers.unread(source, head, &schedule(context)) {
        let mut merged = Row::default();
        for shard in 0..SHARDS {
            let key = row::key(window, source, shard);
            let tables = &*context.platform.tables;
            let found: Option<Found<usage::Row>> = store::read(tables, row::TABLE, &key).await?;
            if let Some(found) = found {
                merged.merge(&Row::from(found.value));
            }
        }
        ledgers.settle(source, window, merged);
    }
    Ok(())
}

/// Merges the totals that are due into their row, in a transaction that checks the window head. The
/// row is not written if it holds them already.
async fn write_row(
    context: &Context,
    source: &Source,
    head: &Found<Head>,
    due: Due,
) -> Result<Outcome, Error> {
    let ledgers = &context.duty.ledgers;
    let (window, shard) = due.row_id;
    let key = row::key(window, source, shard);
    let stored = match due.stored {
        Some(stored) => stored,
        None => read_row(context, &key).await?,
    };
    let mut merged = stored.row.clone();
    merged.merge(&due.row);
    if merged == stored.row {
        ledgers.store(source, due.row_id, stored);
        return Ok(Outcome::Done);
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
                written_at: Some(Instant::now()),
            };
            ledgers.pace(source, &transaction);
            ledgers.store(source, due.row_id, stored);
            Ok(Outcome::Done)
        }
        Err(Error::Conflict(conflict)) => {
            ledgers.conflict(source, due.row_id, &conflict);
            Ok(Outcome::Conflict)
        }
        Err(err) => {
            ledgers.invalidate(source, due.row_id);
            Err(err)
        }
    }
}

/// Reads a usage row; empty and without a revision if it does not exist.
async fn read_row(context: &Context, key: &str) -> Result<Stored, Error> {
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Row>> = store::read(tables, row::TABLE, key).await?;
    Ok(found.map_or_else(Stored::default, |found| Stored {
        row: Row::from(found.value),
        revision: Some(found.revision),
        written_at: None,
    }))
}
