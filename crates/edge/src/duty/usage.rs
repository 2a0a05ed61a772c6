//! Reports of usage: one for each window, with figures that are frozen in the store before they
//! are sent, so that a repeat by whichever holder is exact.

use std::rc::Rc;
use std::time::Duration;

use agate_store::Error;
use agate_wire::table::{Check, Transaction, Write};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{FLIGHT, seat};
use crate::clock;
use crate::edge::Edge;
use crate::interface::Counts;
use crate::metrics::count;
use crate::sabotage::{self, Variant};

/// Table of frozen figures.
const TABLE: &str = "usage";
/// Key of the row with the last window that was reported.
const HEAD_KEY: &str = "head";
/// Between two looks at the clock.
const STEP: Duration = Duration::from_millis(400);
/// A row counts for a window if it was written this long after the window's end: hosts agree on
/// the end within this time.
const AGREEMENT: Duration = Duration::from_millis(200);
/// A host that has not written for this long has ended and brings no more counts.
const SILENCE: Duration = Duration::from_secs(15);
/// Rows that are missing are waited for until this long before the report is due; then it is
/// made without them.
const RESERVE: Duration = Duration::from_millis(2_500);
/// Before a failed call is repeated.
const RETRY: Duration = Duration::from_millis(300);
/// Frozen windows that stay in the store.
const KEPT: u64 = 16;

#[derive(Debug, Serialize, Deserialize)]
struct Head {
    window: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Frozen {
    counts: Counts,
}

/// Reports windows while this host holds the lease, until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let mut tenure = None;
    loop {
        sleep(STEP).await;
        let Some(permit) = edge.seat.permit() else {
            tenure = None;
            continue;
        };
        let next = match tenure {
            Some((epoch, next)) if epoch == permit.epoch() => next,
            _ => match first(&edge).await {
                Ok(next) => next,
                Err(err) => {
                    tracing::warn!(event = "usage_head_unknown", error = %err);
                    continue;
                }
            },
        };
        tenure = Some((permit.epoch(), next));
        if !is_due(&edge, next) {
            continue;
        }
        match report(&edge, next).await {
            Ok(()) => tenure = Some((permit.epoch(), next + 1)),
            Err(err) => {
                tracing::warn!(event = "usage_not_reported", window = next, error = %err);
                count(&edge.metrics.calls, "report_failed");
                if is_missed(&edge, next) {
                    tracing::error!(event = "usage_missed", window = next);
                    tenure = Some((permit.epoch(), next + 1));
                }
                sleep(RETRY).await;
            }
        }
    }
}

/// The first window that this holder reports.
async fn first(edge: &Edge) -> Result<u64, Error> {
    let found = edge.remote.tables.get(TABLE, HEAD_KEY).await?;
    let current = edge.window();
    let Some(row) = found else {
        return Ok(current.saturating_sub(1));
    };
    let head: Head = serde_json::from_str(&row.value)
        .map_err(|err| Error::Unknown(format!("head of usage: {err}")))?;
    let kept = current.saturating_sub(KEPT);
    Ok((head.window + 1).clamp(kept, current))
}

fn end_millis(edge: &Edge, window: u64) -> i64 {
    let length = edge.settings.borrow().bounds.window.as_millis();
    i64::try_from(u128::from(window + 1) * length).unwrap_or(i64::MAX)
}

/// Whether a window is over and every run that may have counts of it has brought them, or too
/// little time is left to wait for the rest.
fn is_due(edge: &Edge, window: u64) -> bool {
    let end = end_millis(edge, window) + millis(AGREEMENT);
    let now = edge.true_millis();
    let ledger = edge.ledger.borrow();
    if now < end || !ledger.is_known() {
        return false;
    }
    let Some(end) = edge.store_millis(end) else {
        return false;
    };
    let bound = edge.settings.borrow().bounds.report;
    let last = end_millis(edge, window) + millis(bound.saturating_sub(RESERVE));
    let missing = ledger.missing(end, SILENCE).count();
    if missing > 0 && now >= last {
        tracing::warn!(event = "usage_incomplete", window, missing);
    }
    missing == 0 || now >= last
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

fn is_missed(edge: &Edge, window: u64) -> bool {
    let late = edge.settings.borrow().bounds.report;
    edge.true_millis() >= end_millis(edge, window) + millis(late)
}

async fn report(edge: &Edge, window: u64) -> Result<(), Error> {
    let counts = freeze(edge, window).await?;
    let lapsed = || Error::Unreached("the lease has run out".to_owned());
    let permit = edge.seat.permit().ok_or_else(lapsed)?;
    let seal = seat::seal(edge, &permit);
    let Some(duties) = &edge.remote.duties else {
        return Ok(());
    };
    let may_send = || permit.is_valid(clock::steady());
    duties
        .report(&seal, window, &counts, FLIGHT, &may_send)
        .await?;
    tracing::info!(
        event = "usage_reported",
        window,
        epoch = seal.epoch,
        accounts = counts.len(),
        requests = counts.values().sum::<u64>(),
    );
    count(&edge.metrics.calls, "report");
    Ok(())
}

/// Writes the figures of a window unless they stand already; returns those that stand.
async fn freeze(edge: &Edge, window: u64) -> Result<Counts, Error> {
    let counts = edge.ledger.borrow().sum(window);
    let unreadable = |err| Error::Unknown(format!("figures of window {window}: {err}"));
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
            write(key(window.saturating_sub(KEPT)), None),
        ],
    };
    match edge.remote.tables.commit(&transaction).await {
        Ok(_) => Ok(frozen.counts),
        Err(Error::Conflict(_) | Error::Unknown(_)) if sabotage::is(Variant::TwoFigures) => {
            Ok(frozen.counts)
        }
        Err(Error::Conflict(_) | Error::Unknown(_)) => {
            let found = edge.remote.tables.get(TABLE, &key(window)).await?;
            let missing = || Error::Unreached(format!("window {window} is not frozen"));
            let row = found.ok_or_else(missing)?;
            let frozen: Frozen = serde_json::from_str(&row.value).map_err(unreadable)?;
            Ok(frozen.counts)
        }
        Err(err) => Err(err),
    }
}

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
