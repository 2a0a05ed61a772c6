//! Configuration in force, with indexes for requests and the evidence that it is current.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_model::class::Class;
use agate_model::endpoint::Endpoint;
use agate_model::finding::Report;
use agate_model::id::{EndpointId, ModelId, PoolId, Version, Window};
use agate_model::resource::Change;
use agate_model::route::{Match, Route};
use agate_model::snapshot::{Gap, Snapshot};
use agate_wire::address::Entry;
use agate_wire::sync::{EndpointStates, Pressure, Response, Update};
use tokio::time::Instant;

/// Reason why an update can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The snapshot, a change or the endpoint states contain malformed resources.
    #[error("malformed configuration: {0}")]
    Malformed(#[from] Report),
    /// The changes don't follow the version in force, because some are missing.
    #[error(transparent)]
    Gap(#[from] Gap),
}

/// Immutable resources of one version and endpoint revision, indexed for lookups by requests.
#[derive(Debug, Default)]
pub struct View {
    /// All resources of the version, from which the indexes are built.
    pub snapshot: Rc<Snapshot>,
    models: BTreeMap<ModelId, Rc<Route>>,
    prefixes: Vec<(String, Rc<Route>)>,
    endpoints: BTreeMap<PoolId, Vec<Rc<Endpoint>>>,
}

impl View {
    /// Builds the indexes. Leaving endpoints stay in the snapshot but out of the index.
    fn new(snapshot: Rc<Snapshot>, states: &States) -> Self {
        let mut view = Self::default();
        for route in snapshot.routes() {
            view.add_route(route);
        }
        view.prefixes
            .sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        for endpoint in snapshot.endpoints().chain(&states.ordered) {
            if !endpoint.leaving && !states.leaving.contains(&endpoint.id) {
                view.add_endpoint(endpoint);
            }
        }
        view.snapshot = snapshot;
        view
    }

    fn add_route(&mut self, route: &Route) {
        let shared = Rc::new(route.clone());
        match &route.matches {
            Match::Model(model) => {
                self.models.insert(model.clone(), shared);
            }
            Match::Prefix(prefix) => self.prefixes.push((prefix.clone(), shared)),
        }
    }

    fn add_endpoint(&mut self, endpoint: &Endpoint) {
        let pool = self.endpoints.entry(endpoint.pool.clone()).or_default();
        // Endpoints of the snapshot are added first, so that an ordered endpoint which has been
        // declared since counts once, as declared.
        if pool.iter().all(|added| added.id != endpoint.id) {
            pool.push(Rc::new(endpoint.clone()));
        }
    }

    /// Returns the route of a model, or `None` if no route names it.
    pub fn model(&self, model: &str) -> Option<&Rc<Route>> {
        self.models.get(model)
    }

    /// Iterates over models and their routes, ordered by model name.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &Rc<Route>)> {
        self.models.iter()
    }

    /// Returns the route of a path: the one with the longest prefix that ends at a segment
    /// boundary.
    pub fn path(&self, path: &str) -> Option<&Rc<Route>> {
        let found = self
            .prefixes
            .iter()
            .find(|(prefix, _)| covers(prefix, path));
        found.map(|(_, route)| route)
    }

    /// Returns the class with this id, or `None` if it isn't declared.
    pub fn class(&self, id: &str) -> Option<&Class> {
        self.snapshot.class(&id.to_owned())
    }

    /// Returns the endpoints of a pool that take new work; empty for an unknown pool.
    pub fn endpoints(&self, pool: &str) -> &[Rc<Endpoint>] {
        self.endpoints.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the pools that have endpoints which take new work, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolId, &Vec<Rc<Endpoint>>)> {
        self.endpoints.iter()
    }
}

/// Returns whether `path` is `prefix` or lies below it.
fn covers(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix.trim_end_matches('/')) {
        Some(suffix) => suffix.is_empty() || suffix.starts_with('/'),
        None => false,
    }
}

/// Endpoint states of one revision, which control processes keep apart from the resources.
#[derive(Debug, Default)]
struct States {
    revision: u64,
    ordered: Vec<Endpoint>,
    leaving: HashSet<EndpointId>,
}

impl TryFrom<EndpointStates> for States {
    type Error = Report;

    fn try_from(states: EndpointStates) -> Result<Self, Report> {
        let mut report = Report::default();
        let mut ordered = Vec::with_capacity(states.ordered.len());
        for endpoint in states.ordered {
            match Endpoint::try_from(endpoint) {
                Ok(endpoint) => ordered.push(endpoint),
                Err(faults) => report.merge(faults),
            }
        }
        report.into_result(Self {
            revision: states.revision,
            ordered,
            leaving: states.leaving.into_iter().collect(),
        })
    }
}

/// State that the gate has received from control processes.
#[derive(Debug, Default)]
pub struct Config {
    view: Rc<View>,
    states: States,
    evidence: Option<Instant>,
    hosts: Vec<Entry>,
    peers: Vec<SocketAddr>,
    live_hosts: u32,
    pressure: Vec<Pressure>,
    window: Window,
}

impl Config {
    /// Returns the resources in force, empty before the first update.
    pub fn view(&self) -> Rc<View> {
        self.view.clone()
    }

    /// Returns the version in force, 0 before the first update.
    pub fn version(&self) -> Version {
        self.view.snapshot.version()
    }

    /// Returns the revision of the endpoint states in force, 0 before the first update.
    pub fn endpoint_revision(&self) -> u64 {
        self.states.revision
    }

    /// Returns the entry hosts that callers may use, as of the last response.
    pub fn hosts(&self) -> &[Entry] {
        &self.hosts
    }

    /// Returns the control processes of other hosts, as of the last response.
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Returns the number of live entry hosts, at least 1. The capacity of a pool is divided by it.
    pub fn live_hosts(&self) -> u32 {
        self.live_hosts.max(1)
    }

    /// Returns the pressure that other hosts have signalled, as of the last response.
    pub fn pressure(&self) -> &[Pressure] {
        &self.pressure
    }

    /// Returns the open reporting window, or `None` before the first response.
    pub fn window(&self) -> Option<Window> {
        (self.window > 0).then_some(self.window)
    }

    /// Returns the time since the evidence for the version in force: the latest time at which the
    /// store is known to have held no newer configuration. `None` without evidence.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.evidence
            .map(|evidence| now.saturating_duration_since(evidence))
    }

    /// Returns whether the evidence for the version in force is at most `limit` old.
    pub fn is_current(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// Applies the response to a call that was sent at `sent`, and returns whether the view has
    /// changed. The age of the evidence counts from `sent`, because the response was written later
    /// than that.
    pub fn apply(&mut self, response: Response, sent: Instant) -> Result<bool, Error> {
        let proof_age = response.proof_age();
        let response_version = response.version;
        let snapshot_changed = self.update_snapshot(response.update)?;
        let states_changed = self.update_states(response.endpoints)?;
        if snapshot_changed || states_changed {
            let snapshot = self.view.snapshot.clone();
            self.view = Rc::new(View::new(snapshot, &self.states));
        }
        if response_version == self.version() && response_version > 0 {
            self.record_evidence(proof_age, sent);
        }
        self.hosts = response.hosts;
        self.peers = response
            .peers
            .iter()
            .filter_map(|peer| peer.parse().ok())
            .collect();
        self.live_hosts = response.live_hosts;
        self.pressure = response.pressure;
        self.window = self.window.max(response.window);
        Ok(snapshot_changed || states_changed)
    }

    /// Replaces the snapshot by a newer version and returns whether it did. Older versions are
    /// ignored, so that the version never goes back. The caller rebuilds the view's indexes.
    fn update_snapshot(&mut self, update: Option<Update>) -> Result<bool, Error> {
        let current = self.version();
        let snapshot = match update {
            None => return Ok(false),
            Some(Update::Snapshot(snapshot)) => Snapshot::try_from(snapshot)?,
            Some(Update::Changes(changes)) => {
                let mut snapshot = (*self.view.snapshot).clone();
                for change in changes {
                    snapshot.apply(Change::try_from(change)?)?;
                }
                snapshot
            }
        };
        if snapshot.version() <= current {
            return Ok(false);
        }
        // Evidence applies to one version. The new one has none until a response brings it.
        self.evidence = None;
        self.view = Rc::new(View {
            snapshot: Rc::new(snapshot),
            ..View::default()
        });
        Ok(true)
    }

    /// Replaces the endpoint states by those of another revision and returns whether it did.
    fn update_states(&mut self, states: Option<EndpointStates>) -> Result<bool, Error> {
        let Some(states) = states else {
            return Ok(false);
        };
        if states.revision == self.states.revision {
            return Ok(false);
        }
        self.states = states.try_into()?;
        Ok(true)
    }

    /// Records evidence that was `age` old when the call was sent. Evidence never goes back.
    fn record_evidence(&mut self, age: Option<Duration>, sent: Instant) {
        let Some(evidence) = age.and_then(|age| sent.checked_sub(age)) else {
            return;
        };
        self.evidence = Some(self.evidence.map_or(evidence, |known| known.max(evidence)));
    }
}
