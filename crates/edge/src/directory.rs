//! Serves host addresses to callers, and the readiness of this host.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use agate_memory::Budget;
use agate_model::id::ZoneId;
use futures_util::future::LocalBoxFuture;
use tokio::time::Instant;

use crate::edge::Edge;
use crate::interface::Lookup;
use crate::response::{Responder, Response};
use crate::server::Incoming;
use crate::{estimate, headers};

/// Time for which callers may keep the addresses. It is short, so that callers soon stop using a
/// host that leaves.
const VALIDITY: Duration = Duration::from_secs(2);

/// Responds to lookups with addresses, and to any other request with the readiness of this host.
pub struct Directory {
    edge: Rc<Edge>,
}

impl Directory {
    /// Creates a directory that serves the state of `edge`.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }

    /// Returns the addresses of hosts that a caller may use: those of the caller's zone if there
    /// are enough of them, so that requests stay within the zone, otherwise all live ones. This
    /// host is listed while it is ready, and if no other is live also before that unless it is
    /// leaving.
    fn addresses(&self, lookup: &Lookup) -> Vec<SocketAddr> {
        let settings = self.edge.settings.borrow();
        let hosts = self.edge.hosts.borrow();
        let live = hosts.live(Instant::now());
        let others = live
            .iter()
            .filter(|row| row.ready && row.host != settings.host);
        let mut candidates: Vec<(&ZoneId, SocketAddr)> =
            others.map(|row| (&row.zone, row.address)).collect();
        if self.edge.is_ready() || candidates.is_empty() && !self.edge.is_leaving() {
            candidates.push((&settings.zone, settings.listen.front));
        }
        let mut weights: HashMap<SocketAddr, f64> =
            live.iter().map(|row| (row.address, row.weight)).collect();
        weights.insert(settings.listen.front, settings.weight);
        let near = nearest(&candidates, lookup.zone.as_ref());
        let weighted = near
            .into_iter()
            .map(|address| (address, weights.get(&address).copied().unwrap_or(1.0)));
        in_proportion(weighted.collect(), &settings.host)
    }
}

/// Minimum number of hosts of a zone that serve the callers of their zone alone, relative to the
/// mean number of hosts of a zone.
const MIN_ZONE_SHARE: f64 = 0.7;
/// Minimum number of hosts of a zone that serve the callers of their zone alone.
const MIN_ZONE_HOSTS: usize = 2;

/// Returns the addresses in the caller's zone if it has about as many hosts as other zones,
/// otherwise all addresses.
pub fn nearest(candidates: &[(&ZoneId, SocketAddr)], zone: Option<&ZoneId>) -> Vec<SocketAddr> {
    let zones: HashSet<&ZoneId> = candidates.iter().map(|host| host.0).collect();
    let own = candidates.iter().filter(|host| Some(host.0) == zone);
    let own: Vec<SocketAddr> = own.map(|host| host.1).collect();
    let share = candidates.len() as f64 / zones.len().max(1) as f64;
    if own.len() >= MIN_ZONE_HOSTS && own.len() as f64 >= share * MIN_ZONE_SHARE {
        return own;
    }
    candidates.iter().map(|host| host.1).collect()
}

/// Least part of the hosts that an answer names.
const MIN_NAMED_SHARE: f64 = 0.5;
/// Least number of hosts that an answer names, so that a caller finds one that works after many are lost.
const MIN_NAMED: usize = 4;

/// Returns the addresses that the directory of `host` names. Callers choose one of them at random, so a
/// host is named by a part of the directories that is its weight relative to the largest one. Each
/// directory always names the same hosts, since callers leave those that are no longer named. The
/// heaviest ones are named whatever the chance if too few would be.
pub fn in_proportion(mut hosts: Vec<(SocketAddr, f64)>, host: &str) -> Vec<SocketAddr> {
    hosts.sort_by(|(left, left_weight), (right, right_weight)| {
        right_weight
            .total_cmp(left_weight)
            .then_with(|| left.cmp(right))
    });
    let heaviest = hosts.first().map_or(0.0, |(_, weight)| *weight);
    let least = (hosts.len() as f64 * MIN_NAMED_SHARE).ceil() as usize;
    let least = least.max(MIN_NAMED);
    let is_drawn = |address: &SocketAddr, weight: f64| {
        let draw = estimate::hash(&format!("{host}/{address}"));
        (draw as f64) < weight / heaviest * u64::MAX as f64
    };
    let mut named: Vec<(SocketAddr, f64)> = Vec::new();
    let mut rest = Vec::new();
    for (address, weight) in hosts {
        match weight >= heaviest || is_drawn(&address, weight) {
            true => named.push((address, weight)),
            false => rest.push((address, weight)),
        }
    }
    let missing = least.saturating_sub(named.len());
    named.extend(rest.into_iter().take(missing));
    named.into_iter().map(|(address, _)| address).collect()
}

impl Responder for Directory {
    fn memory(&self) -> Rc<Budget> {
        self.edge.memory.clone()
    }

    fn respond<'a>(&'a self, incoming: &'a Incoming) -> LocalBoxFuture<'a, Response> {
        let dialect = &self.edge.remote.dialect;
        let page = if let Some(lookup) = dialect.lookup(incoming.request.head()) {
            let addresses = self.addresses(&lookup);
            let (media_type, body) = dialect.addresses(&addresses, VALIDITY);
            let status = match addresses.is_empty() {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::OK,
            };
            let headers = headers::content_type(media_type);
            Response {
                status,
                headers,
                body,
            }
        } else if self.edge.is_ready() {
            Response::bare(StatusCode::OK)
        } else {
            Response::bare(StatusCode::SERVICE_UNAVAILABLE)
        };
        Box::pin(std::future::ready(page))
    }
}
