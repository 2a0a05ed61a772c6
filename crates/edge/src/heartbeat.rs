//! Publishes this host's rows: its addresses and readiness, its usage and its demand.

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{Era, Revision};
use agate_model::revision;
use agate_store::Error;
use agate_wire::table::{Check, Transaction, Write};
use tokio::time::{Instant, sleep};

use crate::clock;
use crate::edge::Edge;
use crate::handover::{self, Heartbeat, Receipt};
use crate::metrics::count;
use crate::peer::{self, Client};
use crate::share::{self, Digest};
use crate::{hosts, ledger};

/// Interval between two writes to the store by a host that writes for itself or for its zone. Even
/// with the handover before it and the read after it, a row stays younger than the time after which
/// its host counts as lost.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval between two handovers to the reader of the zone.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(800);
/// Age of the last acknowledged rows or of the evidence after which a host writes by itself: the
/// time of a handover and a write, and a margin.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time for which a reader that accepts heartbeats may take to write one: its interval and the
/// duration of a call. After an outage, all hosts of a zone wait for the first write of their reader
/// in place of writing themselves.
const READER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Shortest interval between two heartbeats that are sent for what they say of prompts.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a change after which a row belongs to an incarnation that has ended. The lease
/// holder removes such rows; their usage has been reported long before.
const STALE_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of incarnations whose rows are removed in one transaction.
const MAX_REMOVED: usize = 3;
/// Maximum number of further ledger rows that are removed with an incarnation. A host writes as many only
/// with thousands of accounts.
const MAX_REMOVED_PARTS: usize = 4;
/// Maximum number of rows of heartbeats in one transaction. The store accepts a hundred entries, of which
/// some remove rows or state conditions.
const MAX_BATCH: usize = 80;
/// Status of the store's response to a row or a transaction that is too large.
const TOO_LARGE: u16 = 413;
/// Maximum size of the row values of one transaction, in bytes; the store accepts 1 MB including
/// encoding.
const MAX_BATCH_BYTES: usize = 400 << 10;

/// What a host knows of the heartbeats that it published.
struct Publisher {
    /// Timestamp of the last rows that the store has acknowledged, in milliseconds of its clock.
    acknowledged: u64,
    /// When a reader first accepted a heartbeat without having written one since; `None` if the last
    /// one wrote or was not reached.
    waiting_since: Option<Instant>,
    /// When this host last wrote to the store.
    last_write: Option<Instant>,
}

impl Publisher {
    /// Records the outcome of a handover.
    fn record(&mut self, receipt: Option<&Receipt>) {
        let Some(receipt) = receipt else {
            self.waiting_since = None;
            return;
        };
        if receipt.written > self.acknowledged {
            self.acknowledged = receipt.written;
            self.waiting_since = None;
        }
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Returns whether a reader that accepts heartbeats has failed for too long to write this host's
    /// rows or to provide evidence. `at` is the timestamp of the current rows.
    fn is_overdue(&self, edge: &Edge, at: u64) -> bool {
        let unwritten = Duration::from_millis(at.saturating_sub(self.acknowledged));
        let evidence = edge.evidence_age();
        let is_late = unwritten > ACK_TIMEOUT || evidence.is_none_or(|age| age > ACK_TIMEOUT);
        let waiting = self.waiting_since.map_or(Duration::ZERO, |at| at.elapsed());
        is_late && waiting > READER_TIMEOUT
    }
}

/// Publishes heartbeats until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let link = Client::default();
    let mut publisher = Publisher {
        acknowledged: 0,
        waiting_since: None,
        last_write: None,
    };
    // Era of the last heartbeat.
    let mut era = None;
    // The random delay spreads the writes of hosts that start at the same time.
    let mut delay = HANDOVER_INTERVAL.mul_f64(rand::random_range(0.1..0.6));
    loop {
        let wake = wait(&edge, delay, era).await;
        let mut own = heartbeat(&edge, false);
        era = own.host.era;
        let receipt = handover::deliver(&edge, &link, &own).await;
        publisher.record(receipt.as_ref().ok());
        // The readers probe the store already.
        let is_lost = receipt.as_ref().is_err_and(peer::Error::is_outage);
        if is_lost && !edge.outage.is_active() {
            edge.outage.suspect(Instant::now(), edge.probe_limit());
        }
        let is_reader = !edge.inbox.is_empty();
        if is_reader {
            let mut recent = edge.recent.borrow_mut();
            recent.record(Instant::now(), &own.ledger.run, &own.sums);
            edge.learn(recent.sums());
        }
        if receipt.is_err() && !edge.is_reader() {
            edge.restore_endpoints(&own.endpoints);
        }
        if edge.is_reader() {
            own.host.endpoints = share_endpoints(&edge, &own);
        }
        let write_age = publisher.last_write.map(|at| at.elapsed());
        let write_interval = match wake {
            Wake::Urgent => URGENT_INTERVAL,
            _ if edge.outage.is_recovering(Instant::now()) => WRITE_INTERVAL / 2,
            _ => WRITE_INTERVAL,
        };
        let (is_due, interval) = match receipt {
            Ok(_) if is_reader => (
                write_age.is_none_or(|age| age >= write_interval),
                HANDOVER_INTERVAL,
            ),
            Ok(_) => (publisher.is_overdue(&edge, own.host.at), HANDOVER_INTERVAL),
            Err(_) if edge.outage.is_active() => (true, HANDOVER_INTERVAL),
            Err(_) => (true, write_interval),
        };
        delay = interval.mul_f64(rand::random_range(0.9..1.0));
        if wake != Wake::Probe && (!is_due || edge.outage.is_active()) {
            continue;
        }
        if edge.is_sealed() {
            // The last heartbeat is being written, and says more than this one.
            return;
        }
        let at = own.host.at;
        match write(&edge, own).await {
            Ok(()) => {
                publisher.acknowledged = publisher.acknowledged.max(at);
                publisher.last_write = Some(Instant::now());
            }
            Err(err) => {
                tracing::warn!(event = "heartbeat_failed", error = %err);
                edge.outage.record_failure(Instant::now());
                delay = RETRY_DELAY;
            }
        }
    }
}

/// Adds this host's part of the load of the endpoints to those of the hosts for which it reads, and
/// learns the sums of all. Returns those of its own hosts, for other readers.
fn share_endpoints(edge: &Edge, own: &Heartbeat) -> Digest {
    let now = Instant::now();
    let mut shared = edge.shared.borrow_mut();
    if let Some(part) = share::decode(&own.endpoints, "self") {
        shared.record(now, &own.ledger.run, part.clone());
        edge.learn_totals(&shared.totals(now), &part);
    }
    Digest::from(&shared.zone(now))
}

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wake {
    /// The interval is over.
    Due,
    /// Other hosts need to know what this one knows of prompts, or has in force after the store has returned.
    Urgent,
    /// It is to be written to the store to probe that: there is an outage and it is this task's turn.
    Probe,
}

/// Waits until the next heartbeat is needed; the last one was built in `era`.
async fn wait(edge: &Edge, delay: Duration, era: Option<Era>) -> Wake {
    let has_outage = edge.outage.is_active();
    let urgent = async {
        sleep(URGENT_INTERVAL).await;
        edge.wait_urgent().await;
    };
    tokio::select! {
        () = sleep(delay) => Wake::Due,
        () = urgent => Wake::Urgent,
        // Other hosts wait for what this one has in force.
        () = edge.eras.wait_return(era) => Wake::Urgent,
        () = edge.wait_for_probe(), if has_outage => match edge.outage.is_active() {
            true => Wake::Probe,
            false => Wake::Due,
        },
    }
}

/// Publishes a heartbeat at once, both through the reader and directly: the reader must not write
/// an older copy afterwards. `is_last` marks the incarnation as ended.
pub async fn publish(edge: &Edge, is_last: bool) {
    let own = heartbeat(edge, is_last);
    let receipt = handover::deliver(edge, &Client::default(), &own).await;
    if let Err(err) = receipt
        && !matches!(err, peer::Error::NoReader)
    {
        tracing::info!(event = "heartbeat_not_handed_over", error = %err);
    }
    if let Err(err) = write(edge, own).await {
        tracing::warn!(event = "heartbeat_failed", error = %err);
    }
}

/// Writes the rows of this host and those that were handed over to it, once an earlier write has ended.
async fn write(edge: &Edge, own: Heartbeat) -> Result<(), Error> {
    let _writing = edge.row_write.lock().await;
    let mut heartbeats = edge.inbox.take();
    heartbeats.insert(0, own);
    let mut rest = heartbeats.as_slice();
    while !rest.is_empty() {
        let (count, writes) = batch(edge, rest)?;
        let outcome = commit_batch(edge, writes).await;
        record_outcome(edge, outcome.is_ok());
        outcome?;
        edge.outage.end(Instant::now());
        let (written, more) = rest.split_at(count);
        edge.inbox.record_written(written);
        rest = more;
    }
    Ok(())
}

/// Counts the outcome of a write.
fn record_outcome(edge: &Edge, is_ok: bool) {
    let outcome = if is_ok {
        "heartbeat"
    } else {
        "heartbeat_failed"
    };
    count(&edge.metrics.calls, outcome);
}

/// Returns the number of heartbeats that fit into one transaction, and its writes. If this host
/// holds the lease, these include the removal of stale rows.
fn batch(edge: &Edge, heartbeats: &[Heartbeat]) -> Result<(usize, Vec<Write>), Error> {
    let max_rows = MAX_BATCH
        .saturating_sub(edge.evacuation_checks().len())
        .max(1);
    let mut writes = Vec::new();
    let mut count = 0;
    let mut bytes = 0;
    for heartbeat in heartbeats {
        let mut rows = vec![row(hosts::TABLE, &heartbeat.host.key(), &heartbeat.host)?];
        for part in heartbeat.ledger.clone().split() {
            rows.push(row(ledger::TABLE, &part.run, &part)?);
        }
        let length = |write: &Write| write.value.as_ref().map_or(0, String::len);
        bytes += rows.iter().map(length).sum::<usize>();
        let is_full = bytes > MAX_BATCH_BYTES || writes.len() + rows.len() > max_rows;
        if count > 0 && is_full {
            break;
        }
        writes.extend(rows);
        count += 1;
    }
    if edge.lease.permit().is_some() {
        for key in edge
            .hosts
            .borrow()
            .stale(STALE_AFTER)
            .into_iter()
            .take(MAX_REMOVED)
        {
            let ledger = edge.ledger.borrow();
            let further = ledger.further_keys(&key);
            let further = further
                .take(MAX_REMOVED_PARTS)
                .map(|key| (ledger::TABLE, key));
            let rows = [(hosts::TABLE, key.as_str()), (ledger::TABLE, &key)];
            writes.extend(further.chain(rows).map(|(table, key)| Write {
                table: table.to_owned(),
                key: key.to_owned(),
                value: None,
            }));
        }
    }
    Ok((count, writes))
}

/// Returns the write of a row with its value as JSON.
fn row<T: serde::Serialize>(table: &str, key: &str, row: &T) -> Result<Write, Error> {
    let value = serde_json::to_string(row).map_err(|err| {
        Error::Unreached(format!("cannot encode row {key} of table {table}: {err}"))
    })?;
    Ok(Write {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(value),
    })
}

/// Commits a batch, on the condition that the configuration and the evacuations in force are the newest
/// if possible.
async fn commit_batch(edge: &Edge, writes: Vec<Write>) -> Result<(), Error> {
    let outcome = match edge.config_revision.get() {
        Some(revision) => confirm(edge, &writes, revision).await,
        None => commit(edge, Vec::new(), writes.clone()).await.map(drop),
    };
    // The rows must be written even if there is a newer configuration or evacuation.
    match outcome {
        Err(Error::Conflict(_)) => {
            edge.config_outdated.notify_waiters();
            commit(edge, Vec::new(), writes).await.map(drop)
        }
        // A ledger row that the store does not accept must not stop the heartbeats of a zone.
        Err(Error::Refused {
            status: TOO_LARGE,
            message,
        }) if writes.iter().any(|write| write.table == ledger::TABLE) => {
            tracing::error!(event = "ledger_refused", error = message);
            let hosts = writes
                .into_iter()
                .filter(|write| write.table == hosts::TABLE);
            Box::pin(commit_batch(edge, hosts.collect())).await
        }
        outcome => outcome,
    }
}

/// Commits on the condition that the configuration and the evacuations in force are the newest. Success
/// is evidence of that, dated at the time when the request was sent.
async fn confirm(edge: &Edge, writes: &[Write], revision: Revision) -> Result<(), Error> {
    let (table, key) = edge.remote.decoder.config_row();
    let mut checks = edge.evacuation_checks();
    checks.push(Check {
        table: table.to_owned(),
        key: key.to_owned(),
        revision: Some(revision),
    });
    let sent_at = clock::boot();
    let committed = commit(edge, checks, writes.to_vec()).await?;
    if revision::is_same_era(committed, revision) {
        edge.confirm(sent_at);
    }
    Ok(())
}

/// Commits a transaction. Records its revision and returns it.
async fn commit(edge: &Edge, checks: Vec<Check>, writes: Vec<Write>) -> Result<Revision, Error> {
    let transaction = Transaction { checks, writes };
    let commit = edge.remote.tables.commit(&transaction).await?;
    edge.newest_revision
        .set(edge.newest_revision.get().max(commit.revision));
    Ok(commit.revision)
}

/// Builds the heartbeat of this host; `ended` marks its incarnation as ended.
fn heartbeat(edge: &Edge, ended: bool) -> Heartbeat {
    let settings = edge.settings.borrow();
    let store = edge.store_clock.get().now(clock::boot());
    let at = store.map_or(0, |millis| u64::try_from(millis).unwrap_or(0));
    let mut offers = edge.offers.borrow().clone();
    for (service, offer) in &mut offers {
        offer.running = edge.board.borrow().running(service).0;
        offer.waiting = u32::try_from(edge.queue(service).len()).unwrap_or(u32::MAX);
    }
    let host = hosts::Row {
        host: settings.host.clone(),
        incarnation: edge.incarnation.clone(),
        zone: settings.zone.clone(),
        address: settings.listen.front,
        relay: settings.listen.relay,
        ready: edge.is_ready(),
        leaving: edge.is_leaving(),
        weight: settings.weight,
        offset: store.map(|store| clock::wall_millis() - store),
        at,
        era: edge.eras.known(),
        held: edge.held(),
        evidence: edge.evidence_report(),
        limits: edge.limit_report(),
        endpoints: Digest::default(),
    };
    let ledger = ledger::Row {
        run: host.key(),
        at,
        ended,
        windows: edge.usage.borrow().windows().clone(),
        offers: offers.into_iter().collect(),
    };
    Heartbeat {
        host,
        ledger,
        sums: edge.request_sums(),
        endpoints: Digest::from(&edge.board.borrow_mut().take_news(Instant::now())),
    }
}
