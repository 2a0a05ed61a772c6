//! Sends the reports of frozen windows to the platform.

use std::time::SystemTime;

use agate_lease::Permit;
use agate_model::id::{AccountId, Window};
use agate_store::Error;
use agate_usage::{report, row};
use agate_wire::platform::Report;
use agate_wire::table::Transaction;
use agate_wire::usage::{self, State};
use futures_util::{StreamExt as _, stream};

use crate::context::Context;
use crate::duty::metrics::count;
use crate::duty::store::{self, Found};
use crate::duty::tenure::{self, Failure};
use crate::duty::window::{advance, commit, window_row};

/// Maximum number of reports sent concurrently.
const CONCURRENCY: usize = 8;
/// Maximum number of reports sent with one permit.
const BATCH: usize = 100;

/// A report that the platform has not accepted yet, and its row.
struct Unsent {
    account: AccountId,
    found: Found<usage::Report>,
}

/// Sends up to `BATCH` reports of a window that are not accepted yet, and marks the window as
/// sent once there are none.
pub async fn send(
    context: &Context,
    window: Window,
    found: &Found<usage::Window>,
    now: SystemTime,
) -> Result<(), Failure> {
    let epoch = context.duty.tenure.epoch().ok_or(Failure::NotHeld)?;
    let mut pending = pending(context, window).await.map_err(Failure::Store)?;
    if pending.is_empty() {
        advance(context, window, found, window_row(State::Sent, epoch, now)).await?;
        tracing::info!(event = "window_reported", window, epoch);
        return Ok(());
    }
    // The batch starts at a random report, so that reports which the platform refuses do not
    // block the others.
    let first = rand::random_range(0..pending.len());
    pending.rotate_left(first);
    pending.truncate(BATCH);
    // The commit that records the attempt yields the permit to send.
    let row = window_row(State::Frozen, epoch, now);
    let recorded = advance(context, window, found, row).await?;
    let permit = recorded.permit;
    let sent: Vec<Option<Unsent>> = stream::iter(pending)
        .map(|unsent| send_one(context, window, permit, unsent))
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    mark_sent(context, window, sent.into_iter().flatten().collect()).await
}

/// Reads the reports of a window that are not marked as sent.
async fn pending(context: &Context, window: Window) -> Result<Vec<Unsent>, Error> {
    let prefix = row::window_prefix(window);
    let rows = store::scan(&*context.platform.tables, report::TABLE, &prefix, "").await?;
    let mut pending = Vec::new();
    for found in &rows {
        let found: Found<usage::Report> = store::parse(found)?;
        if !found.value.sent {
            let account = found
                .key
                .strip_prefix(&prefix)
                .unwrap_or(&found.key)
                .to_owned();
            pending.push(Unsent { account, found });
        }
    }
    Ok(pending)
}

/// Sends one report, and returns it if the platform has accepted it.
async fn send_one(
    context: &Context,
    window: Window,
    permit: Permit,
    unsent: Unsent,
) -> Option<Unsent> {
    let terms = context.settings.lease.terms();
    let message = Report {
        account: unsent.account.clone(),
        window,
        epoch: permit.epoch(),
        figures: unsent.found.value.figures,
    };
    let id = report::key(window, &unsent.account);
    let deadline = terms.flight.min(permit.remaining(tenure::now()));
    let may_send = || permit.is_valid(tenure::now());
    context
        .duty
        .tenure
        .mark_in_flight(deadline + terms.flight + terms.idle);
    let reports = &context.platform.reports;
    match reports.send(&id, &message, deadline, &may_send).await {
        Ok(()) => {
            count(&context.duty.metrics.reports, "accepted");
            Some(unsent)
        }
        Err(err) => {
            count(&context.duty.metrics.reports, outcome(&err));
            tracing::warn!(event = "report_failed", account = unsent.account, window, error = %err);
            None
        }
    }
}

/// Returns the outcome of a failed report in the metrics.
fn outcome(err: &Error) -> &'static str {
    match err {
        Error::Unreached(_) => "not_sent",
        Error::Unknown(_) => "unanswered",
        Error::Refused { .. } | Error::Conflict(_) => "refused",
    }
}

/// Marks the accepted reports as sent, in one transaction.
async fn mark_sent(context: &Context, window: Window, sent: Vec<Unsent>) -> Result<(), Failure> {
    if sent.is_empty() {
        return Ok(());
    }
    let mut transaction = Transaction::default();
    for unsent in &sent {
        let key = report::key(window, &unsent.account);
        let report = usage::Report {
            sent: true,
            ..unsent.found.value
        };
        let check = store::check(report::TABLE, &key, Some(unsent.found.revision));
        transaction.checks.push(check);
        transaction
            .writes
            .push(store::put(report::TABLE, &key, &report));
    }
    commit(context, &transaction).await?;
    Ok(())
}
