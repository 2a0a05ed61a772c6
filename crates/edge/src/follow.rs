//! Follows the store: the configuration, the list of endpoints, and the rows of other hosts.

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
use crate::relay::Source;
use crate::removal::{Decision, Removals};

/// Longest wait of the store for a change of the configuration. The heartbeats bring the evidence
/// that there is none; this bounds the time for which a connection that has gone silent hides one.
const CONFIG_WAIT: Duration = Duration::from_secs(25);
/// Longest wait of the store for a change of the list of endpoints.
const ENDPOINT_WAIT: Duration = Duration::from_millis(600);
/// Oldest list of endpoints that is taken from another host: longer than the wait and the pause
/// of its reader, and with the pause of this host below the time within which a leaving endpoint
/// gets no new work.
const ENDPOINT_AGE: Duration = Duration::from_millis(1300);
/// Between two readings of the hosts' rows: these change all the time, so a waiting call would
/// return at once.
const HOST_PAUSE: Duration = Duration::from_millis(1200);
/// Oldest rows of hosts that are taken from another host.
const HOST_AGE: Duration = Duration::from_millis(1600);
/// Shortest time between two calls on the configuration, so that a storm of changes is read in
/// batches.
const CONFIG_PAUSE: Duration = Duration::from_millis(100);
/// The same for the list of endpoints.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(500);
/// Between two readings of the ledger by the holder of the lease.
const LEDGER_PAUSE: Duration = Duration::from_millis(900);
/// Between two looks at the lease.
const LEASE_STEP: Duration = Duration::from_millis(200);
/// Longest time without a look at what is due, beside the wait.
const LOOK: Duration = Duration::from_millis(250);

/// Taken off the time within which an endpoint that has left gets no new work, for the way of a
/// request that is just being sent.
const HOLD_MARGIN: Duration = Duration::from_millis(300);

/// What is done with the changes of a table.
trait Sink {
    /// An answer has come.
    fn begin(&mut self) {}
    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool);
    fn change(&mut self, edge: &Edge, change: Change);
    /// The store had nothing newer at `at`, in time since boot.
    fn confirmed(&mut self, _edge: &Edge, _at: Duration, _clock: u64) {}
    /// The store could not be asked.
    fn lost(&mut self) {}
    /// Waits until it is known from elsewhere that there is a change.
    fn outdated<'a>(&self, _edge: &'a Edge) -> LocalBoxFuture<'a, ()> {
        Box::pin(std::future::pending())
    }
    /// Does what is due without an answer; when that is next the case.
    fn due(&mut self, _edge: &Edge) -> Option<Instant> {
        None
    }
}

/// One table that is followed.
struct Follower<S> {
    edge: Rc<Edge>,
    table: &'static str,
    wait: Duration,
    pause: Duration,
    after: Option<u64>,
    is_lost: bool,
    /// The reader of the zone, for tables that are handed on.
    relay: Option<Source>,
    sink: S,
}

impl<S: Sink> Follower<S> {
    async fn run(mut self) {
        loop {
            self.round().await;
        }
    }

    /// One answer, and the pause after it.
    async fn round(&mut self) {
        let began = Instant::now();
        match self.step().await {
            Ok(()) => {
                if std::mem::take(&mut self.is_lost) {
                    tracing::info!(event = "store_regained", table = self.table);
                }
                let elapsed = began.elapsed();
                sleep(self.pause.saturating_sub(elapsed)).await;
            }
            Err(err) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    tracing::warn!(event = "store_lost", table = self.table, error = %err);
                }
                count(&self.edge.metrics.calls, "feed_failed");
                self.sink.lost();
                self.edge.outage.lost(Instant::now());
                tokio::select! {
                    () = self.edge.outage.turn() => {}
                    () = settle(&self.edge, &mut self.sink) => {}
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), Error> {
        if let Some(changes) = self.relayed().await {
            let clock = changes.clock;
            self.sink.begin();
            for change in changes.rows {
                self.sink.change(&self.edge, change);
            }
            self.after = Some(changes.revision);
            self.sink.confirmed(&self.edge, Duration::ZERO, clock);
            self.edge.mirrors.forget(self.table);
            return Ok(());
        }
        self.direct().await
    }

    /// Changes from the reader of the zone; `None` if the store is to be asked.
    async fn relayed(&mut self) -> Option<Changes> {
        let (relay, after) = (self.relay.as_ref()?, self.after?);
        // Whoever lost the store for a moment asks it first; while it does not answer this host,
        // the reader of another zone may have what is wanted.
        if self.is_lost && !self.edge.outage.is_on() {
            return None;
        }
        let changes = relay.changes(after, self.wait);
        let changes = tokio::select! {
            changes = changes => changes.ok()?,
            () = settle(&self.edge, &mut self.sink) => return None,
        };
        count(&self.edge.metrics.calls, "relayed");
        Some(changes)
    }

    async fn direct(&mut self) -> Result<(), Error> {
        let feed = self.edge.remote.feed.clone();
        let sent = clock::boot();
        let newest = self.edge.newest.get();
        let mut call = match self.after {
            None => feed.snapshot(self.table).map_ok(Some).boxed_local(),
            // The first answer after an outage is wanted at once.
            Some(after) if self.is_lost => feed.changes(self.table, after, Duration::ZERO),
            Some(after) => feed.changes(self.table, after, self.wait),
        };
        let changes = loop {
            let due = self.sink.due(&self.edge);
            let due = due.unwrap_or_else(|| Instant::now() + self.wait + LOOK);
            tokio::select! {
                biased;
                changes = &mut call => break changes?,
                () = self.sink.outdated(&self.edge) => {
                    // The call that waits has missed a change: its connection is silent.
                    call = feed.snapshot(self.table).map_ok(Some).boxed_local();
                }
                () = sleep_until(due) => {}
            }
        };
        drop(call);
        count(&self.edge.metrics.calls, "feed");
        self.edge.outage.over();
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
        // Only the wait of the store itself lies between sending and the store's reading.
        store_clock.observe(sent, received, changes.clock);
        self.edge.store_clock.set(store_clock);
        let at = store_clock
            .earliest(changes.clock)
            .unwrap_or(sent)
            .clamp(sent, received);
        let (revision, clock) = (changes.revision, changes.clock);
        let is_snapshot = self.after.is_none();
        if self.relay.is_some() {
            self.edge.mirrors.take(self.table, &changes, is_snapshot);
        }
        self.sink.begin();
        // A commit was known before the question that the answer does not cover: the answer is
        // from behind, and what it lacks may exist.
        let is_behind = revision < newest;
        if is_behind {
            tracing::warn!(event = "store_behind", table = self.table, revision, newest);
        }
        if is_snapshot {
            self.sink.snapshot(&self.edge, changes, is_behind);
        } else {
            for change in changes.rows {
                self.sink.change(&self.edge, change);
            }
        }
        self.after = Some(self.after.map_or(revision, |it| it.max(revision)));
        if !is_behind {
            self.edge.newest.set(self.edge.newest.get().max(revision));
            self.sink.confirmed(&self.edge, at, clock);
        }
        Ok(())
    }
}

struct ConfigSink {
    key: &'static str,
}

impl ConfigSink {
    fn take(&self, edge: &Edge, change: &Change) {
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
            self.take(edge, &change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        self.take(edge, &change);
    }

    fn outdated<'a>(&self, edge: &'a Edge) -> LocalBoxFuture<'a, ()> {
        Box::pin(edge.outdated.notified())
    }

    fn confirmed(&mut self, edge: &Edge, at: Duration, _clock: u64) {
        if edge.config().is_some() {
            edge.confirm(at);
        }
    }
}

/// Takes the list of endpoints over.
struct EndpointSink {
    lapses: Removals,
}

impl EndpointSink {
    fn take(&mut self, edge: &Edge, change: &Change) {
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

    fn remove(&mut self, edge: &Edge, id: &EndpointId) {
        match self.lapses.remove(Instant::now(), id) {
            Decision::Apply => drop_endpoint(edge, id),
            Decision::Hold => tracing::info!(event = "endpoint_lapsed", endpoint = id),
        }
    }
}

fn drop_endpoint(edge: &Edge, id: &str) {
    let change = edge.roster.borrow_mut().remove(id);
    if let Some(change) = change {
        edge.apply(&change);
    }
}

impl Sink for EndpointSink {
    fn begin(&mut self) {
        self.lapses.start_response();
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool) {
        let listed: HashSet<&String> = changes.rows.iter().map(|it| &it.key).collect();
        let known: Vec<String> = edge.roster.borrow().ids().cloned().collect();
        for id in known.iter().filter(|id| !is_behind && !listed.contains(id)) {
            self.remove(edge, id);
        }
        for change in &changes.rows {
            self.take(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        self.take(edge, &change);
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

/// Rows of hosts, and the lease among them.
struct HostSink;

impl HostSink {
    fn take(edge: &Edge, change: &Change) {
        if change.key == hosts::LEASE_KEY {
            edge.seat.see(change);
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
            Self::take(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        Self::take(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, clock: u64) {
        edge.hosts.borrow_mut().observe(Instant::now(), clock);
        edge.seat.confirm();
    }
}

/// Rows of the ledger.
struct LedgerSink;

impl LedgerSink {
    fn take(edge: &Edge, change: &Change) {
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
            Self::take(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        Self::take(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, clock: u64) {
        edge.ledger.borrow_mut().observe(clock);
    }
}

/// Does what is due without an answer, for as long as anything is due; never ends.
async fn settle<S: Sink>(edge: &Edge, sink: &mut S) {
    while let Some(due) = sink.due(edge) {
        sleep_until(due).await;
    }
    std::future::pending::<()>().await;
}

/// Follows the configuration until the task is dropped.
pub async fn config(edge: Rc<Edge>) {
    let (table, key) = edge.remote.decoder.config_row();
    let sink = ConfigSink { key };
    follower(edge, table, CONFIG_WAIT, CONFIG_PAUSE, None, sink)
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
        ENDPOINT_PAUSE,
        Some(ENDPOINT_AGE),
        sink,
    )
    .run()
    .await;
}

/// Follows the rows of hosts until the task is dropped.
pub async fn hosts(edge: Rc<Edge>) {
    let oldest = Some(HOST_AGE);
    follower(
        edge,
        hosts::TABLE,
        Duration::ZERO,
        HOST_PAUSE,
        oldest,
        HostSink,
    )
    .run()
    .await;
}

/// Follows what all runs count while this host holds the lease, until the task is dropped.
pub async fn ledger(edge: Rc<Edge>) {
    let mut reading = None;
    loop {
        if edge.seat.permit().is_none() {
            if reading.take().is_some() {
                edge.ledger.take();
            }
            sleep(LEASE_STEP).await;
            continue;
        }
        let follower = reading.get_or_insert_with(|| {
            let wait = Duration::ZERO;
            follower(
                edge.clone(),
                ledger::TABLE,
                wait,
                LEDGER_PAUSE,
                None,
                LedgerSink,
            )
        });
        follower.round().await;
    }
}

fn follower<S: Sink>(
    edge: Rc<Edge>,
    table: &'static str,
    wait: Duration,
    pause: Duration,
    oldest: Option<Duration>,
    sink: S,
) -> Follower<S> {
    let is_relayed = edge.settings.borrow().listen.relay.is_some();
    let oldest = oldest.filter(|_| is_relayed);
    let relay = oldest.map(|oldest| Source::new(edge.clone(), table, oldest));
    Follower {
        edge,
        table,
        wait,
        pause,
        after: None,
        is_lost: false,
        relay,
        sink,
    }
}
