//! The rows in which this host tells the others what it is and what it counts.

use std::rc::Rc;
use std::time::Duration;

use agate_store::Error;
use agate_wire::table::{Check, Transaction, Write};
use tokio::time::{Instant, sleep};

use crate::clock;
use crate::edge::Edge;
use crate::handover::{self, Beat};
use crate::metrics::count;
use crate::peer::{self, Client};
use crate::{hosts, ledger};

/// Between two writes to the store, by a host that writes for itself or for its zone. With the
/// handover before and a reading after it, a row is younger than the time after which its host
/// counts as gone.
const WRITE: Duration = Duration::from_millis(1_200);
/// Between two handovers to the reader of the zone.
const HANDOVER: Duration = Duration::from_millis(800);
/// A host writes itself if its rows have not been acknowledged for this long, or its evidence is
/// this old: a handover, a write, and a spare.
const OVERDUE: Duration = Duration::from_millis(2_600);
/// Before a failed write is repeated.
const RETRY: Duration = Duration::from_millis(200);
/// Rows that have not changed for this long belong to runs that have ended; whoever holds the
/// lease removes them. Their usage has been reported long before.
const ENDED: Duration = Duration::from_secs(60);
/// Runs whose rows are removed in one transaction.
const REMOVED: usize = 4;
/// Heartbeats in one transaction: two rows each, below the hundred entries that it may hold.
const BATCH: usize = 40;
/// Longest contents of the rows of one transaction, in bytes; the store takes 1 MB with encoding.
const BATCH_BYTES: usize = 400 << 10;

/// Tells the others until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let link = Client::default();
    let mut acknowledged = 0;
    let mut wrote = None;
    // Hosts that start together do not write together ever after.
    let mut pause = HANDOVER.mul_f64(rand::random_range(0.1..0.6));
    loop {
        sleep(pause).await;
        let own = beat(&edge, false);
        let receipt = handover::deliver(&edge, &link, &own).await;
        if let Ok(receipt) = &receipt {
            acknowledged = acknowledged.max(receipt.written);
        }
        let is_reader = !edge.tray.is_empty();
        let since = wrote.map(|at: Instant| at.elapsed());
        let (is_due, step) = match receipt {
            Ok(_) if is_reader => (since.is_none_or(|it| it >= WRITE), HANDOVER),
            Ok(_) => (is_overdue(&edge, own.host.at, acknowledged), HANDOVER),
            Err(_) => (true, WRITE),
        };
        pause = step.mul_f64(rand::random_range(0.9..1.0));
        if !is_due {
            continue;
        }
        let at = own.host.at;
        match write(&edge, own).await {
            Ok(()) => {
                acknowledged = acknowledged.max(at);
                wrote = Some(Instant::now());
            }
            Err(err) => {
                tracing::warn!(event = "heartbeat_failed", error = %err);
                edge.outage.lost(Instant::now());
                pause = RETRY;
                edge.outage.turn().await;
            }
        }
    }
}

/// Whether the reader of the zone has not brought what this host needs from the store.
fn is_overdue(edge: &Edge, at: u64, acknowledged: u64) -> bool {
    let unwritten = Duration::from_millis(at.saturating_sub(acknowledged));
    let evidence = edge.evidence_age();
    unwritten > OVERDUE || evidence.is_none_or(|age| age > OVERDUE)
}

/// Tells the others at once, over both ways: the reader must not write an older copy afterwards.
pub async fn publish(edge: &Edge, is_last: bool) {
    let own = beat(edge, is_last);
    let handed = handover::deliver(edge, &Client::default(), &own).await;
    if let Err(err) = handed
        && !matches!(err, peer::Error::NoReader)
    {
        tracing::info!(event = "heartbeat_not_handed_over", error = %err);
    }
    if let Err(err) = write(edge, own).await {
        tracing::warn!(event = "heartbeat_failed", error = %err);
    }
}

/// Writes the rows of this host and those that were handed over.
async fn write(edge: &Edge, own: Beat) -> Result<(), Error> {
    let mut beats = edge.tray.take();
    beats.insert(0, own);
    let mut rest = beats.as_slice();
    while !rest.is_empty() {
        let (count, writes) = batch(edge, rest)?;
        let outcome = commit_batch(edge, writes).await;
        tally(edge, outcome.is_ok());
        outcome?;
        edge.outage.over();
        let (written, more) = rest.split_at(count);
        edge.tray.written(written);
        rest = more;
    }
    Ok(())
}

fn tally(edge: &Edge, is_ok: bool) {
    let outcome = if is_ok {
        "heartbeat"
    } else {
        "heartbeat_failed"
    };
    count(&edge.metrics.calls, outcome);
}

/// Rows of as many heartbeats as one transaction holds, and how many those are.
fn batch(edge: &Edge, beats: &[Beat]) -> Result<(usize, Vec<Write>), Error> {
    let mut writes = Vec::new();
    let mut count = 0;
    let mut bytes = 0;
    for beat in beats.iter().take(BATCH) {
        let rows = [
            row(hosts::TABLE, &beat.host.key(), &beat.host)?,
            row(ledger::TABLE, &beat.ledger.run, &beat.ledger)?,
        ];
        let length = |it: &Write| it.value.as_ref().map_or(0, String::len);
        bytes += rows.iter().map(length).sum::<usize>();
        if count > 0 && bytes > BATCH_BYTES {
            break;
        }
        writes.extend(rows);
        count += 1;
    }
    if edge.seat.permit().is_some() {
        for key in edge.hosts.borrow().stale(ENDED).into_iter().take(REMOVED) {
            for table in [hosts::TABLE, ledger::TABLE] {
                writes.push(Write {
                    table: table.to_owned(),
                    key: key.clone(),
                    value: None,
                });
            }
        }
    }
    Ok((count, writes))
}

fn row<T: serde::Serialize>(table: &str, key: &str, row: &T) -> Result<Write, Error> {
    let value = serde_json::to_string(row)
        .map_err(|err| Error::Unreached(format!("row {key} of {table}: {err}")))?;
    Ok(Write {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(value),
    })
}

async fn commit_batch(edge: &Edge, writes: Vec<Write>) -> Result<(), Error> {
    let outcome = match edge.config_revision.get() {
        Some(revision) => confirm(edge, &writes, revision).await,
        None => commit(edge, Vec::new(), writes.clone()).await,
    };
    // The rows must be written although there is a newer configuration.
    match outcome {
        Err(Error::Conflict(_)) => {
            edge.outdated.notify_waiters();
            commit(edge, Vec::new(), writes).await
        }
        outcome => outcome,
    }
}

/// Writes on the condition that the configuration in force is the newest, which is evidence for
/// that. The time of the question counts.
async fn confirm(edge: &Edge, writes: &[Write], revision: u64) -> Result<(), Error> {
    let (table, key) = edge.remote.decoder.config_row();
    let check = Check {
        table: table.to_owned(),
        key: key.to_owned(),
        revision: Some(revision),
    };
    let asked = clock::boot();
    commit(edge, vec![check], writes.to_vec()).await?;
    edge.confirm(asked);
    Ok(())
}

async fn commit(edge: &Edge, checks: Vec<Check>, writes: Vec<Write>) -> Result<(), Error> {
    let transaction = Transaction { checks, writes };
    let commit = edge.remote.tables.commit(&transaction).await?;
    edge.newest.set(edge.newest.get().max(commit.revision));
    Ok(())
}

fn beat(edge: &Edge, ended: bool) -> Beat {
    let settings = edge.settings.borrow();
    let store = edge.store_clock.get().now(clock::boot());
    let at = store.map_or(0, |it| u64::try_from(it).unwrap_or(0));
    let mut offers = edge.offers.borrow().clone();
    for (service, offer) in &mut offers {
        offer.running = edge.board.borrow().running(service).0;
        offer.waiting = u32::try_from(edge.line(service).len()).unwrap_or(u32::MAX);
    }
    let host = hosts::Row {
        host: settings.host.clone(),
        incarnation: edge.incarnation.clone(),
        zone: settings.zone.clone(),
        address: settings.listen.front,
        relay: settings.listen.relay,
        ready: edge.is_ready(),
        weight: settings.weight,
        offset: store.map(|store| clock::wall_millis() - store),
        at,
    };
    let ledger = ledger::Row {
        run: host.key(),
        at,
        ended,
        windows: edge.tally.borrow().windows().clone(),
        offers: offers.into_iter().collect(),
    };
    Beat { host, ledger }
}
