//! State that all tasks of an entry host share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{AccountId, Incarnation, RouteId};
use agate_store::interface::{Feed, Tables};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::balancer::{Balancer, Tuning};
use crate::budget::Budget;
use crate::client::Pool;
use crate::clock::{self, StoreClock};
use crate::config::{Config, ServiceId};
use crate::duty::seat::Seat;
use crate::evidence::Evidence;
use crate::handover::Tray;
use crate::hosts::Hosts;
use crate::interface::{Decoder, Dialect, Duties};
use crate::ledger::{Ledger, Offer};
use crate::metrics::{Metrics, count};
use crate::outage::Outage;
use crate::queue::Queue;
use crate::relay::Mirrors;
use crate::roster::{Change, Roster};
use crate::sabotage::{self, Variant};
use crate::settings::Settings;
use crate::subset::{Profile, Subset};
use crate::usage::Tally;

/// Taken off the bound on withdrawn keys, for the time from the last check to the endpoint.
const TRANSIT: Duration = Duration::from_millis(400);
/// Evidence must be as young as this for an answer that a route or key does not exist.
const DENIAL_FRESHNESS: Duration = Duration::from_millis(3_500);

/// What lies behind the borders.
#[derive(Clone)]
pub struct Remote {
    /// Reads and writes rows.
    pub tables: Rc<dyn Tables>,
    /// Follows rows.
    pub feed: Rc<dyn Feed>,
    /// Receiver of reports and orders.
    pub duties: Option<Rc<dyn Duties>>,
    /// How callers and endpoints are spoken to.
    pub dialect: Rc<dyn Dialect>,
    /// Reads rows of operators and endpoints.
    pub decoder: Rc<dyn Decoder>,
}

/// Phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Told to stop: not named any more, connections are closed between requests.
    Leaving,
}

/// One run of an entry host.
pub struct Edge {
    /// Settings.
    pub settings: RefCell<Settings>,
    /// Identity of this run.
    pub incarnation: Incarnation,
    /// What lies behind the borders.
    pub remote: Remote,
    /// Metrics.
    pub metrics: Metrics,
    /// Endpoints that are listed.
    pub roster: RefCell<Roster>,
    /// Whether the list was read since the start.
    pub has_roster: Cell<bool>,
    /// Endpoints and this host's work at them.
    pub board: RefCell<Balancer>,
    /// Idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Other hosts.
    pub hosts: RefCell<Hosts>,
    /// Tables that this host reads for others of its zone.
    pub mirrors: Mirrors,
    /// Heartbeats that this host writes for others of its zone.
    pub tray: Tray,
    /// What all runs count, while this host holds the lease.
    pub ledger: RefCell<Ledger>,
    /// Whether the store answers this host.
    pub outage: Outage,
    /// Usage of this run.
    pub tally: RefCell<Tally>,
    /// Work offered to each service.
    pub offers: RefCell<HashMap<ServiceId, Offer>>,
    /// The lease.
    pub seat: Seat,
    /// Commit that wrote the configuration in force.
    pub config_revision: Cell<Option<u64>>,
    /// Told when there is a newer configuration than the one in force.
    pub outdated: Notify,
    /// Newest commit of the store that is known, of any table.
    pub newest: Cell<u64>,
    /// The store's clock.
    pub store_clock: Cell<StoreClock>,
    config: RefCell<Option<Rc<Config>>>,
    evidence: Cell<Evidence>,
    budgets: RefCell<HashMap<ServiceId, Budget>>,
    lines: RefCell<HashMap<ServiceId, Rc<Queue>>>,
    profiles: RefCell<HashMap<ServiceId, Profile>>,
    phase: watch::Sender<Phase>,
    running: Cell<usize>,
}

impl Edge {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings, remote: Remote) -> Rc<Self> {
        Rc::new(Self {
            settings: RefCell::new(settings),
            incarnation: hex::encode(rand::random::<[u8; 8]>()),
            remote,
            metrics: Metrics::new(),
            roster: RefCell::default(),
            has_roster: Cell::new(false),
            board: RefCell::new(Balancer::new(Tuning::default())),
            pool: RefCell::default(),
            hosts: RefCell::default(),
            mirrors: Mirrors::default(),
            tray: Tray::default(),
            ledger: RefCell::default(),
            outage: Outage::default(),
            tally: RefCell::default(),
            offers: RefCell::default(),
            seat: Seat::default(),
            config_revision: Cell::new(None),
            outdated: Notify::new(),
            newest: Cell::new(0),
            store_clock: Cell::default(),
            config: RefCell::default(),
            evidence: Cell::default(),
            budgets: RefCell::default(),
            lines: RefCell::default(),
            profiles: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            running: Cell::new(0),
        })
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub fn configure(&self, config: Config, revision: u64) {
        let known = self.config().map_or(0, |it| it.version);
        if config.version <= known {
            tracing::info!(event = "config_ignored", version = config.version, known);
            return;
        }
        tracing::info!(
            event = "config_in_force",
            version = config.version,
            before = known,
            routes = config.route_count(),
            keys = config.keys.as_ref().map_or(0, HashMap::len),
        );
        count(&self.metrics.changes, "config");
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.config_revision.set(Some(revision));
    }

    /// The store held no newer configuration at `at`, in time since boot.
    pub fn confirm(&self, at: Duration) {
        let mut evidence = self.evidence.get();
        evidence.confirm(at);
        self.evidence.set(evidence);
    }

    /// Age of the evidence that the configuration is the newest.
    pub fn evidence_age(&self) -> Option<Duration> {
        self.evidence.get().age(clock::boot())
    }

    /// Whether requests with a key may be served.
    pub fn is_current(&self) -> bool {
        let limit = self
            .settings
            .borrow()
            .bounds
            .withdraw
            .saturating_sub(TRANSIT);
        self.evidence.get().is_fresh(clock::boot(), limit) || sabotage::is(Variant::StaleKeys)
    }

    /// Whether it may be said that a route or key does not exist.
    pub fn may_deny(&self) -> bool {
        self.evidence
            .get()
            .is_fresh(clock::boot(), DENIAL_FRESHNESS)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows = self.config.borrow().is_some() && self.has_roster.get();
        knows && *self.phase.borrow() == Phase::Serving
    }

    /// Whether this process was told to stop.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() == Phase::Leaving
    }

    /// Starts to leave.
    pub fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// Waits until this process is told to stop.
    pub async fn left(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as this value.
        let _ = phase.wait_for(|it| *it == Phase::Leaving).await;
    }

    /// Counts a request as running.
    pub fn begin(self: &Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        self.metrics.running.inc();
        Running(self.clone())
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// The line before a service.
    pub fn line(&self, service: &ServiceId) -> Rc<Queue> {
        let mut lines = self.lines.borrow_mut();
        lines.entry(service.clone()).or_default().clone()
    }

    /// Calls the first of each line: endpoints have come or gone.
    pub fn call_lines(&self) {
        for line in self.lines.borrow().values() {
            line.wake_first();
        }
    }

    /// Takes a change of the list of endpoints over.
    pub fn apply(&self, change: &Change) {
        match change {
            Change::Joined(it) => tracing::info!(
                event = "endpoint_joined",
                endpoint = it.id,
                service = it.service,
                address = %it.address,
                zone = it.zone,
                draining = it.draining,
                reclaimable = it.reclaimable,
            ),
            Change::Updated(it) => tracing::info!(
                event = "endpoint_updated",
                endpoint = it.id,
                draining = it.draining,
            ),
            Change::Left(id) => tracing::info!(event = "endpoint_left", endpoint = id),
        }
        count(&self.metrics.changes, "endpoint");
        if let Change::Left(id) = change {
            self.pool.borrow_mut().remove(id);
        }
        self.board.borrow_mut().apply(change);
        self.call_lines();
    }

    /// Counts a request of a caller to a service, for the budget of repeats and the demand.
    pub fn offer(&self, service: &ServiceId, work: f64) {
        let terms = self.settings.borrow().bounds.budget();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.record_request(Instant::now(), &terms);
        let mut offers = self.offers.borrow_mut();
        let offer = offers.entry(service.clone()).or_default();
        offer.requests += 1;
        offer.work += work;
    }

    /// The lane of a request to a model engine.
    pub fn lane(
        &self,
        service: &ServiceId,
        route: &RouteId,
        prompt_tokens: u64,
        work: f64,
    ) -> Option<Subset> {
        let mut profiles = self.profiles.borrow_mut();
        let profile = profiles.entry(service.clone()).or_default();
        profile.observe(route, prompt_tokens, work)
    }

    /// Takes a repeat from the budget of a service.
    pub fn may_repeat(&self, service: &ServiceId) -> bool {
        let now = Instant::now();
        let terms = self.settings.borrow().bounds.budget();
        let hosts = self.hosts.borrow_mut().sharing(now);
        if hosts == 0 {
            return false;
        }
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_take(now, &terms, hosts) || sabotage::is(Variant::GreedyRepeats)
    }

    /// Number of hosts that share what there is.
    pub fn sharing(&self) -> usize {
        let mut hosts = self.hosts.borrow_mut();
        hosts.sharing(Instant::now()).max(1)
    }

    /// Where the hosts listen that read and write the store for this one: the reader of its zone,
    /// unless that is this host itself, and those of the other zones while the store does not
    /// answer this host.
    pub fn readers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        if settings.listen.relay.is_none() {
            return Vec::new();
        }
        let hosts = self.hosts.borrow();
        let mut readers = hosts.readers(Instant::now());
        let own = readers.remove(&settings.zone);
        let others = readers.into_values().filter(|_| self.outage.is_on());
        let all = own.into_iter().chain(others);
        all.filter(|row| row.host != settings.host)
            .filter_map(|row| row.relay)
            .collect()
    }

    /// True time as most hosts agree on it, in milliseconds since the Unix epoch.
    pub fn true_millis(&self) -> i64 {
        let store = self.store_clock.get().now(clock::boot());
        let offset = self.hosts.borrow().offset(Instant::now());
        match (store, offset) {
            (Some(store), Some(offset)) => store + offset,
            _ => clock::wall_millis(),
        }
    }

    /// The store's clock at a moment of true time, in milliseconds; 0 for a time before that clock
    /// was started.
    pub fn store_millis(&self, true_millis: i64) -> Option<u64> {
        let offset = self.hosts.borrow().offset(Instant::now())?;
        Some(u64::try_from(true_millis - offset).unwrap_or(0))
    }

    /// Number of the current usage window.
    pub fn window(&self) -> u64 {
        let length = self.settings.borrow().bounds.window.as_millis().max(1);
        let millis = u128::try_from(self.true_millis()).unwrap_or(0);
        u64::try_from(millis / length).unwrap_or(0)
    }

    /// Counts a request that began to run.
    pub fn count_usage(&self, account: Option<&AccountId>) {
        if let Some(account) = account {
            let window = self.window();
            self.tally.borrow_mut().count(window, account);
        }
    }
}

/// A request that runs; dropping it ends it.
pub struct Running(Rc<Edge>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.metrics.running.dec();
    }
}
