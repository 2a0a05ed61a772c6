//! Reports usage once for each window. The counts of a window are frozen in the store before they
//! are sent, so that a retry by any lease holder sends the same counts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{Epoch, Era, Revision};
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
/// Time after a return of the store within which another process may write again what it has frozen.
const REWRITE_TIME: Duration = Duration::from_secs(3);
/// Number of frozen windows that are kept in the store.
const KEPT_WINDOWS: u64 = 16;

/// Contents of the row at `HEAD_KEY`.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    /// Last window that was reported.
    window: u64,
    /// Era of the store in which the row was written.
    #[serde(default)]
    era: Era,
}

/// Counts of the windows that this process has frozen or read as frozen. A store that returns from an older copy may
/// have lost them after they were reported.
#[derive(Debug, Default)]
pub struct Sealed {
    windows: BTreeMap<u64, Counts>,
}

impl Sealed {
    /// Inserts the counts of a window. Returns whether they are those known before, if any.
    fn insert(&mut self, window: u64, counts: &Counts) -> bool {
        let known = self.windows.entry(window);
        let is_same = known.or_insert_with(|| counts.clone()) == counts;
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
        is_same
    }
}

/// What a holder has reported and may report.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Epoch of the lease.
    epoch: Epoch,
    /// Era of the store for which the rest holds.
    era: Era,
    /// Revision of the row at `HEAD_KEY`, under which windows are frozen; `None` if there was none.
    head: Option<Revision>,
    /// Whether `head` is to be read again before it is a condition.
    is_outdated: bool,
    /// Next window to report.
    next: u64,
    /// Whether no earlier holder can have frozen the next window, whatever the store has lost.
    is_own: bool,
    /// First window that no earlier holder can have reported; those before are reported only as they are found
    /// frozen.
    first_open: u64,
}

impl Progress {
    /// Moves on to the next window.
    fn advance(&mut self) {
        self.is_own |= self.next >= self.first_open;
        self.next += 1;
    }
}

/// Contents of the row of a frozen window.
#[derive(Debug, Serialize, Deserialize)]
struct Frozen {
    /// Counts that every report of the window sends.
    counts: Counts,
}

/// Reports windows while this host holds the lease, until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let mut progress: Option<Progress> = None;
    let mut era = edge.eras.newest();
    loop {
        sleep(CHECK_INTERVAL).await;
        if era != edge.eras.newest() && write_again(&edge).await {
            era = edge.eras.newest();
        }
        let Some(permit) = edge.lease.permit() else {
            progress = None;
            continue;
        };
        let mut current = match progress {
            Some(progress)
                if progress.epoch == permit.epoch()
                    && progress.era == edge.eras.newest()
                    && !progress.is_outdated =>
            {
                progress
            }
            before => match start(&edge, permit.epoch(), before).await {
                Ok(progress) => progress,
                Err(err) => {
                    tracing::warn!(event = "usage_head_unknown", error = %err);
                    continue;
                }
            },
        };
        if is_due(&edge, current.next) {
            match report(&edge, &mut current).await {
                Ok(()) => current.advance(),
                Err(err) => {
                    let window = current.next;
                    tracing::warn!(event = "usage_not_reported", window, error = %err);
                    count(&edge.metrics.calls, "report_failed");
                    if is_missed(&edge, window) {
                        tracing::error!(event = "usage_missed", window);
                        current.advance();
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        progress = Some(current);
    }
}

/// Returns what a new holder reports first: the window after the last reported one, but none older than
/// `KEPT_WINDOWS`, or the previous window if none was reported. If the store has returned from an older copy since the
/// last report was recorded, or may have lost that record, later windows may have been reported, up to the one in which
/// it returned. A holder that has reported in this tenure goes on where it is.
async fn start(edge: &Edge, epoch: Epoch, before: Option<Progress>) -> Result<Progress, Error> {
    let era = edge.eras.newest();
    let found = edge.remote.tables.get(TABLE, HEAD_KEY).await?;
    // The response for an absent row does not name the era, but that for the row of the lease does.
    if found.is_none() && lease::read(edge).await?.is_none() {
        return Err(Error::Unknown("there is no lease row".to_owned()));
    }
    if edge.eras.newest() != era {
        return Err(Error::Unknown(format!(
            "the store has returned from an older copy while row {HEAD_KEY} of table {TABLE} was read"
        )));
    }
    let revision = found.as_ref().map(|row| row.revision);
    if let Some(before) = before.filter(|before| before.epoch == epoch && before.is_own) {
        return Ok(Progress {
            era,
            head: revision,
            is_outdated: false,
            ..before
        });
    }
    let current = edge.window();
    let head: Option<Head> = found
        .map(|row| serde_json::from_str(&row.value))
        .transpose()
        .map_err(|err| {
            Error::Unknown(format!("malformed row {HEAD_KEY} in table {TABLE}: {err}"))
        })?;
    let kept = current.saturating_sub(KEPT_WINDOWS);
    let next = match &head {
        Some(head) => (head.window + 1).clamp(kept, current),
        // The row may be lost, and the windows since the store has returned are not reported yet.
        None if era > 0 => {
            let next = edge.window_at(edge.eras.since()).clamp(kept, current);
            tracing::warn!(event = "usage_head_absent", era, next);
            next
        }
        None => current.saturating_sub(1),
    };
    let is_certain = head.map_or(0, |head| head.era) == era;
    let first_open = match is_certain {
        true => next,
        false => next.max(edge.window_at(edge.eras.since())),
    };
    if first_open > next {
        tracing::warn!(event = "usage_uncertain", from = next, until = first_open);
    }
    Ok(Progress {
        epoch,
        era,
        head: revision,
        is_outdated: false,
        next,
        is_own: false,
        first_open,
    })
}

/// Writes the windows that this process knows to be frozen again, as far as the store has lost them when it returned from
/// an older copy. Returns whether that is done.
async fn write_again(edge: &Edge) -> bool {
    let windows = edge.sealed.borrow().windows.clone();
    for (window, counts) in windows {
        let frozen = Frozen { counts };
        let value = match serde_json::to_string(&frozen) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(event = "usage_not_written_again", window, error = %err);
                continue;
            }
        };
        let transaction = Transaction {
            checks: vec![absent(window)],
            writes: vec![write(key(window), Some(value))],
        };
        match edge.remote.tables.commit(&transaction).await {
            Ok(_) => {
                tracing::info!(event = "usage_written_again", window);
                count(&edge.metrics.changes, "usage_written_again");
            }
            Err(Error::Conflict(_)) => {}
            Err(err) => {
                tracing::warn!(event = "usage_not_written_again", window, error = %err);
                return false;
            }
        }
    }
    true
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

/// Freezes the counts of a window and reports them under the current lease. Those of a window that may have been reported
/// are only reported as they were frozen.
async fn report(edge: &Edge, progress: &mut Progress) -> Result<(), Error> {
    let window = progress.next;
    let counts = match window < progress.first_open {
        true => match recall(edge, window).await? {
            Some(counts) => counts,
            None => {
                tracing::error!(event = "usage_lost", window);
                count(&edge.metrics.changes, "usage_lost");
                return Ok(());
            }
        },
        false => freeze(edge, progress).await?,
    };
    if !edge.sealed.borrow_mut().insert(window, &counts) {
        // This process may have reported the counts that it knows.
        tracing::error!(event = "usage_frozen_twice", window);
        count(&edge.metrics.changes, "usage_frozen_twice");
        return Ok(());
    }
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

/// Returns the error for counts that can't be encoded or decoded.
fn malformed(window: u64, err: &serde_json::Error) -> Error {
    Error::Unknown(format!(
        "malformed counts of window {window} in table {TABLE}: {err}"
    ))
}

/// Returns the frozen counts of a window; `None` if the store has none.
async fn read_frozen(edge: &Edge, window: u64) -> Result<Option<Counts>, Error> {
    let found = edge.remote.tables.get(TABLE, &key(window)).await?;
    let frozen = found.map(|row| serde_json::from_str::<Frozen>(&row.value));
    let frozen = frozen.transpose().map_err(|err| malformed(window, &err))?;
    Ok(frozen.map(|frozen| frozen.counts))
}

/// Returns the counts of a window that the store, or this process, knows to be frozen; `None` if neither does. Fails
/// while another process may write them again.
async fn recall(edge: &Edge, window: u64) -> Result<Option<Counts>, Error> {
    if let Some(counts) = read_frozen(edge, window).await? {
        return Ok(Some(counts));
    }
    let sealed = edge.sealed.borrow().windows.get(&window).cloned();
    if sealed.is_none() && edge.eras.since().elapsed() < REWRITE_TIME {
        return Err(Error::Unreached(format!(
            "no frozen counts of window {window} in table {TABLE} since the store has returned"
        )));
    }
    Ok(sealed)
}

/// Freezes the counts of the next window unless they are frozen already. Returns the frozen counts.
///
/// The row at `HEAD_KEY` must be the one that was read in this tenure: a store that has returned from an older copy
/// unnoticed may lack it, and with it counts that an earlier holder has frozen and reported.
async fn freeze(edge: &Edge, progress: &mut Progress) -> Result<Counts, Error> {
    let window = progress.next;
    let sealed = edge.sealed.borrow().windows.get(&window).cloned();
    let counts = sealed.unwrap_or_else(|| edge.ledger.borrow().sum(window));
    let unreadable = |err| malformed(window, &err);
    let frozen = Frozen { counts };
    let value = serde_json::to_string(&frozen).map_err(unreadable)?;
    let head = Head {
        window: window.saturating_sub(1),
        era: progress.era,
    };
    let head = serde_json::to_string(&head).map_err(unreadable)?;
    let transaction = Transaction {
        checks: vec![
            absent(window),
            Check {
                table: TABLE.to_owned(),
                key: HEAD_KEY.to_owned(),
                revision: progress.head,
            },
        ],
        writes: vec![
            write(key(window), Some(value)),
            write(HEAD_KEY.to_owned(), Some(head)),
            write(key(window.saturating_sub(KEPT_WINDOWS)), None),
        ],
    };
    let outcome = edge.remote.tables.commit(&transaction).await;
    progress.is_outdated = true;
    match outcome {
        Ok(commit) => {
            progress.head = Some(commit.revision);
            progress.is_outdated = false;
            Ok(frozen.counts)
        }
        Err(Error::Conflict(_) | Error::Unknown(_)) if sabotage::is(Variant::TwoFigures) => {
            Ok(frozen.counts)
        }
        Err(err @ (Error::Conflict(_) | Error::Unknown(_))) => {
            read_frozen(edge, window).await?.ok_or(err)
        }
        Err(err) => Err(err),
    }
}

/// Returns the key of a window's row, padded so that keys sort by window.
fn key(window: u64) -> String {
    format!("{window:020}")
}

/// Returns the condition that the counts of a window are not frozen.
fn absent(window: u64) -> Check {
    Check {
        table: TABLE.to_owned(),
        key: key(window),
        revision: None,
    }
}

fn write(key: String, value: Option<String>) -> Write {
    Write {
        table: TABLE.to_owned(),
        key,
        value,
    }
}
