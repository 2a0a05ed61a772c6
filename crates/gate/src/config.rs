//! Configuration in force, with the indexes that requests need and the proof of its currency.

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

/// Why an update can't be taken over.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The resources are malformed.
    #[error("malformed configuration: {0}")]
    Malformed(#[from] Report),
    /// Changes are missing.
    #[error(transparent)]
    Gap(#[from] Gap),
}

/// Resources of one version and endpoint revision. Never changes.
#[derive(Debug, Default)]
pub struct View {
    /// Resources.
    pub snapshot: Rc<Snapshot>,
    models: BTreeMap<ModelId, Rc<Route>>,
    prefixes: Vec<(String, Rc<Route>)>,
    endpoints: BTreeMap<PoolId, Vec<Rc<Endpoint>>>,
}

impl View {
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
        // An endpoint that was ordered and then declared counts once, as declared.
        if pool.iter().all(|known| known.id != endpoint.id) {
            pool.push(Rc::new(endpoint.clone()));
        }
    }

    /// Route of a model.
    pub fn model(&self, model: &str) -> Option<&Rc<Route>> {
        self.models.get(model)
    }

    /// Models with their routes, by name.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &Rc<Route>)> {
        self.models.iter()
    }

    /// Route of a path: the longest prefix that ends at a segment border.
    pub fn path(&self, path: &str) -> Option<&Rc<Route>> {
        let found = self
            .prefixes
            .iter()
            .find(|(prefix, _)| covers(prefix, path));
        found.map(|(_, route)| route)
    }

    /// Class of a route.
    pub fn class(&self, id: &str) -> Option<&Class> {
        self.snapshot.class(&id.to_owned())
    }

    /// Endpoints of a pool that take new work.
    pub fn endpoints(&self, pool: &str) -> &[Rc<Endpoint>] {
        self.endpoints.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Pools that have endpoints.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolId, &Vec<Rc<Endpoint>>)> {
        self.endpoints.iter()
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix.trim_end_matches('/')) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

#[derive(Debug, Default)]
struct States {
    revision: u64,
    ordered: Vec<Endpoint>,
    leaving: HashSet<EndpointId>,
}

impl TryFrom<EndpointStates> for States {
    type Error = Report;

    fn try_from(it: EndpointStates) -> Result<Self, Report> {
        let mut report = Report::default();
        let mut ordered = Vec::with_capacity(it.ordered.len());
        for endpoint in it.ordered {
            match Endpoint::try_from(endpoint) {
                Ok(endpoint) => ordered.push(endpoint),
                Err(faults) => report.merge(faults),
            }
        }
        report.into_result(Self {
            revision: it.revision,
            ordered,
            leaving: it.leaving.into_iter().collect(),
        })
    }
}

/// What the control processes have told.
#[derive(Debug, Default)]
pub struct Config {
    view: Rc<View>,
    states: States,
    proven: Option<Instant>,
    hosts: Vec<Entry>,
    peers: Vec<SocketAddr>,
    live_hosts: u32,
    pressure: Vec<Pressure>,
    window: Window,
}

impl Config {
    /// Resources in force.
    pub fn view(&self) -> Rc<View> {
        self.view.clone()
    }

    /// Version in force.
    pub fn version(&self) -> Version {
        self.view.snapshot.version()
    }

    /// Revision of the endpoint states in force.
    pub fn endpoint_revision(&self) -> u64 {
        self.states.revision
    }

    /// Entry hosts to name to callers.
    pub fn hosts(&self) -> &[Entry] {
        &self.hosts
    }

    /// Control processes of peers.
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Number of live entry hosts, at least 1.
    pub fn live_hosts(&self) -> u32 {
        self.live_hosts.max(1)
    }

    /// Pressure that peers have signalled.
    pub fn pressure(&self) -> &[Pressure] {
        &self.pressure
    }

    /// Reporting window that is open, or `None` before the first answer.
    pub fn window(&self) -> Option<Window> {
        (self.window > 0).then_some(self.window)
    }

    /// Time since the version in force was certainly the newest accepted one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the version in force is proven to be at most `limit` old.
    pub fn is_current(&self, now: Instant, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// Takes over an answer to a call that was sent at `sent`. The proof's age
    /// counts from then, because the answer was written later. Returns whether
    /// the view has changed.
    pub fn apply(&mut self, response: Response, sent: Instant) -> Result<bool, Error> {
        let proof_age = response.proof_age();
        let claimed = response.version;
        let configured = self.update(response.update)?;
        let moved = self.update_states(response.endpoints)?;
        if configured || moved {
            let snapshot = self.view.snapshot.clone();
            self.view = Rc::new(View::new(snapshot, &self.states));
        }
        if claimed == self.version() && claimed > 0 {
            self.prove(proof_age, sent);
        }
        self.hosts = response.hosts;
        self.peers = response
            .peers
            .iter()
            .filter_map(|it| it.parse().ok())
            .collect();
        self.live_hosts = response.live_hosts;
        self.pressure = response.pressure;
        self.window = self.window.max(response.window);
        Ok(configured || moved)
    }

    fn update(&mut self, update: Option<Update>) -> Result<bool, Error> {
        let before = self.version();
        let snapshot = match update {
            None => return Ok(false),
            Some(Update::Snapshot(whole)) => Snapshot::try_from(whole)?,
            Some(Update::Changes(changes)) => {
                let mut snapshot = (*self.view.snapshot).clone();
                for change in changes {
                    snapshot.apply(Change::try_from(change)?)?;
                }
                snapshot
            }
        };
        if snapshot.version() <= before {
            return Ok(false);
        }
        // A proof speaks of one version; the new one has none until the answer gives it.
        self.proven = None;
        self.view = Rc::new(View {
            snapshot: Rc::new(snapshot),
            ..View::default()
        });
        Ok(true)
    }

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

    fn prove(&mut self, age: Option<Duration>, sent: Instant) {
        let Some(at) = age.and_then(|age| sent.checked_sub(age)) else {
            return;
        };
        self.proven = Some(self.proven.map_or(at, |known| known.max(at)));
    }
}
