//! Follows tables of the store: the configuration, the endpoints, the rows of hosts and the ledger.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{EndpointId, Epoch};
use agate_store::Error;
use agate_store::interface::{Change, Changes};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, TryFutureExt as _};
use tokio::time::{Instant, sleep, sleep_until};

use crate::clock;
use crate::edge::Edge;
use crate::hosts::{self, Row};
use crate::ledger;
use crate::metrics::count;
use crate::relay::{Client, Relayed, Source};
use crate::removal::{Decision, Removals};
use crate::{outage, peer};

/// Duration of a long poll for a change of the configuration. Heartbeats provide the evidence that
/// there is none; this bounds the time for which a silent connection can hide a change.
const CONFIG_WAIT: Duration = Duration::from_secs(25);
/// Name under which hosts hand the configuration on.
const CONFIG_RELAY_TABLE: &str = "config";
/// Maximum age of a configuration that is accepted from another host, longer than the long poll: its
/// age is no evidence of any kind.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(30);
/// Longest interval between two reads from another host, each of which waits for a change.
const MAX_RELAY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest long poll at another host, so that a silent one is noticed.
const MAX_RELAY_WAIT: Duration = Duration::from_secs(2);
/// Interval between two checks for a reader when the process has just started.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Consecutive reads from another host with rows that differ from that host's after which the store is
/// read.
const MAX_DIVERGENCES: u32 = 2;
/// Delay before the store is asked for a change that another host is about to hand on.
const OUTDATED_DELAY: Duration = Duration::from_millis(200);
/// Duration of a long poll for a change of the list of endpoints.
const ENDPOINT_WAIT: Duration = Duration::from_millis(600);
/// Maximum age of a list of endpoints that is accepted from another host. It is longer than the
/// long poll and the interval of the reader; together with the interval of this host it is below
/// the time after which a leaving endpoint must get no new work.
const MAX_ENDPOINT_AGE: Duration = Duration::from_millis(1300);
/// Interval between two reads of the host rows. They change all the time, so a long poll would
/// return at once.
const HOST_INTERVAL: Duration = Duration::from_millis(1200);
/// Maximum age of host rows that are accepted from another host.
const MAX_HOST_AGE: Duration = Duration::from_millis(1600);
/// Minimum interval between two reads of the configuration, so that many changes in a short time
/// are read in batches.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two reads of the list of endpoints.
const ENDPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reads of the ledger by the lease holder.
const LEDGER_INTERVAL: Duration = Duration::from_millis(900);
/// Interval at which a host without the lease checks whether it holds it.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Added to the long poll's duration for the longest time between two checks of due work.
const MAX_DUE_DELAY: Duration = Duration::from_millis(250);

/// Subtracted from the time after which an endpoint that has left must get no new work, for the
/// transit of a request that is just being sent.
const HOLD_MARGIN: Duration = Duration::from_millis(300);

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
    fn publish(&self, _edge: &Edge, changes: Changes, _is_snapshot: bool) -> Changes {
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
    /// Records that a read from the store failed.
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
    after: Option<u64>,
    /// Whether the last read failed.
    is_lost: bool,
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
                let interval = match is_recovering || self.edge.is_starting() {
                    true => self.interval / 2,
                    false if self.is_relayed => self.interval.min(MAX_RELAY_INTERVAL),
                    false => self.interval,
                };
                sleep(interval.saturating_sub(started.elapsed())).await;
            }
            Err(err) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    tracing::warn!(event = "store_lost", table = self.table, error = %err);
                }
                count(&self.edge.metrics.calls, "feed_failed");
                self.sink.lost();
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
                None if self.waits_for_reader => self.read_first().await,
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

    /// Passes changes from another host to the sink.
    fn apply_relayed(&mut self, relayed: Relayed) {
        let Some(relay) = &self.relay else { return };
        self.edge.outage.dispel(Instant::now());
        let (revision, clock) = (relayed.changes.revision, relayed.changes.clock);
        let mirrors = &self.edge.mirrors;
        let (changes, is_snapshot) = (&relayed.changes, relayed.is_snapshot);
        mirrors.record(relay.table, changes, is_snapshot, Source::Host);
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
        let mut call = relay.changes(self.after, wait).boxed_local();
        let changes = loop {
            let due = self.sink.due(&self.edge);
            let due = due.unwrap_or_else(|| Instant::now() + wait + MAX_DUE_DELAY);
            let outdated = async {
                self.sink.outdated(&self.edge).await;
                sleep(OUTDATED_DELAY).await;
            };
            tokio::select! {
                biased;
                changes = &mut call => break changes?,
                () = outdated => return Err(peer::Error::NoReader),
                () = sleep_until(due) => {}
            }
        };
        count(&self.edge.metrics.calls, "relayed");
        Ok(changes)
    }

    /// Reads a snapshot or the changes from the store and passes them to the sink. `is_probe` tells
    /// that the read is to show whether the store is back.
    async fn read_store(&mut self, is_probe: bool) -> Result<(), Error> {
        let feed = self.edge.remote.feed.clone();
        let sent = clock::boot();
        let newest_revision = self.edge.newest_revision.get();
        let mut call = match self.after {
            None => feed.snapshot(self.table).map_ok(Some).boxed_local(),
            // A probe and the first read after a failure return at once.
            Some(after) if self.is_lost || is_probe => {
                feed.changes(self.table, after, Duration::ZERO)
            }
            Some(after) => feed.changes(self.table, after, self.wait),
        };
        let changes = loop {
            let due = self.sink.due(&self.edge);
            let due = due.unwrap_or_else(|| Instant::now() + self.wait + MAX_DUE_DELAY);
            tokio::select! {
                biased;
                changes = &mut call => break changes?,
                () = self.sink.outdated(&self.edge) => {
                    // The long poll has missed a change: its connection is silent.
                    call = feed.snapshot(self.table).map_ok(Some).boxed_local();
                }
                () = sleep_until(due) => {}
            }
        };
        drop(call);
        count(&self.edge.metrics.calls, "feed");
        self.edge.outage.end(Instant::now());
        let Some(changes) = changes else {
            tracing::warn!(
                event = "history_lost",
                table = self.table,
                after = self.after
            );
            self.after = None;
            return Ok(());
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
            mirrors.record(relay.table, &changes, is_snapshot, Source::Store);
        }
        Ok(())
    }
}

/// Puts new versions of the configuration in force.
struct ConfigSink {
    /// Key of the configuration's row.
    key: &'static str,
}

impl ConfigSink {
    fn apply(&self, edge: &Edge, change: &Change) {
        if change.key != self.key {
            return;
        }
        let Some(value) = &change.value else { return };
        match edge.remote.decoder.config(value) {
            Ok(config) => edge.configure(config, change.revision),
            Err(fault) => tracing::error!(
                event = "config_malformed",
                row = change.key,
                revision = change.revision,
                fault = %fault,
            ),
        }
    }
}

impl ConfigSink {
    /// Puts a version in force that another host published.
    fn apply_relayed(edge: &Edge, change: &Change) -> Outcome {
        let Some(value) = &change.value else {
            return Outcome::Complete;
        };
        match serde_json::from_slice(value) {
            Ok(config) => {
                edge.configure(config, change.revision);
                Outcome::Complete
            }
            Err(err) => {
                // The other host may run another build.
                tracing::warn!(
                    event = "config_malformed",
                    row = change.key,
                    revision = change.revision,
                    error = %err,
                );
                Outcome::Diverged
            }
        }
    }
}

impl Sink for ConfigSink {
    /// Publishes the configuration in force, in which keys are replaced by their digests.
    fn publish(&self, edge: &Edge, changes: Changes, is_snapshot: bool) -> Changes {
        let config = edge.config().zip(edge.config_revision.get());
        let row = config.and_then(|(config, revision)| {
            let is_new = is_snapshot || changes.rows.iter().any(|row| row.revision == revision);
            let value = serde_json::to_vec(&*config)
                .inspect_err(|err| tracing::error!(event = "config_not_published", error = %err));
            is_new.then_some(Change {
                key: self.key.to_owned(),
                value: Some(Bytes::from(value.ok()?)),
                revision,
            })
        });
        Changes {
            rows: row.into_iter().collect(),
            ..changes
        }
    }

    fn relayed(&mut self, edge: &Edge, relayed: Relayed) -> Outcome {
        let rows = relayed.changes.rows.iter();
        let outcomes = rows.map(|change| Self::apply_relayed(edge, change));
        outcomes
            .filter(|outcome| *outcome == Outcome::Diverged)
            .last()
            .unwrap_or(Outcome::Complete)
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, _is_behind: bool) {
        for change in changes.rows {
            self.apply(edge, &change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        self.apply(edge, &change);
    }

    fn outdated<'a>(&self, edge: &'a Edge) -> LocalBoxFuture<'a, ()> {
        Box::pin(edge.config_outdated.notified())
    }

    fn confirmed(&mut self, edge: &Edge, at: Duration, _clock: u64) {
        if edge.config().is_some() {
            edge.confirm(at);
        }
    }
}

/// Applies changes to the list of endpoints.
struct EndpointSink {
    /// Removed rows whose endpoints are still kept.
    lapses: Removals,
}

impl EndpointSink {
    fn apply(&mut self, edge: &Edge, change: &Change) {
        let Some(value) = &change.value else {
            return self.remove(edge, &change.key);
        };
        match edge.remote.decoder.endpoint(&change.key, value) {
            Ok(endpoint) => {
                self.lapses.restore(&change.key);
                let change = edge.roster.borrow_mut().insert(endpoint);
                if let Some(change) = change {
                    edge.apply(&change);
                }
            }
            Err(fault) => {
                tracing::warn!(event = "endpoint_malformed", row = change.key, fault = %fault);
                drop_endpoint(edge, &change.key);
            }
        }
    }

    /// Removes an endpoint, or holds it for a while if its row may have been lost by an outage.
    fn remove(&mut self, edge: &Edge, id: &EndpointId) {
        match self.lapses.remove(Instant::now(), id) {
            Decision::Apply => drop_endpoint(edge, id),
            Decision::Hold => tracing::info!(event = "endpoint_lapsed", endpoint = id),
        }
    }
}

/// Removes an endpoint from the list at once.
fn drop_endpoint(edge: &Edge, id: &str) {
    let change = edge.roster.borrow_mut().remove(id);
    if let Some(change) = change {
        edge.apply(&change);
    }
}

impl Sink for EndpointSink {
    fn start_batch(&mut self) {
        self.lapses.start_response();
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool) {
        let listed: HashSet<&String> = changes.rows.iter().map(|change| &change.key).collect();
        let known: Vec<String> = edge.roster.borrow().ids().cloned().collect();
        for id in known.iter().filter(|id| !is_behind && !listed.contains(id)) {
            self.remove(edge, id);
        }
        for change in &changes.rows {
            self.apply(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        self.apply(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, _clock: u64) {
        if !edge.has_roster.replace(true) {
            tracing::info!(
                event = "endpoints_known",
                count = edge.roster.borrow().ids().count()
            );
        }
    }

    /// A leaving endpoint must get no new work after a while, whose larger part the age of changes
    /// from another host may take.
    fn max_delay(&self, edge: &Edge) -> Option<Duration> {
        let drain = edge.settings.borrow().bounds.drain;
        Some(drain.saturating_sub(MAX_ENDPOINT_AGE + ENDPOINT_INTERVAL + HOLD_MARGIN))
    }

    fn lost(&mut self) {
        self.lapses.store_unavailable();
    }

    fn due(&mut self, edge: &Edge) -> Option<Instant> {
        for id in self.lapses.take_expired(Instant::now()) {
            drop_endpoint(edge, &id);
        }
        self.lapses.next_expiry()
    }
}

/// Applies changes to the rows of hosts and to the lease, which is a row of the same table.
#[derive(Default)]
struct HostSink {
    /// Epoch of the last lease of this host; `None` before the first.
    epoch: Option<Epoch>,
}

impl HostSink {
    fn apply(edge: &Edge, change: &Change) {
        if change.key == hosts::LEASE_KEY {
            edge.lease.observe_row(change);
            return;
        }
        let mut hosts = edge.hosts.borrow_mut();
        let Some(value) = &change.value else {
            hosts.remove(&change.key);
            return;
        };
        match serde_json::from_slice::<Row>(value) {
            Ok(row) => hosts.insert(row),
            Err(err) => tracing::warn!(event = "host_malformed", row = change.key, error = %err),
        }
    }
}

impl Sink for HostSink {
    /// The holder of the lease removes the rows of ended incarnations, which are not handed on.
    fn needs_snapshot(&mut self, edge: &Edge) -> bool {
        let Some(permit) = edge.lease.permit() else {
            return false;
        };
        self.epoch.replace(permit.epoch()) != Some(permit.epoch())
    }

    /// Publishes the live hosts. Rows change with each heartbeat, but other hosts need them only
    /// when something else than their time has changed.
    fn publish(&self, edge: &Edge, changes: Changes, is_snapshot: bool) -> Changes {
        let known = edge.mirrors.rows(hosts::RELAY_TABLE);
        let (known, revision) = known.filter(|_| !is_snapshot).unwrap_or_default();
        let hosts = edge.hosts.borrow();
        let rows = match is_snapshot || changes.revision > revision {
            true => hosts.differences(Instant::now(), &known),
            // Other hosts have read everything up to this revision, so they would miss the rows.
            false => Vec::new(),
        };
        let rows = rows.into_iter().map(|(key, value)| Change {
            key,
            value,
            revision: changes.revision,
        });
        Changes {
            rows: rows.collect(),
            ..changes
        }
    }

    fn relayed(&mut self, edge: &Edge, relayed: Relayed) -> Outcome {
        let mut hosts = edge.hosts.borrow_mut();
        if relayed.is_snapshot {
            hosts.clear();
        }
        for change in &relayed.changes.rows {
            match &change.value {
                None => hosts.remove(&change.key),
                Some(value) => match serde_json::from_slice::<Row>(value) {
                    Ok(row) => hosts.replace(row),
                    Err(err) => {
                        tracing::warn!(event = "host_malformed", row = change.key, error = %err);
                    }
                },
            }
        }
        let now = Instant::now();
        hosts.renew(now, relayed.changes.clock);
        match relayed
            .digest
            .is_none_or(|digest| digest == hosts.digest(now))
        {
            true => Outcome::Complete,
            false => Outcome::Diverged,
        }
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, _is_behind: bool) {
        for change in &changes.rows {
            Self::apply(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        Self::apply(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, clock: u64) {
        edge.hosts.borrow_mut().observe(Instant::now(), clock);
        edge.lease.mark_read();
    }
}

/// Applies changes to the ledger.
struct LedgerSink;

impl LedgerSink {
    fn apply(edge: &Edge, change: &Change) {
        let mut ledger = edge.ledger.borrow_mut();
        let Some(value) = &change.value else {
            ledger.remove(&change.key);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(row) => ledger.insert(row),
            Err(err) => tracing::warn!(event = "ledger_malformed", row = change.key, error = %err),
        }
    }
}

impl Sink for LedgerSink {
    fn snapshot(&mut self, edge: &Edge, changes: Changes, _is_behind: bool) {
        for change in &changes.rows {
            Self::apply(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        Self::apply(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, clock: u64) {
        edge.ledger.borrow_mut().observe(clock);
    }
}

/// Runs the due work of a sink whenever it is due. Never returns.
async fn run_due<S: Sink>(edge: &Edge, sink: &mut S) {
    while let Some(due) = sink.due(edge) {
        sleep_until(due).await;
    }
    std::future::pending::<()>().await;
}

/// Follows the configuration until the task is dropped.
pub async fn config(edge: Rc<Edge>) {
    let (table, key) = edge.remote.decoder.config_row();
    let sink = ConfigSink { key };
    let relay = Some((CONFIG_RELAY_TABLE, MAX_CONFIG_AGE));
    follower(edge, table, CONFIG_WAIT, CONFIG_INTERVAL, relay, sink)
        .run()
        .await;
}

/// Follows the list of endpoints until the task is dropped.
pub async fn endpoints(edge: Rc<Edge>) {
    let table = edge.remote.decoder.endpoint_table();
    let hold = edge
        .settings
        .borrow()
        .bounds
        .drain
        .saturating_sub(HOLD_MARGIN);
    let sink = EndpointSink {
        lapses: Removals::new(hold),
    };
    follower(
        edge,
        table,
        ENDPOINT_WAIT,
        ENDPOINT_INTERVAL,
        Some((table, MAX_ENDPOINT_AGE)),
        sink,
    )
    .run()
    .await;
}

/// Follows the rows of hosts until the task is dropped.
pub async fn hosts(edge: Rc<Edge>) {
    let relay = Some((hosts::RELAY_TABLE, MAX_HOST_AGE));
    follower(
        edge,
        hosts::TABLE,
        Duration::ZERO,
        HOST_INTERVAL,
        relay,
        HostSink::default(),
    )
    .run()
    .await;
}

/// Follows the ledger while this host holds the lease, until the task is dropped. The ledger is
/// cleared when the lease is lost.
pub async fn ledger(edge: Rc<Edge>) {
    let mut active = None;
    loop {
        if edge.lease.permit().is_none() {
            if active.take().is_some() {
                edge.ledger.take();
            }
            sleep(LEASE_CHECK_INTERVAL).await;
            continue;
        }
        let follower = active.get_or_insert_with(|| {
            let wait = Duration::ZERO;
            follower(
                edge.clone(),
                ledger::TABLE,
                wait,
                LEDGER_INTERVAL,
                None,
                LedgerSink,
            )
        });
        follower.poll().await;
    }
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
        is_lost: false,
        is_direct: false,
        is_relayed: false,
        divergences: 0,
        waits_for_reader: table != hosts::TABLE && relay.is_some(),
        relay,
        sink,
    }
}
