//! Closes reporting windows and freezes their usage counters.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_model::id::{Epoch, Window};
use agate_store::Error;
use agate_usage::window::{self, HEAD, Head};
use agate_usage::{Row, report as report_row, row};
use agate_wire::table::Transaction;
use agate_wire::usage::{self, State};
use tokio::time::sleep;

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::metrics::count;
use crate::duty::report;
use crate::duty::store::{self, Found};
use crate::duty::tenure::{Failure, Recorded};
use crate::duty::usage::schedule;

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of report rows written in one transaction.
const BATCH: usize = 100;

/// Takes a step per interval while this process holds the lease, until the task is aborted.
pub async fn run(context: Context) {
    loop {
        sleep(jittered(INTERVAL)).await;
        if context.duty.tenure.epoch().is_some() {
            step(&context, SystemTime::now()).await;
        }
    }
}

/// Closes the next window if it is due, and takes each window that is not fully reported one step
/// further.
pub async fn step(context: &Context, now: SystemTime) {
    if let Err(err) = try_step(context, now).await {
        tracing::warn!(event = "window_step_failed", error = %err);
    }
}

async fn try_step(context: &Context, now: SystemTime) -> Result<(), Failure> {
    close(context, now).await?;
    let mut is_reported = true;
    for found in unreported(context).await? {
        let Ok(window) = found.key.parse() else {
            continue;
        };
        is_reported &= found.value.state == State::Sent;
        if is_reported {
            context.duty.reported.set(Some(window));
        }
        match found.value.state {
            State::Closed => freeze(context, window, &found, now).await?,
            State::Frozen => report::send(context, window, &found, now).await?,
            State::Sent => {}
        }
    }
    Ok(())
}

/// Reads the rows of the windows after [`State::reported`](crate::duty::State::reported).
async fn unreported(context: &Context) -> Result<Vec<Found<usage::Window>>, Failure> {
    let after = context.duty.reported.get().map_or_else(String::new, key);
    let tables = &*context.platform.tables;
    let rows = store::scan(tables, window::TABLE, "", &after).await;
    let rows = rows.map_err(Failure::Store)?;
    let windows = rows.iter().filter(|row| row.key != HEAD);
    let windows: Result<Vec<_>, Error> = windows.map(store::parse).collect();
    windows.map_err(Failure::Store)
}

/// Commits a transaction that also checks that this process holds the lease.
pub(crate) async fn commit(
    context: &Context,
    transaction: &Transaction,
) -> Result<Recorded, Failure> {
    let tenure = &context.duty.tenure;
    tenure.commit(&*context.platform.tables, transaction).await
}

/// Closes the next window if it is due; the first call in a new store only writes the head. A lost
/// response to the commit needs no handling, since the next round reads the head again.
async fn close(context: &Context, now: SystemTime) -> Result<(), Failure> {
    let schedule = schedule(context);
    let epoch = context.duty.tenure.epoch().ok_or(Failure::NotHeld)?;
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Head>> = store::read(tables, window::TABLE, HEAD)
        .await
        .map_err(Failure::Store)?;
    let revision = found.as_ref().map(|head| head.revision);
    let mut writes = Vec::new();
    let closed = match found {
        None => schedule.initial(now),
        Some(found) => {
            let Some(due) = schedule.due(Head::from(found.value), now) else {
                return Ok(());
            };
            let row = window_row(State::Closed, epoch, now);
            writes.push(store::put(window::TABLE, &key(due), &row));
            due
        }
    };
    writes.push(store::put(
        window::TABLE,
        HEAD,
        &usage::Head { closed, epoch },
    ));
    let transaction = Transaction {
        checks: vec![store::check(window::TABLE, HEAD, revision)],
        writes,
    };
    commit(context, &transaction).await?;
    context.duty.ledgers.invalidate_head();
    tracing::info!(event = "window_closed", window = closed, epoch);
    Ok(())
}

/// Returns the key of a window's row, padded so that keys sort by time.
pub(crate) fn key(window: Window) -> String {
    format!("{window:020}")
}

/// Stores one report row per account for a closed window, then marks the window as frozen. The
/// counters follow from usage rows that no longer change, so that a retry writes the same values.
async fn freeze(
    context: &Context,
    window: Window,
    found: &Found<usage::Window>,
    now: SystemTime,
) -> Result<(), Failure> {
    let epoch = context.duty.tenure.epoch().ok_or(Failure::NotHeld)?;
    let rows = read_rows(context, window).await.map_err(Failure::Store)?;
    let prefix = row::window_prefix(window);
    let tables = &*context.platform.tables;
    let stored = store::scan(tables, report_row::TABLE, &prefix, "")
        .await
        .map_err(Failure::Store)?;
    let mut totals = report_row::totals(window, &rows);
    for row in stored {
        totals.remove(row.key.strip_prefix(&prefix).unwrap_or(&row.key));
    }
    let totals: Vec<_> = totals.into_iter().collect();
    for batch in totals.chunks(BATCH) {
        let mut transaction = Transaction::default();
        for (account, total) in batch {
            let key = report_row::key(window, account);
            let report = usage::Report {
                figures: (*total).into(),
                sent: false,
            };
            let check = store::check(report_row::TABLE, &key, None);
            transaction.checks.push(check);
            transaction
                .writes
                .push(store::put(report_row::TABLE, &key, &report));
        }
        commit(context, &transaction).await?;
    }
    let row = window_row(State::Frozen, epoch, now);
    advance(context, window, found, row).await?;
    count(&context.duty.metrics.reports, "window_frozen");
    Ok(())
}

/// Builds a window's row, with `now` in whole seconds since the Unix epoch.
pub(crate) fn window_row(state: State, epoch: Epoch, now: SystemTime) -> usage::Window {
    let at = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    usage::Window { state, epoch, at }
}

/// Replaces the row `found` of a window by `next`, provided that it has not changed since.
pub(crate) async fn advance(
    context: &Context,
    window: Window,
    found: &Found<usage::Window>,
    next: usage::Window,
) -> Result<Recorded, Failure> {
    let key = key(window);
    let transaction = Transaction {
        checks: vec![store::check(window::TABLE, &key, Some(found.revision))],
        writes: vec![store::put(window::TABLE, &key, &next)],
    };
    commit(context, &transaction).await
}

/// Reads the usage rows of a window, of all hosts.
pub async fn read_rows(context: &Context, window: Window) -> Result<Vec<Row>, Error> {
    let prefix = row::window_prefix(window);
    let rows = store::scan(&*context.platform.tables, row::TABLE, &prefix, "").await?;
    let parse = |row| store::parse::<usage::Row>(row).map(|found| Row::from(found.value));
    rows.iter().map(parse).collect()
}
