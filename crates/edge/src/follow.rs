//! Follows tables of the store: the configuration, the endpoints, the rows of hosts and the ledger.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::EndpointId;
use agate_store::Error;
use agate_store::interface::{Change, Changes};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, TryFutureExt as _};
use tokio::time::{Instant, sleep, sleep_until};

use crate::clock;
use crate::edge::Edge;
use crate::hosts::{self, Row};
use crate::ledger;
use crate::metrics::count;
use crate::relay::Client;
use crate::removal::{Decision, Removals};

/// Duration of a long poll for a change of the configuration. Heartbeats provide the evidence that
/// there is none; this bounds the time for which a silent connection can hide a change.
const CONFIG_WAIT: Duration = Duration::from_secs(25);
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

/// Receiver of the changes of one table.
trait Sink {
    /// Starts a batch of changes from one response.
    fn start_batch(&mut self) {}
    /// Applies all rows of the table. If `is_behind`, the snapshot is older than a known revision,
    /// and rows that it lacks may exist.
    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool);
    /// Applies the change of one row.
    fn change(&mut self, edge: &Edge, change: Change);
    /// Records that the store had nothing newer at `at`, in time since boot; `clock` is the store's
    /// clock in milliseconds. For relayed changes `at` is zero, which is no evidence.
    fn confirmed(&mut self, _edge: &Edge, _at: Duration, _clock: u64) {}
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
                let elapsed = started.elapsed();
                sleep(self.interval.saturating_sub(elapsed)).await;
            }
            Err(err) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    tracing::warn!(event = "store_lost", table = self.table, error = %err);
                }
                count(&self.edge.metrics.calls, "feed_failed");
                self.sink.lost();
                self.edge.outage.record_failure(Instant::now());
                tokio::select! {
                    () = self.edge.outage.wait_for_probe() => {}
                    () = run_due(&self.edge, &mut self.sink) => {}
                }
            }
        }
    }

    /// Reads changes from the zone's reader, or from the store, and passes them to the sink.
    async fn step(&mut self) -> Result<(), Error> {
        if let Some(changes) = self.read_relayed().await {
            let clock = changes.clock;
            self.sink.start_batch();
            for change in changes.rows {
                self.sink.change(&self.edge, change);
            }
            self.after = Some(changes.revision);
            self.sink.confirmed(&self.edge, Duration::ZERO, clock);
            self.edge.mirrors.forget(self.table);
            return Ok(());
        }
        self.read_store().await
    }

    /// Returns changes from the zone's reader; `None` if the store is to be read instead.
    async fn read_relayed(&mut self) -> Option<Changes> {
        let (relay, after) = (self.relay.as_ref()?, self.after?);
        // After a failed read the store is read first. During an outage, the reader of another zone
        // may have newer changes.
        if self.is_lost && !self.edge.outage.is_active() {
            return None;
        }
        let changes = relay.changes(after, self.wait);
        let changes = tokio::select! {
            changes = changes => changes.ok()?,
            () = run_due(&self.edge, &mut self.sink) => return None,
        };
        count(&self.edge.metrics.calls, "relayed");
        Some(changes)
    }

    /// Reads a snapshot or the changes from the store and passes them to the sink.
    async fn read_store(&mut self) -> Result<(), Error> {
        let feed = self.edge.remote.feed.clone();
        let sent = clock::boot();
        let newest_revision = self.edge.newest_revision.get();
        let mut call = match self.after {
            None => feed.snapshot(self.table).map_ok(Some).boxed_local(),
            // The first read after a failure returns at once.
            Some(after) if self.is_lost => feed.changes(self.table, after, Duration::ZERO),
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
        self.edge.outage.end();
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
        if self.relay.is_some() {
            self.edge.mirrors.record(self.table, &changes, is_snapshot);
        }
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

impl Sink for ConfigSink {
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
struct HostSink;

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
    follower(edge, table, CONFIG_WAIT, CONFIG_INTERVAL, None, sink)
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
        Some(MAX_ENDPOINT_AGE),
        sink,
    )
    .run()
    .await;
}

/// Follows the rows of hosts until the task is dropped.
pub async fn hosts(edge: Rc<Edge>) {
    let max_age = Some(MAX_HOST_AGE);
    follower(
        edge,
        hosts::TABLE,
        Duration::ZERO,
        HOST_INTERVAL,
        max_age,
        HostSink,
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

/// Creates the follower of a table. With `max_age`, changes no older than that are read from the
/// zone's reader if this host takes part in the relay.
fn follower<S: Sink>(
    edge: Rc<Edge>,
    table: &'static str,
    wait: Duration,
    interval: Duration,
    max_age: Option<Duration>,
    sink: S,
) -> Follower<S> {
    let is_relayed = edge.settings.borrow().listen.relay.is_some();
    let max_age = max_age.filter(|_| is_relayed);
    let relay = max_age.map(|max_age| Client::new(edge.clone(), table, max_age));
    Follower {
        edge,
        table,
        wait,
        interval,
        after: None,
        is_lost: false,
        relay,
        sink,
    }
}
