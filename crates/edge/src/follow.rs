//! Follows tables of the store: the configuration, the endpoints, the rows of hosts and the ledger.

mod config;
mod endpoints;
mod hosts;
mod ledger;

use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use agate_model::id::{Era, Revision};
use agate_model::revision;
use agate_store::Error;
use agate_store::interface::{Change, Changes, ResponseFuture};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, TryFutureExt as _};
use tokio::time::{Instant, sleep, sleep_until};

pub use self::config::config;
pub use self::endpoints::endpoints;
pub use self::hosts::hosts;
pub use self::ledger::ledger;
use crate::clock;
use crate::edge::Edge;
use crate::metrics::{Read, count};
use crate::relay::{Client, Relayed, Source};
use crate::{outage, peer};

/// Longest interval between two reads from another host, each of which waits for a change.
const MAX_RELAY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest long poll at another host, so that a silent one is noticed.
const MAX_RELAY_WAIT: Duration = Duration::from_secs(2);
/// Interval between two checks for a reader when the process has just started.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Consecutive reads from another host with rows that differ from that host's after which the store is
/// read.
const MAX_DIVERGENCES: u32 = 2;
/// Time without a byte received after which a read that a change should have ended is taken for silent.
const OUTDATED_DELAY: Duration = Duration::from_millis(200);
/// Added to the long poll's duration for the longest time between two checks of due work.
const MAX_DUE_DELAY: Duration = Duration::from_millis(250);

/// How many times as often a table is read whose changes are urgent.
const URGENT_DIVISOR: u32 = 4;

/// Labels of the source of a read.
const HOST: &str = "host";
const STORE: &str = "store";
/// Labels of the outcome of a read.
const COMPLETE: &str = "complete";
const FAILED: &str = "failed";
const ABANDONED: &str = "abandoned";

/// Whether a sink has all rows after changes that another host published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// It has all rows.
    Complete,
    /// It has other rows than that host, so a snapshot is needed.
    Diverged,
}

/// Receiver of the changes of one table.
trait Sink {
    /// Starts a batch of changes from one response.
    fn start_batch(&mut self) {}
    /// Applies all rows of the table. If `is_behind`, the snapshot is older than a known revision,
    /// and rows that it lacks may exist.
    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool);
    /// Applies the change of one row.
    fn change(&mut self, edge: &Edge, change: Change);
    /// Returns what other hosts get to know of changes, or of a snapshot, that were applied.
    fn publish(&mut self, _edge: &Edge, changes: Changes, _is_snapshot: bool) -> Changes {
        changes
    }
    /// Returns whether all rows are to be read from the store, since other hosts hand on only a part
    /// of what is needed now.
    fn needs_snapshot(&mut self, _edge: &Edge) -> bool {
        false
    }
    /// Applies changes that another host published.
    fn relayed(&mut self, edge: &Edge, relayed: Relayed) -> Outcome {
        if relayed.is_snapshot {
            self.snapshot(edge, relayed.changes, false);
        } else {
            for change in relayed.changes.rows {
                self.change(edge, change);
            }
        }
        Outcome::Complete
    }
    /// Records that the store had nothing newer at `at`, in time since boot; `clock` is the store's
    /// clock in milliseconds. For relayed changes `at` is zero, which is no evidence.
    fn confirmed(&mut self, _edge: &Edge, _at: Duration, _clock: u64) {}
    /// Returns how much longer changes may take when other hosts have lost the store; `None` if there
    /// is no limit.
    fn max_delay(&self, _edge: &Edge) -> Option<Duration> {
        None
    }
    /// Returns whether changes matter so much that the table is read more often.
    fn is_urgent(&self, _edge: &Edge) -> bool {
        false
    }
    /// Records that the next changes are the first ones after the store has returned from an older copy:
    /// they show what the copy has, and what was written since.
    fn start_era(&mut self, _edge: &Edge) {}
    /// Records that a read from the store failed, or that the next changes are another host's first
    /// ones after that.
    fn lost(&mut self) {}
    /// Waits until another source reports that the table has changed.
    fn outdated<'a>(&self, _edge: &'a Edge) -> LocalBoxFuture<'a, ()> {
        Box::pin(std::future::pending())
    }
    /// Does the work that is due without a response. Returns when more is due; `None` if nothing
    /// is.
    fn due(&mut self, _edge: &Edge) -> Option<Instant> {
        None
    }
}

/// Reads one table again and again and passes its changes to a sink.
struct Follower<S> {
    edge: Rc<Edge>,
    table: &'static str,
    /// Duration of a long poll.
    wait: Duration,
    /// Minimum time from the start of one read to the start of the next.
    interval: Duration,
    /// Revision up to which the sink has all changes; `None` if a snapshot is needed.
    after: Option<Revision>,
    /// Era of the last changes; `None` before the first.
    era: Option<Era>,
    /// Whether the last read failed.
    is_lost: bool,
    /// Whether a read of the store has failed since the last one that succeeded.
    has_failed: bool,
    /// Whether the next read is from the store, whatever other hosts offer.
    is_direct: bool,
    /// Whether the last read was from another host.
    is_relayed: bool,
    /// Consecutive reads from another host after which the rows differed from that host's.
    divergences: u32,
    /// Whether the first read waits until a reader is known.
    waits_for_reader: bool,
    /// Client of the zone's reader, for tables that hosts read from each other.
    relay: Option<Client>,
    sink: S,
}

impl<S: Sink> Follower<S> {
    /// Polls the table until the task is dropped.
    async fn run(mut self) {
        loop {
            self.poll().await;
        }
    }

    /// Reads the table once and waits until the next read may start.
    async fn poll(&mut self) {
        let started = Instant::now();
        match self.step().await {
            Ok(()) => {
                if std::mem::take(&mut self.is_lost) {
                    tracing::info!(event = "store_regained", table = self.table);
                }
                let is_recovering = self.edge.outage.is_recovering(Instant::now());
                let divisor = match is_recovering || self.edge.is_starting() {
                    _ if self.sink.is_urgent(&self.edge) => URGENT_DIVISOR,
                    true => 2,
                    false => 1,
                };
                let interval = match divisor {
                    1 if self.is_relayed => self.interval.min(MAX_RELAY_INTERVAL),
                    divisor => self.interval / divisor,
                };
                sleep(interval.saturating_sub(started.elapsed())).await;
            }
            Err(err) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    tracing::warn!(event = "store_lost", table = self.table, error = %err);
                }
                count(&self.edge.metrics.calls, "feed_failed");
                self.wait_for_probe().await;
            }
        }
    }

    /// Waits until this task may probe the store. Changes that other hosts offer meanwhile are
    /// passed to the sink, which ends the wait as well.
    async fn wait_for_probe(&mut self) {
        let edge = self.edge.clone();
        loop {
            tokio::select! {
                () = edge.wait_for_probe() => {
                    self.is_direct = true;
                    return;
                }
                () = sleep(self.interval), if self.relay.is_some() => {}
                () = run_due(&self.edge, &mut self.sink) => {}
            }
            if let Ok(relayed) = self.read_relayed().await {
                self.apply_relayed(relayed);
                self.is_lost = false;
                return;
            }
        }
    }

    /// Reads changes from the zone's reader, or from the store, and passes them to the sink.
    async fn step(&mut self) -> Result<(), Error> {
        if self.sink.needs_snapshot(&self.edge) {
            self.after = None;
            self.is_direct = true;
        }
        // A host that is served by others learns by probes that it reaches the store again.
        let edge = &self.edge;
        let is_probe = edge.outage.take_probe(Instant::now(), edge.probe_limit());
        if !std::mem::take(&mut self.is_direct) && !is_probe {
            let relayed = match self.after {
                None if self.waits_for_reader && edge.is_starting() => self.read_first().await,
                _ => self.read_relayed().await,
            };
            match relayed {
                Ok(relayed) => {
                    self.apply_relayed(relayed);
                    self.is_relayed = true;
                    return Ok(());
                }
                Err(err) if err.is_outage() && self.suspect_outage() => {
                    return Err(Error::Unreached(err.to_string()));
                }
                Err(_) => {}
            }
        }
        self.is_relayed = false;
        let outcome = self.read_store(is_probe).await;
        if outcome.is_err() {
            self.has_failed = true;
            self.sink.lost();
            self.edge.outage.record_failure(Instant::now());
        }
        outcome
    }

    /// Waits with the next read of the store, since other hosts can't reach it either. Returns whether
    /// the sink bears that delay.
    fn suspect_outage(&self) -> bool {
        let edge = &self.edge;
        let limit = edge.probe_limit();
        let limit = match self.sink.max_delay(edge) {
            Some(delay) => limit.min(delay.div_f64(outage::MAX_JITTER)),
            None => limit,
        };
        let bears = limit >= outage::PROBE_INTERVAL;
        if bears {
            edge.outage.suspect(Instant::now(), limit);
        }
        bears
    }

    /// Tells the sink if the store has returned from an older copy since the changes before. `revision` is
    /// that of the next ones.
    fn start_era(&mut self, revision: Revision) {
        let era = revision::era(revision);
        if self.era.replace(era).is_some_and(|before| before < era) {
            self.sink.start_era(&self.edge);
        }
    }

    /// Passes changes from another host to the sink.
    fn apply_relayed(&mut self, relayed: Relayed) {
        let Some(relay) = &self.relay else { return };
        self.edge.outage.dispel(Instant::now());
        let (revision, clock) = (relayed.changes.revision, relayed.changes.clock);
        tracing::debug!(
            event = "page_applied",
            table = self.table,
            after = self.after,
            revision,
            rows = relayed.changes.rows.len(),
            is_snapshot = relayed.is_snapshot,
        );
        let mirrors = &self.edge.mirrors;
        let (changes, is_snapshot) = (&relayed.changes, relayed.is_snapshot);
        mirrors.record(relay.table, changes, is_snapshot, Source::Host);
        if relayed.is_after_outage {
            self.sink.lost();
        }
        self.start_era(revision);
        self.sink.start_batch();
        match self.sink.relayed(&self.edge, relayed) {
            Outcome::Complete => {
                self.after = Some(revision);
                self.divergences = 0;
            }
            Outcome::Diverged => {
                self.after = None;
                self.divergences += 1;
                self.is_direct = self.divergences >= MAX_DIVERGENCES;
                tracing::info!(event = "relay_diverged", table = self.table, revision);
            }
        }
        self.sink.confirmed(&self.edge, Duration::ZERO, clock);
    }

    /// Reads all rows from the zone's reader when the process has just started; fails if the store is
    /// to be read instead. Hosts that start together wait for each other's rows, so that not every
    /// one reads every table from the store.
    async fn read_first(&mut self) -> Result<Relayed, peer::Error> {
        while self.edge.is_starting() && !self.edge.is_reader() {
            if let Ok(relayed) = self.read_relayed().await {
                return Ok(relayed);
            }
            sleep(READER_CHECK_INTERVAL).await;
        }
        Err(peer::Error::NoReader)
    }

    /// Returns changes from the zone's reader; fails if the store is to be read instead.
    async fn read_relayed(&mut self) -> Result<Relayed, peer::Error> {
        let relay = self.relay.as_ref().ok_or(peer::Error::NoReader)?;
        // A table that changes all the time is polled at the store, but only what other hosts need of
        // it is handed on, so it can be waited for.
        let wait = self.wait.max(self.interval).min(MAX_RELAY_WAIT);
        let started = Instant::now();
        let mut call = relay.changes(self.after, wait).boxed_local();
        let changes = loop {
            let due = self.sink.due(&self.edge);
            let due = due.unwrap_or_else(|| Instant::now() + wait + MAX_DUE_DELAY);
            let outdated = async {
                self.sink.outdated(&self.edge).await;
                wait_for_pause(|| relay.received()).await;
            };
            tokio::select! {
                biased;
                changes = &mut call => break changes,
                () = outdated => {
                    self.record_read(HOST, ABANDONED, started, relay.received());
                    return Err(peer::Error::NoReader);
                }
                () = sleep_until(due) => {}
            }
        };
        let outcome = if changes.is_ok() { COMPLETE } else { FAILED };
        self.record_read(HOST, outcome, started, relay.received());
        let changes = changes?;
        count(&self.edge.metrics.calls, "relayed");
        Ok(changes)
    }

    /// Counts and logs a read of the table with the bytes that were received, 0 if not known.
    fn record_read(
        &self,
        source: &'static str,
        outcome: &'static str,
        started: Instant,
        bytes: usize,
    ) {
        let read = Read {
            table: self.table,
            source,
            outcome,
        };
        self.edge.metrics.reads.get_or_create(&read).inc();
        tracing::debug!(
            event = "table_read",
            table = self.table,
            source,
            outcome,
            bytes,
            took_ms = started.elapsed().as_millis(),
        );
    }

    /// Reads a snapshot or the changes from the store and passes them to the sink. `is_probe` tells
    /// that the read is to show whether the store is back.
    async fn read_store(&mut self, is_probe: bool) -> Result<(), Error> {
        let feed = self.edge.remote.feed.clone();
        let sent = clock::boot();
        let newest_revision = self.edge.newest_revision.get();
        let read = |wait| match self.after {
            None => feed.snapshot(self.table).map_ok(Some).boxed_local(),
            Some(after) => feed.changes(self.table, after, wait),
        };
        // A probe and the first read after a failure return at once.
        let wait = match self.is_lost || is_probe {
            true => Duration::ZERO,
            false => self.wait,
        };
        let mut reads = vec![read(wait)];
        let started = Instant::now();
        let changes = loop {
            let due = self.sink.due(&self.edge);
            let due = due.unwrap_or_else(|| Instant::now() + self.wait + MAX_DUE_DELAY);
            let is_first = reads.len() == 1;
            let outdated = async {
                tokio::select! {
                    () = self.sink.outdated(&self.edge) => {}
                    () = self.edge.eras.wait_later(self.after.unwrap_or(0)), if self.after.is_some() => {}
                }
                wait_for_pause(|| feed.received(self.table)).await;
            };
            tokio::select! {
                biased;
                changes = first_result(&mut reads) => break changes,
                // The connection of the long poll is silent.
                () = outdated, if is_first && !wait.is_zero() => reads.push(read(Duration::ZERO)),
                () = sleep_until(due) => {}
            }
        };
        drop(reads);
        let bytes = changes.as_ref().map_or(0, |changes| {
            let rows = changes.iter().flat_map(|changes| &changes.rows);
            rows.map(|row| row.value.as_ref().map_or(0, Bytes::len))
                .sum()
        });
        let outcome = if changes.is_ok() { COMPLETE } else { FAILED };
        self.record_read(STORE, outcome, started, bytes);
        let changes = changes?;
        let has_failed = std::mem::take(&mut self.has_failed);
        count(&self.edge.metrics.calls, "feed");
        self.edge.outage.end(Instant::now());
        let Some(changes) = changes else {
            tracing::warn!(
                event = "history_lost",
                table = self.table,
                after = self.after
            );
            self.after = None;
            self.has_failed = has_failed;
            // Otherwise all hosts of a zone would read all rows from the store at once.
            if self.relay.is_some() && !self.edge.is_reader() && !self.edge.readers().is_empty() {
                return Ok(());
            }
            return Box::pin(self.read_store(is_probe)).await;
        };
        let received = clock::boot();
        let mut store_clock = self.edge.store_clock.get();
        // The store read its clock between sending and receipt, later only by its own wait.
        store_clock.observe(sent, received, changes.clock);
        self.edge.store_clock.set(store_clock);
        let at = store_clock
            .earliest(changes.clock)
            .unwrap_or(sent)
            .clamp(sent, received);
        let (revision, clock) = (changes.revision, changes.clock);
        let is_snapshot = self.after.is_none();
        let handed_on = self.relay.as_ref().map(|_| changes.clone());
        self.start_era(revision);
        self.sink.start_batch();
        // The response does not cover a revision that was known before the request was sent: it is
        // stale, and rows that it lacks may exist.
        let is_behind = revision < newest_revision;
        if is_behind {
            tracing::warn!(
                event = "store_behind",
                table = self.table,
                revision,
                newest = newest_revision
            );
        }
        if is_snapshot {
            tracing::info!(
                event = "snapshot_read",
                table = self.table,
                revision,
                rows = changes.rows.len(),
            );
            self.sink.snapshot(&self.edge, changes, is_behind);
        } else {
            for change in changes.rows {
                self.sink.change(&self.edge, change);
            }
        }
        self.after = Some(self.after.map_or(revision, |after| after.max(revision)));
        if !is_behind {
            self.edge
                .newest_revision
                .set(self.edge.newest_revision.get().max(revision));
            self.sink.confirmed(&self.edge, at, clock);
        }
        if let (Some(relay), Some(changes)) = (&self.relay, handed_on) {
            let changes = self.sink.publish(&self.edge, changes, is_snapshot);
            let mirrors = &self.edge.mirrors;
            let source = match has_failed {
                true => Source::StoreAfterOutage,
                false => Source::Store,
            };
            mirrors.record(relay.table, &changes, is_snapshot, source);
        }
        Ok(())
    }
}

/// Waits until no byte was received for [`OUTDATED_DELAY`]; `received` counts the bytes.
async fn wait_for_pause(received: impl Fn() -> usize) {
    loop {
        let before = received();
        sleep(OUTDATED_DELAY).await;
        if received() == before {
            return;
        }
    }
}

/// Returns the result of the first of several reads that ends. An error of all but the last read is
/// ignored, since that one was begun to replace them. The reads go on if the future is dropped.
async fn first_result<T>(reads: &mut Vec<ResponseFuture<'_, T>>) -> Result<T, Error> {
    poll_fn(|context| {
        let mut index = 0;
        while index < reads.len() {
            match reads[index].poll_unpin(context) {
                Poll::Pending => index += 1,
                Poll::Ready(Err(_)) if index + 1 < reads.len() => drop(reads.remove(index)),
                Poll::Ready(result) => return Poll::Ready(result),
            }
        }
        Poll::Pending
    })
    .await
}

/// Runs the due work of a sink whenever it is due. Never returns.
async fn run_due<S: Sink>(edge: &Edge, sink: &mut S) {
    while let Some(due) = sink.due(edge) {
        sleep_until(due).await;
    }
    std::future::pending::<()>().await;
}

/// Creates the follower of a table. With `relay`, the name under which hosts hand the table on and
/// the greatest age that is accepted, changes are read from the zone's reader if this host takes part
/// in the relay.
fn follower<S: Sink>(
    edge: Rc<Edge>,
    table: &'static str,
    wait: Duration,
    interval: Duration,
    relay: Option<(&'static str, Duration)>,
    sink: S,
) -> Follower<S> {
    let is_relayed = edge.settings.borrow().listen.relay.is_some();
    let relay = relay.filter(|_| is_relayed);
    let relay = relay.map(|(name, max_age)| Client::new(edge.clone(), name, max_age));
    Follower {
        edge,
        table,
        wait,
        interval,
        after: None,
        era: None,
        is_lost: false,
        has_failed: false,
        is_direct: false,
        is_relayed: false,
        divergences: 0,
        waits_for_reader: table != crate::hosts::TABLE && relay.is_some(),
        relay,
        sink,
    }
}
