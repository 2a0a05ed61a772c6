//! Deletes usage rows and report rows that are past their retention time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_model::id::Window;
use agate_store::Error;
use agate_usage::{report, row, window};
use agate_wire::table::{Page, Transaction};
use agate_wire::usage::{self, State};
use tokio::time::sleep;

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::store::{self, Found};
use crate::duty::tenure::Failure;
use crate::duty::window::{commit, key};

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of rows deleted in one transaction.
const BATCH: usize = 200;
/// Time for which usage rows are kept after their reports were accepted. Late totals are settled
/// against these rows, so it is longer than the time for which totals are accepted.
const USAGE_AGE: Duration = Duration::from_secs(4 * 24 * 3600);
/// Time for which report rows are kept after the reports were accepted.
const REPORT_AGE: Duration = Duration::from_secs(400 * 24 * 3600);

/// Takes a step per interval while this process holds the lease, until the task is aborted.
pub async fn run(context: Context) {
    loop {
        sleep(jittered(INTERVAL)).await;
        if context.duty.tenure.epoch().is_some() {
            step(&context, SystemTime::now()).await;
        }
    }
}

/// Deletes rows of the oldest window of each table, if their retention time is over.
pub async fn step(context: &Context, now: SystemTime) {
    let usage = delete(context, row::TABLE, USAGE_AGE, now).await;
    let reports = delete(context, report::TABLE, REPORT_AGE, now).await;
    for outcome in [usage, reports] {
        if let Err(err) = outcome {
            tracing::debug!(event = "rows_not_deleted", error = %err);
        }
    }
}

/// Deletes up to `BATCH` rows of the oldest window in `table` if it was reported at least `age`
/// ago. Keys start with the window, so the first rows are the oldest.
async fn delete(
    context: &Context,
    table: &str,
    age: Duration,
    now: SystemTime,
) -> Result<(), Failure> {
    let page = context.platform.tables.scan(table, "", "", BATCH).await;
    let page = page.map_err(Failure::Store)?;
    let Some(oldest) = page.rows.first().and_then(|row| window_of(&row.key)) else {
        return Ok(());
    };
    let is_deletable = is_sent_since(context, oldest, age, now).await;
    if !is_deletable.map_err(Failure::Store)? {
        return Ok(());
    }
    commit(context, &deletion(table, &page, oldest)).await?;
    Ok(())
}

fn deletion(table: &str, page: &Page, window: Window) -> Transaction {
    let rows = page.rows.iter();
    let rows = rows.filter(|row| window_of(&row.key) == Some(window));
    Transaction {
        checks: Vec::new(),
        writes: rows.map(|row| store::delete(table, &row.key)).collect(),
    }
}

/// Returns the window at the start of a row's key; `None` if the key is malformed.
fn window_of(key: &str) -> Option<Window> {
    key.split('/').next()?.parse().ok()
}

/// Returns whether all reports of the window were accepted at least `age` ago.
async fn is_sent_since(
    context: &Context,
    window: Window,
    age: Duration,
    now: SystemTime,
) -> Result<bool, Error> {
    let tables = &*context.platform.tables;
    let found: Option<Found<usage::Window>> =
        store::read(tables, window::TABLE, &key(window)).await?;
    let sent = found.filter(|row| row.value.state == State::Sent);
    Ok(sent.is_some_and(|row| {
        let sent_at = UNIX_EPOCH + Duration::from_secs(row.value.at);
        now.duration_since(sent_at)
            .is_ok_and(|elapsed| elapsed >= age)
    }))
}
