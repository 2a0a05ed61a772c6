//! Configuration of an entry host: routes, services, limits and client accounts.

mod checksum;
mod patch;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{AccountId, RouteId, Tier, Version, ZoneId};
use agate_model::key::Digest;
use serde::{Deserialize, Serialize};

pub use self::patch::{Patch, Unpatched};

/// Name of a service, unique within a configuration.
pub type ServiceId = String;

/// Kind of the requests of a route, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that must run at most once.
    Once,
    /// Requests with a stream of events as response; they must run at most once unless the stream
    /// is resumable.
    Stream {
        /// Whether another endpoint may continue after the last event received.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run can be retried.
    pub fn is_retryable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// Route of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host name in the requests, compared without regard to case.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: Kind,
    /// Maximum time from a request's arrival to its deadline.
    pub timeout: Duration,
    /// Latency that the operator aims at, to the response or to the first event.
    pub target: Duration,
    /// Urgency of the requests; 0 is the highest.
    pub tier: Tier,
    /// Services with their weights; never empty.
    pub split: Vec<(ServiceId, u32)>,
    /// Maximum number of endpoints to which one request is sent.
    pub attempts: u32,
    /// Whether requests are served without a key.
    pub open: bool,
}

impl Route {
    /// Returns the service for a request, chosen by weight. `draw` is a uniformly distributed
    /// number.
    pub fn service(&self, draw: u64) -> &ServiceId {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = draw % total.max(1);
        for (service, weight) in &self.split {
            if remaining < u64::from(*weight) {
                return service;
            }
            remaining -= u64::from(*weight);
        }
        &self.split[0].0
    }
}

/// Capacity of the model engine that runs on each endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests that run at once on one endpoint.
    pub slots: u32,
    /// Memory of one endpoint in tokens, shared by running requests and cached prompts.
    pub memory_tokens: u64,
}

/// Bounds and prices for ordering the endpoints of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scale {
    /// Minimum number of endpoints in a zone.
    pub min: u32,
    /// Maximum number of endpoints in a zone, of both kinds together.
    pub max: u32,
    /// Time from the order of an endpoint until it accepts requests.
    pub boot: Duration,
    /// Price of a reclaimable endpoint relative to a standard one; `None` if there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// Price of an endpoint by zone; also lists the zones.
    pub zone_prices: BTreeMap<ZoneId, f64>,
}

/// What an endpoint bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdBounds {
    /// Time for which an endpoint is cold after its start.
    pub time: Duration,
    /// Requests a second of all hosts together.
    pub rate: f64,
}

/// Group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the endpoints' health check.
    pub health_path: String,
    /// Maximum number of connections to one endpoint from all hosts together.
    pub connections: u32,
    /// Capacity of the model engines; `None` if the endpoints are not model engines.
    pub engine: Option<Engine>,
    /// Bounds and prices of orders; `None` if no endpoints are ordered for the service.
    pub scale: Option<Scale>,
    /// Bounds of cold endpoints; `None` if they take requests like others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdBounds>,
}

/// Limits on the size and time of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request's head to its last.
    pub head_timeout: Duration,
    /// Maximum time between two requests on one connection.
    pub idle_timeout: Duration,
}

/// Limits until a configuration is read, and for callers that are hosts or operators.
impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Client account to which a key belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account, which is sent to endpoints.
    pub id: AccountId,
    /// Urgency that takes precedence over that of the route; `None` counts as 0, the highest.
    pub tier: Option<Tier>,
}

/// Accounts by the digest of the key.
type Keys = HashMap<Digest, Rc<Account>>;

/// One version of the configuration of all entry hosts. Versions share the routes and accounts that they
/// have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version number; grows with every change, by varying steps.
    pub version: Version,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Accounts by the digest of the key; `None` if no request needs a key.
    keys: Option<Keys>,
    /// Routes by lowercase host name, in the order of their prefixes.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Highest tier of all routes plus 1.
    route_tiers: Tier,
    /// Sum of the hashes of all services, keys and routes.
    parts: u64,
}

impl Config {
    /// Creates a configuration with the given routes and accounts by key. Only digests of the keys
    /// are kept, so that hosts can hand the configuration on. Of several routes with one host name
    /// and prefix the first counts.
    pub fn new(
        version: Version,
        limits: Limits,
        services: impl IntoIterator<Item = Service>,
        keys: Option<HashMap<String, Account>>,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|left, right| left.prefix.cmp(&right.prefix));
            routes.dedup_by(|next, first| next.prefix == first.prefix);
        }
        let services = services.into_iter();
        let mut config = Self {
            version,
            limits,
            services: services
                .map(|service| (service.id.clone(), service))
                .collect(),
            keys: keys.map(|keys| {
                let digested = keys.into_iter();
                digested
                    .map(|(key, account)| (Digest::of(key.as_bytes()), Rc::new(account)))
                    .collect()
            }),
            routes: by_host,
            route_tiers: 0,
            parts: 0,
        };
        config.count_tiers();
        config.parts = checksum::of_parts(&config);
        config
    }

    fn count_tiers(&mut self) {
        let tiers = self.routes.values().flatten().map(|route| route.tier);
        self.route_tiers = tiers.max().unwrap_or(0).saturating_add(1);
    }

    /// Returns a checksum of all that the configuration contains, whatever the order of its parts.
    pub fn checksum(&self) -> u64 {
        checksum::of_whole(self)
    }

    /// Returns whether requests need a key, except those on open routes.
    pub fn needs_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the account of a key; `None` if there is none.
    pub fn account(&self, key: &str) -> Option<&Account> {
        let account = self.keys.as_ref()?.get(&Digest::of(key.as_bytes()));
        account.map(Rc::as_ref)
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        // Every prefix of `rest` is at or before the last route that is not greater, and shares with
        // that route what `rest` is cut down to.
        let mut rest = path;
        loop {
            let count = routes.partition_point(|route| route.prefix.as_str() <= rest);
            let route = &routes[count.checked_sub(1)?];
            if rest.starts_with(&route.prefix) {
                return Some(route);
            }
            rest = &rest[..common_prefix(rest, &route.prefix)];
        }
    }

    /// Returns the urgency of a request; 0 is the highest. Requests are ordered by the account's
    /// urgency first, and by the route's urgency among accounts of the same urgency.
    pub fn urgency(&self, account: Option<&Account>, route: &Route) -> Tier {
        let account_tier = account.and_then(|account| account.tier).unwrap_or(0);
        account_tier
            .saturating_mul(self.route_tiers)
            .saturating_add(route.tier)
    }

    /// Returns the number of routes of all host names.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the number of keys of all accounts.
    pub fn key_count(&self) -> usize {
        self.keys.as_ref().map_or(0, HashMap::len)
    }
}

/// Returns the length in bytes of the longest common prefix of two texts.
fn common_prefix(left: &str, right: &str) -> usize {
    let pairs = left.char_indices().zip(right.chars());
    let mut differing = pairs.skip_while(|((_, left), right)| left == right);
    let shorter = left.len().min(right.len());
    differing.next().map_or(shorter, |((index, _), _)| index)
}
