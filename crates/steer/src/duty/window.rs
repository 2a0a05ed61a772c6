//! Closes reporting windows and freezes their figures.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_model::id::{Epoch, Window};
use agate_store::Error;
use agate_usage::window::{self, HEAD, Head};
use agate_usage::{Row, report as figures, row};
use agate_wire::table::Transaction;
use agate_wire::usage::{self, State};
use tokio::time::sleep;

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::metrics::count;
use crate::duty::report;
use crate::duty::seat::{Failure, Recorded};
use crate::duty::store::{self, Found};
use crate::duty::usage::schedule;

/// Between two rounds.
const INTERVAL: Duration = Duration::from_secs(2);
/// Report rows written in one transaction.
const BATCH: usize = 100;

/// Works on windows until the task is aborted.
pub async fn run(context: Context) {
    loop {
        sleep(jittered(INTERVAL)).await;
        if context.duty.seat.epoch().is_some() {
            step(&context, SystemTime::now()).await;
        }
    }
}

/// Closes a window that is due, and brings unfinished ones one step further.
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

/// Closed windows after the last one that is known to be reported, with all before it.
async fn unreported(context: &Context) -> Result<Vec<Found<usage::Window>>, Failure> {
    let after = context.duty.reported.get().map_or_else(String::new, key);
    let tables = &*context.platform.tables;
    let rows = store::scan(tables, window::TABLE, "", &after).await;
    let rows = rows.map_err(Failure::Store)?;
    let windows = rows.iter().filter(|it| it.key != HEAD);
    let windows: Result<Vec<_>, Error> = windows.map(store::parse).collect();
    windows.map_err(Failure::Store)
}

/// Commits as the holder of the lease.
pub(crate) async fn commit(
    context: &Context,
    transaction: &Transaction,
) -> Result<Recorded, Failure> {
    let seat = &context.duty.seat;
    seat.commit(&*context.platform.tables, transaction).await
}

/// Closes the next window if it is due. A lost answer needs no care: the next
/// round reads the head again.
async fn close(context: &Context, now: SystemTime) -> Result<(), Failure> {
    let schedule = schedule(context);
    let epoch = context.duty.seat.epoch().ok_or(Failure::NotHeld)?;
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Head>> = store::read(tables, window::TABLE, HEAD)
        .await
        .map_err(Failure::Store)?;
    let revision = found.as_ref().map(|it| it.revision);
    let mut writes = Vec::new();
    let closed = match found {
        None => schedule.initial(now),
        Some(found) => {
            let Some(due) = schedule.due(Head::from(found.value), now) else {
                return Ok(());
            };
            let row = state(State::Closed, epoch, now);
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
    context.duty.books.forget_head();
    tracing::info!(event = "window_closed", window = closed, epoch);
    Ok(())
}

/// Key of a window's row.
pub(crate) fn key(window: Window) -> String {
    format!("{window:020}")
}

/// Stores the figures of a closed window. They follow from rows that no longer
/// change, so whoever repeats this writes the same.
async fn freeze(
    context: &Context,
    window: Window,
    found: &Found<usage::Window>,
    now: SystemTime,
) -> Result<(), Failure> {
    let epoch = context.duty.seat.epoch().ok_or(Failure::NotHeld)?;
    let rows = read_rows(context, window).await.map_err(Failure::Store)?;
    let prefix = row::window_prefix(window);
    let tables = &*context.platform.tables;
    let frozen = store::scan(tables, figures::TABLE, &prefix, "")
        .await
        .map_err(Failure::Store)?;
    let mut totals = figures::totals(window, &rows);
    for known in frozen {
        totals.remove(known.key.strip_prefix(&prefix).unwrap_or(&known.key));
    }
    let totals: Vec<_> = totals.into_iter().collect();
    for batch in totals.chunks(BATCH) {
        let mut transaction = Transaction::default();
        for (account, total) in batch {
            let key = figures::key(window, account);
            let report = usage::Report {
                figures: (*total).into(),
                sent: false,
            };
            let check = store::check(figures::TABLE, &key, None);
            transaction.checks.push(check);
            transaction
                .writes
                .push(store::put(figures::TABLE, &key, &report));
        }
        commit(context, &transaction).await?;
    }
    let row = state(State::Frozen, epoch, now);
    advance(context, window, found, row).await?;
    count(&context.duty.metrics.reports, "window_frozen");
    Ok(())
}

/// Row of a window.
pub(crate) fn state(state: State, epoch: Epoch, now: SystemTime) -> usage::Window {
    let at = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    usage::Window { state, epoch, at }
}

/// Writes the next state of a window.
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

/// All rows of usage of a window.
pub async fn read_rows(context: &Context, window: Window) -> Result<Vec<Row>, Error> {
    let prefix = row::window_prefix(window);
    let rows = store::scan(&*context.platform.tables, row::TABLE, &prefix, "").await?;
    let parse = |it| store::parse::<usage::Row>(it).map(|it| Row::from(it.value));
    rows.iter().map(parse).collect()
}
