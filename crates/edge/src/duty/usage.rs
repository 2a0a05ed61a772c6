//! Reports usage once for each window. The counts of a window are frozen in the store before they
//! are sent, so that a retry by any lease holder sends the same counts.

use std::rc::Rc;
use std::time::Duration;

use agate_store::Error;
use agate_wire::table::{Check, Transaction, Write};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{CALL_TIMEOUT, lease};
use crate::clock;
use crate::edge::Edge;
use crate::interface::Counts;
use crate::metrics::count;
use crate::sabotage::{self, Variant};

/// Table of the frozen counts.
const TABLE: &str = "usage";
/// Key of the row that holds the last reported window.
const HEAD_KEY: &str = "head";
/// Interval between two checks whether a window is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time after a window's end at which a row must have been written to be complete for the window:
/// hosts agree on the end within this time.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(200);
/// Time without a write after which a host counts as ended and is not waited for.
const HOST_TIMEOUT: Duration = Duration::from_secs(15);
/// Time before the report's deadline at which the wait for missing rows ends; the report is then
/// made without them.
const REPORT_RESERVE: Duration = Duration::from_millis(2_500);
/// Delay before a failed report is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of frozen windows that are kept in the store.
const KEPT_WINDOWS: u64 = 16;

/// Contents of the row at `HEAD_KEY`.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    /// Last window that was reported.
    window: u64,
}

/// Contents of the row of a frozen window.
#[derive(Debug, Serialize, Deserialize)]
struct Frozen {
    /// Counts that every report of the window sends.
    counts: Counts,
}

/// Reports windows while this host holds the lease, until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    // Epoch of the lease, and the next window to report.
    let mut progress = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(permit) = edge.lease.permit() else {
            progress = None;
            continue;
        };
        let next = match progress {
            Some((epoch, next)) if epoch == permit.epoch() => next,
            _ => match first_window(&edge).await {
                Ok(next) => next,
                Err(err) => {
                    tracing::warn!(event = "usage_head_unknown", error = %err);
                    continue;
                }
            },
        };
        progress = Some((permit.epoch(), next));
        if !is_due(&edge, next) {
            continue;
        }
        match report(&edge, next).await {
            Ok(()) => progress = Some((permit.epoch(), next + 1)),
            Err(err) => {
                tracing::warn!(event = "usage_not_reported", window = next, error = %err);
                count(&edge.metrics.calls, "report_failed");
                if is_missed(&edge, next) {
                    tracing::error!(event = "usage_missed", window = next);
                    progress = Some((permit.epoch(), next + 1));
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the first window that this holder reports: the one after the last reported window, but
/// none older than `KEPT_WINDOWS`, or the previous window if none was reported.
async fn first_window(edge: &Edge) -> Result<u64, Error> {
    let found = edge.remote.tables.get(TABLE, HEAD_KEY).await?;
    let current = edge.window();
    let Some(row) = found else {
        return Ok(current.saturating_sub(1));
    };
    let head: Head = serde_json::from_str(&row.value).map_err(|err| {
        Error::Unknown(format!("malformed row {HEAD_KEY} in table {TABLE}: {err}"))
    })?;
    let kept = current.saturating_sub(KEPT_WINDOWS);
    Ok((head.window + 1).clamp(kept, current))
}

/// Returns the end of a window in milliseconds of true time since the Unix epoch.
fn end_millis(edge: &Edge, window: u64) -> i64 {
    let length = edge.settings.borrow().bounds.window.as_millis();
    i64::try_from(u128::from(window + 1) * length).unwrap_or(i64::MAX)
}

/// Returns whether a window is over and either every incarnation that may have counts for it has
/// written them or too little time is left to wait for the rest.
fn is_due(edge: &Edge, window: u64) -> bool {
    let end = end_millis(edge, window) + millis(CLOCK_TOLERANCE);
    let now = edge.true_millis();
    let ledger = edge.ledger.borrow();
    if now < end || !ledger.is_known() {
        return false;
    }
    let Some(end) = edge.store_millis(end) else {
        return false;
    };
    let bound = edge.settings.borrow().bounds.report;
    let last = end_millis(edge, window) + millis(bound.saturating_sub(REPORT_RESERVE));
    let missing: Vec<&str> = ledger.missing(end, HOST_TIMEOUT).collect();
    if !missing.is_empty() && now >= last {
        tracing::warn!(
            event = "usage_incomplete",
            window,
            missing = missing.len(),
            runs = missing.join(","),
        );
    }
    missing.is_empty() || now >= last
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Returns whether the deadline for the report of a window has passed.
fn is_missed(edge: &Edge, window: u64) -> bool {
    let late = edge.settings.borrow().bounds.report;
    edge.true_millis() >= end_millis(edge, window) + millis(late)
}

/// Freezes the counts of a window and reports them under the current lease.
async fn report(edge: &Edge, window: u64) -> Result<(), Error> {
    let counts = freeze(edge, window).await?;
    let expired = || {
        Error::Unreached(
            "the report was not sent: this host does not hold a valid lease".to_owned(),
        )
    };
    let permit = edge.lease.permit().ok_or_else(expired)?;
    let fencing_token = lease::fencing_token(edge, &permit);
    let Some(duties) = &edge.remote.duties else {
        return Ok(());
    };
    let may_send = || permit.is_valid(clock::steady());
    duties
        .report(&fencing_token, window, &counts, CALL_TIMEOUT, &may_send)
        .await?;
    tracing::info!(
        event = "usage_reported",
        window,
        epoch = fencing_token.epoch,
        accounts = counts.len(),
        requests = counts.values().sum::<u64>(),
    );
    count(&edge.metrics.calls, "report");
    Ok(())
}

/// Freezes the counts of a window unless they are frozen already. Returns the frozen counts.
async fn freeze(edge: &Edge, window: u64) -> Result<Counts, Error> {
    let counts = edge.ledger.borrow().sum(window);
    let unreadable = |err| {
        Error::Unknown(format!(
            "malformed counts of window {window} in table {TABLE}: {err}"
        ))
    };
    let frozen = Frozen { counts };
    let value = serde_json::to_string(&frozen).map_err(unreadable)?;
    let head = Head {
        window: window.saturating_sub(1),
    };
    let head = serde_json::to_string(&head).map_err(unreadable)?;
    let transaction = Transaction {
        checks: vec![Check {
            table: TABLE.to_owned(),
            key: key(window),
            revision: None,
        }],
        writes: vec![
            write(key(window), Some(value)),
            write(HEAD_KEY.to_owned(), Some(head)),
            write(key(window.saturating_sub(KEPT_WINDOWS)), None),
        ],
    };
    match edge.remote.tables.commit(&transaction).await {
        Ok(_) => Ok(frozen.counts),
        Err(Error::Conflict(_) | Error::Unknown(_)) if sabotage::is(Variant::TwoFigures) => {
            Ok(frozen.counts)
        }
        Err(Error::Conflict(_) | Error::Unknown(_)) => {
            let found = edge.remote.tables.get(TABLE, &key(window)).await?;
            let missing = || {
                Error::Unreached(format!(
                    "no frozen counts of window {window} in table {TABLE}"
                ))
            };
            let row = found.ok_or_else(missing)?;
            let frozen: Frozen = serde_json::from_str(&row.value).map_err(unreadable)?;
            Ok(frozen.counts)
        }
        Err(err) => Err(err),
    }
}

/// Returns the key of a window's row, padded so that keys sort by window.
fn key(window: u64) -> String {
    format!("{window:020}")
}

fn write(key: String, value: Option<String>) -> Write {
    Write {
        table: TABLE.to_owned(),
        key,
        value,
    }
}
