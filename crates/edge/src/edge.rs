//! State of an entry host that its tasks share.

mod phase;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_memory::Budget as Memory;
use agate_model::id::{AccountId, Incarnation, Revision, RouteId};
use agate_store::interface::{Feed, Tables};
use tokio::sync::{Mutex, Notify, watch};
use tokio::time::Instant;

pub use self::phase::{InFlight, Phase};
use crate::balancer::{Balancer, Tuning};
use crate::budget::Budget;
use crate::client::Pool;
use crate::clock::{self, StoreClock};
use crate::config::{Config, ServiceId};
use crate::duty::lease::Lease;
use crate::duty::usage::Sealed;
use crate::era::{Eras, Ordered};
use crate::estimate;
use crate::evacuation::Evacuations;
use crate::evidence::Evidence;
use crate::guard::Guard;
use crate::handover::Inbox;
use crate::heed::Faulty;
use crate::hosts::{Hosts, Row};
use crate::interface::{Decoder, Dialect, Duties};
use crate::ledger::{Ledger, Offer};
use crate::limits::Limits;
use crate::meter::{MeteredFeed, MeteredTables};
use crate::metrics::{Metrics, count};
use crate::outage::{self, Outage};
use crate::queue::Queue;
use crate::relay::Mirrors;
use crate::roster::{Change, Roster};
use crate::sabotage::{self, Variant};
use crate::settings::Settings;
use crate::share::{self, Digest, News};
use crate::stop::Stop;
use crate::subset::{Profile, Recent, Subset, Sums};
use crate::usage::Counters;
use crate::version::Heard;

/// Subtracted from the bound on withdrawn keys, for the time that a request takes from the last
/// check to the endpoint.
const TRANSIT_MARGIN: Duration = Duration::from_millis(400);
/// Maximum age of the evidence for a response that a route or key does not exist.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(3_500);

/// Time within which hosts that start together know each other: the first heartbeat and a read of all.
/// A host without a reader reads the store after it, and serves within two seconds of its start.
const START_TIME: Duration = Duration::from_millis(1_300);

/// Interfaces to the store, the receiver of duties, and the protocols of callers and endpoints.
#[derive(Clone)]
pub struct Remote {
    /// Reads and writes rows of the store.
    pub tables: Rc<dyn Tables>,
    /// Delivers changes of the store's tables.
    pub feed: Rc<dyn Feed>,
    /// Receiver of usage reports and orders; `None` if this host takes no part in the duties.
    pub duties: Option<Rc<dyn Duties>>,
    /// Encodes and decodes the headers of callers and endpoints.
    pub dialect: Rc<dyn Dialect>,
    /// Decodes the rows that operators and endpoints write.
    pub decoder: Rc<dyn Decoder>,
}

/// State of one process incarnation of an entry host.
pub struct Edge {
    /// Settings in force; a reload replaces all but the listen addresses.
    pub settings: RefCell<Settings>,
    /// Random identity of this process incarnation.
    pub incarnation: Incarnation,
    /// Interfaces to the world outside this crate.
    pub remote: Remote,
    /// Counters, gauges and histograms of this host.
    pub metrics: Metrics,
    /// Newest known era of the store.
    pub eras: Rc<Eras>,
    /// Evidence on prompts that crash endpoints.
    pub guard: Guard,
    /// Permits for endpoints that have named a limit.
    pub limits: Limits,
    /// When malformed headers of endpoints were last logged.
    pub faulty: RefCell<Faulty>,
    /// Registered endpoints as last read from the store.
    pub roster: RefCell<Roster>,
    /// Whether the list of endpoints was read since the process started.
    pub has_roster: Cell<bool>,
    /// Load and health of the endpoints as seen by this host.
    pub board: RefCell<Balancer>,
    /// Idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Rows of all hosts, including this one.
    pub hosts: RefCell<Hosts>,
    /// Tables that this host reads from the store, for other hosts of its zone.
    pub mirrors: Mirrors,
    /// Heartbeats that other hosts handed over to be written by this host.
    pub inbox: Inbox,
    /// Held while rows are written: the store may apply two writes in either order, and the last one of a
    /// process must not be overtaken by the one before it.
    pub row_write: Mutex<()>,
    /// Recent requests of the hosts for which this one reads, including this host.
    pub recent: RefCell<Recent>,
    /// Load of the endpoints from the hosts for which this one reads and from other readers.
    pub shared: RefCell<share::Pool>,
    /// Usage and demand of all hosts; filled only while this host holds the lease.
    pub ledger: RefCell<Ledger>,
    /// Whether the store is unreachable from this host.
    pub outage: Outage,
    /// Usage counted by this process incarnation.
    pub usage: RefCell<Counters>,
    /// Work offered to each service since the process started.
    pub offers: RefCell<HashMap<ServiceId, Offer>>,
    /// Usage windows whose counts this process has frozen.
    pub sealed: RefCell<Sealed>,
    /// State of the lease on the duties.
    pub lease: Lease,
    /// Revision up to which the configuration in force is the newest one written; `None` before there is
    /// one. It passes the revision that wrote it if the same version, or an older one, is written again.
    pub config_revision: Cell<Option<Revision>>,
    /// Evacuated zones as last read from the store or another host.
    pub evacuations: RefCell<Evacuations>,
    /// Notified when a newer configuration or evacuation than those in force is known to exist.
    pub config_outdated: Notify,
    /// Newest known revision of the store, of any table; 0 before the first.
    pub newest_revision: Cell<Revision>,
    /// What the connections of all listeners hold of the memory of the process.
    pub memory: Rc<Memory>,
    /// Estimate of the store's clock from its responses.
    pub store_clock: Cell<StoreClock>,
    /// Versions of the configuration that other hosts have in force.
    pub heard: Heard,
    /// Evidence that the configuration in force is the newest.
    pub evidence: Cell<Evidence>,
    config: RefCell<Option<Rc<Config>>>,
    budgets: RefCell<HashMap<ServiceId, Budget>>,
    queues: RefCell<HashMap<ServiceId, Rc<Queue>>>,
    profiles: RefCell<HashMap<ServiceId, Profile>>,
    phase: watch::Sender<Phase>,
    stop: Cell<Option<Stop>>,
    in_flight: Cell<usize>,
    started: Instant,
}

impl Edge {
    /// Creates the state of a host that has read nothing from the store yet.
    pub fn new(settings: Settings, remote: Remote) -> Rc<Self> {
        let metrics = Metrics::new();
        let eras = Eras::new(metrics.store_era.clone(), metrics.changes.clone());
        let tables: Rc<dyn Tables> =
            Rc::new(MeteredTables::new(remote.tables, metrics.store.clone()));
        let feed: Rc<dyn Feed> = Rc::new(MeteredFeed::new(remote.feed, metrics.store.clone()));
        let remote = Remote {
            tables: Rc::new(Ordered::new(tables, eras.clone())),
            feed: Rc::new(Ordered::new(feed, eras.clone())),
            ..remote
        };
        let memory = Memory::new(settings.machine.size());
        Rc::new(Self {
            settings: RefCell::new(settings),
            incarnation: hex::encode(rand::random::<[u8; 8]>()),
            remote,
            metrics,
            eras,
            guard: Guard::default(),
            limits: Limits::default(),
            faulty: RefCell::default(),
            roster: RefCell::default(),
            has_roster: Cell::new(false),
            board: RefCell::new(Balancer::new(Tuning::default())),
            pool: RefCell::default(),
            hosts: RefCell::default(),
            mirrors: Mirrors::default(),
            inbox: Inbox::default(),
            row_write: Mutex::default(),
            recent: RefCell::default(),
            shared: RefCell::default(),
            ledger: RefCell::default(),
            outage: Outage::default(),
            usage: RefCell::default(),
            offers: RefCell::default(),
            sealed: RefCell::default(),
            lease: Lease::default(),
            config_revision: Cell::new(None),
            evacuations: RefCell::default(),
            config_outdated: Notify::new(),
            newest_revision: Cell::new(0),
            memory,
            store_clock: Cell::default(),
            heard: Heard::default(),
            evidence: Cell::default(),
            config: RefCell::default(),
            budgets: RefCell::default(),
            queues: RefCell::default(),
            profiles: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            stop: Cell::new(None),
            in_flight: Cell::new(0),
            started: Instant::now(),
        })
    }

    /// Returns the configuration in force; `None` before the first was read.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force, unless its version is not newer than the one in force.
    /// `revision` is the store's revision that wrote it.
    pub fn configure(&self, config: Config, revision: Revision) {
        let known = self.config().map_or(0, |config| config.version);
        if config.version <= known {
            tracing::info!(
                event = "config_ignored",
                version = config.version,
                known,
                revision
            );
            // The row holds nothing newer, so evidence about this revision is evidence about the version
            // in force.
            let newest = self.config_revision.get().max(Some(revision));
            self.config_revision.set(newest);
            return;
        }
        tracing::info!(
            event = "config_in_force",
            version = config.version,
            before = known,
            routes = config.route_count(),
            keys = config.key_count(),
        );
        count(&self.metrics.changes, "config");
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        let cold_starts = config.services.values().filter_map(|service| {
            let bounds = service.cold?;
            Some((service.id.clone(), bounds.time))
        });
        self.board
            .borrow_mut()
            .set_cold_starts(cold_starts.collect());
        *self.config.borrow_mut() = Some(Rc::new(config));
        // Another host's version may be one that the store has lost: the row of a later revision is older.
        let newest = self.config_revision.get().max(Some(revision));
        self.config_revision.set(newest);
    }

    /// Records that the store, in its present era, held no newer configuration or evacuation at `at`, in time
    /// since boot. It counts once this host knows what the others had in force when the era began.
    pub fn confirm(&self, at: Duration) {
        self.settle();
        let mut evidence = self.evidence.get();
        match self.is_settled() {
            true => evidence.confirm(at),
            false => evidence.suppose(self.eras.newest(), at),
        }
        self.evidence.set(evidence);
    }

    /// Returns the age of the evidence that the configuration is the newest; `None` without any, or if it is
    /// known not to be.
    pub fn evidence_age(&self) -> Option<Duration> {
        let age = self.evidence.get().age(clock::boot());
        age.filter(|_| !self.lacks_version())
    }

    /// Returns whether there is evidence younger than `limit`.
    fn has_evidence(&self, limit: Duration) -> bool {
        self.evidence_age().is_some_and(|age| age < limit)
    }

    /// Returns whether requests with a key may be served: the evidence is young enough to meet the
    /// bound on withdrawn keys.
    pub fn is_current(&self) -> bool {
        let limit = self
            .settings
            .borrow()
            .bounds
            .withdraw
            .saturating_sub(TRANSIT_MARGIN);
        self.has_evidence(limit) || sabotage::is(Variant::StaleKeys)
    }

    /// Returns whether a response may state that a route or key does not exist.
    pub fn may_deny(&self) -> bool {
        self.has_evidence(MAX_DENIAL_AGE)
    }

    /// Returns whether callers may be sent to this host: configuration and endpoints were read, and
    /// it is not leaving.
    pub fn is_ready(&self) -> bool {
        let is_loaded = self.config.borrow().is_some() && self.has_roster.get();
        is_loaded && *self.phase.borrow() == Phase::Serving
    }

    /// Returns the services for which requests have queued on this host.
    pub fn queued_services(&self) -> Vec<ServiceId> {
        self.queues.borrow().keys().cloned().collect()
    }

    /// Returns the queue of requests that wait for an endpoint of a service.
    pub fn queue(&self, service: &ServiceId) -> Rc<Queue> {
        let mut queues = self.queues.borrow_mut();
        queues.entry(service.clone()).or_default().clone()
    }

    /// Applies a change of the list of endpoints to the connection pool, the load board and queues.
    pub fn apply(&self, change: &Change) {
        match change {
            Change::Joined(endpoint) => tracing::info!(
                event = "endpoint_joined",
                endpoint = endpoint.id,
                service = endpoint.service,
                address = %endpoint.address,
                zone = endpoint.zone,
                draining = endpoint.draining,
                reclaimable = endpoint.reclaimable,
                cold_ms = endpoint.cold.as_millis(),
            ),
            Change::Updated(endpoint) => tracing::info!(
                event = "endpoint_updated",
                endpoint = endpoint.id,
                draining = endpoint.draining,
                cold_ms = endpoint.cold.as_millis(),
            ),
            Change::Left(id) => tracing::info!(event = "endpoint_left", endpoint = id),
        }
        count(&self.metrics.changes, "endpoint");
        if let Change::Left(id) = change {
            self.pool.borrow_mut().remove(id);
        }
        self.board.borrow_mut().apply(change);
        self.wake_queues();
    }

    /// Counts a caller's request to a service for the retry budget and the demand. `work` is its
    /// estimated work in milliseconds of an engine.
    pub fn record_request(&self, service: &ServiceId, work: f64) {
        let terms = self.settings.borrow().bounds.budget();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.record_request(Instant::now(), &terms);
        let mut offers = self.offers.borrow_mut();
        let offer = offers.entry(service.clone()).or_default();
        offer.requests += 1;
        offer.work += work;
    }

    /// Returns the lane of a request to a model engine, and adds the request to the profile of its
    /// service.
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

    /// Returns the requests that this host has observed since its start.
    pub fn request_sums(&self) -> Sums {
        let profiles = self.profiles.borrow();
        profiles
            .iter()
            .map(|(service, profile)| (service.clone(), profile.sums().clone()))
            .collect()
    }

    /// Takes over the averages of recent requests of several hosts.
    pub fn learn(&self, sums: &Sums) {
        let mut profiles = self.profiles.borrow_mut();
        for (service, sums) in sums {
            profiles.entry(service.clone()).or_default().learn(sums);
        }
    }

    /// Takes over the load of the endpoints from all hosts, to which this one has contributed `own`.
    pub fn learn_endpoints(&self, totals: &Digest, own: &Digest) {
        let decoded = share::decode(totals, "reader").zip(share::decode(own, "self"));
        let Some((totals, own)) = decoded else {
            return;
        };
        self.learn_totals(&totals, &own);
    }

    /// Takes over the load of the endpoints from all hosts, to which this one has contributed `own`.
    pub fn learn_totals(&self, totals: &News, own: &News) {
        let now = Instant::now();
        let changed = self.board.borrow_mut().learn(now, totals, own);
        for id in changed {
            self.report_speed(now, &id);
        }
    }

    /// Keeps this host's part of the load of the endpoints that reached nobody for the next heartbeat.
    pub fn restore_endpoints(&self, own: &Digest) {
        if let Some(own) = share::decode(own, "self") {
            self.board.borrow_mut().restore(&own);
        }
    }

    /// Logs and counts that an endpoint became slow or recovered.
    pub fn report_speed(&self, now: Instant, id: &str) {
        let board = self.board.borrow();
        let Some(load) = board.load(id) else {
            return;
        };
        let is_slow = load.is_slow();
        tracing::info!(
            event = "endpoint_speed",
            endpoint = id,
            is_slow,
            speed = load.speed(now),
            responses = load.responses(now),
            running = load.others(now).running,
            age_ms = load.age(now).map(|age| age.as_millis()),
        );
        let change = if is_slow { "slow" } else { "recovered" };
        count(&self.metrics.endpoint_speeds, change);
    }

    /// Takes one retry from the budget of a service; returns whether it was granted.
    pub fn may_retry(&self, service: &ServiceId) -> bool {
        let now = Instant::now();
        let terms = self.settings.borrow().bounds.budget();
        let hosts = self.hosts.borrow_mut().sharing_hosts(now);
        if hosts == 0 {
            return false;
        }
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_take(now, &terms, hosts) || sabotage::is(Variant::GreedyRepeats)
    }

    /// Returns the number of hosts that share the endpoints and budgets; at least 1.
    pub fn sharing_hosts(&self) -> usize {
        let mut hosts = self.hosts.borrow_mut();
        hosts.sharing_hosts(Instant::now()).max(1)
    }

    /// Returns the time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the process started so recently that hosts which started with it may not know
    /// each other yet.
    pub fn is_starting(&self) -> bool {
        self.uptime() < START_TIME
    }

    /// Returns whether this host reads and writes the store for the other hosts of its zone, or no
    /// host takes part in the relay.
    pub fn is_reader(&self) -> bool {
        let settings = self.settings.borrow();
        let hosts = self.hosts.borrow();
        let readers = hosts.readers(Instant::now());
        let own = readers.get(&settings.zone);
        settings.listen.relay.is_none() || own.is_some_and(|row| row.host == settings.host)
    }

    /// Returns the relay addresses of the hosts that read and write the store for this one, in the
    /// order in which they are called: the reader of its zone, then those of the other zones in an
    /// order that differs between hosts, so that none of them takes over a whole zone. Empty for a
    /// reader that reaches the store.
    pub fn readers(&self) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let is_alone = settings.listen.relay.is_none();
        if is_alone || self.is_reader() && !self.outage.is_active() {
            return Vec::new();
        }
        let hosts = self.hosts.borrow();
        let mut readers: Vec<&Row> = hosts.readers(Instant::now()).into_values().collect();
        readers.retain(|row| row.host != settings.host);
        readers.sort_by_cached_key(|row| {
            let order = estimate::hash(&format!("{}/{}", settings.host, row.host));
            (row.zone != settings.zone, order)
        });
        readers.iter().filter_map(|row| row.relay).collect()
    }

    /// Returns the limit of the interval between two probes of the store. A host that others depend
    /// on probes more often than one that is served by others.
    pub fn probe_limit(&self) -> Duration {
        let is_served = !self.is_reader() && !self.readers().is_empty();
        outage::max_interval(if is_served { self.sharing_hosts() } else { 1 })
    }

    /// Waits until this task may probe the store, or the outage ends.
    pub async fn wait_for_probe(&self) {
        self.outage.wait_for_probe(self.probe_limit()).await;
    }

    /// Returns the time of day that most hosts agree on, in milliseconds since the Unix epoch; this
    /// host's own time of day while the store's clock or the offset is not known.
    pub fn true_millis(&self) -> i64 {
        let store = self.store_clock.get().now(clock::boot());
        let offset = self.hosts.borrow().offset(Instant::now());
        match (store, offset) {
            (Some(store), Some(offset)) => store + offset,
            _ => clock::wall_millis(),
        }
    }

    /// Returns the store's clock at a moment of true time, in milliseconds; 0 for a time before
    /// that clock started, `None` while the offset is not known.
    pub fn store_millis(&self, true_millis: i64) -> Option<u64> {
        let offset = self.hosts.borrow().offset(Instant::now())?;
        Some(u64::try_from(true_millis - offset).unwrap_or(0))
    }

    /// Returns the number of the current usage window, counted from the Unix epoch.
    pub fn window(&self) -> u64 {
        self.window_at(Instant::now())
    }

    /// Returns the number of the usage window at an instant that is not in the future.
    pub fn window_at(&self, at: Instant) -> u64 {
        let length = self.settings.borrow().bounds.window.as_millis().max(1);
        let millis = self.true_millis() - clock::millis(at.elapsed());
        let millis = u128::try_from(millis).unwrap_or(0);
        u64::try_from(millis / length).unwrap_or(0)
    }

    /// Counts a request that started to run; requests without an account are not counted.
    pub fn count_usage(&self, account: Option<&AccountId>) {
        if let Some(account) = account {
            let window = self.window();
            self.usage.borrow_mut().count(window, account);
        }
    }
}
