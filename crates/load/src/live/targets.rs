//! Addresses that requests are sent to, kept up to date for entry hosts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use agate_wire::address::Addresses;
use tokio::time::Instant;

use super::Route;
use super::plan::{Call, Plan};

/// Timeout for the response to `/v1/addresses`.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which addresses are kept when no host has responded.
const RETRY: Duration = Duration::from_secs(1);

/// Known addresses; those of entry hosts are fetched again once they have expired.
pub(super) struct Targets {
    route: Route,
    /// Entry hosts named in the plan, tried after the known ones.
    seeds: Vec<SocketAddr>,
    client: awc::Client,
    /// Entry hosts by the last response to `/v1/addresses`, at first the seeds.
    known: RefCell<Vec<SocketAddr>>,
    /// Time at which `known` is to be fetched again.
    expires: Cell<Instant>,
    /// Number of requests to endpoints so far; selects the first endpoint in round-robin order.
    turn: Cell<usize>,
}

impl Targets {
    /// Returns targets that know only the entry hosts of the plan.
    pub(super) fn new(plan: &Plan, route: Route) -> Self {
        let client = awc::Client::builder()
            .timeout(TIMEOUT)
            .disable_redirects()
            .finish();
        Self {
            route,
            seeds: plan.gates.clone(),
            client,
            known: RefCell::new(plan.gates.clone()),
            expires: Cell::new(Instant::now()),
            turn: Cell::new(0),
        }
    }

    /// Returns the addresses to try for a call, in order; fetches expired ones first.
    pub(super) async fn addresses(&self, call: &Call) -> Vec<SocketAddr> {
        if self.route == Route::Endpoints {
            return self.rotated(&call.endpoints);
        }
        if Instant::now() >= self.expires.get() {
            self.refresh().await;
        }
        self.known.borrow().clone()
    }

    /// Returns the endpoints in order from the next one in turn.
    fn rotated(&self, endpoints: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut rotated = endpoints.to_vec();
        if !rotated.is_empty() {
            rotated.rotate_left(self.turn.get() % endpoints.len());
            self.turn.set(self.turn.get() + 1);
        }
        rotated
    }

    /// Fetches the addresses from the known hosts, then from the seeds, until one responds. Keeps
    /// the known ones if none does.
    pub(super) async fn refresh(&self) {
        if self.route == Route::Endpoints {
            return;
        }
        self.expires.set(Instant::now() + RETRY);
        let known = self.known.borrow().clone();
        for address in known.iter().chain(&self.seeds) {
            if let Some(addresses) = self.fetch(*address).await {
                self.expires
                    .set(Instant::now() + Duration::from_secs(addresses.keep_seconds));
                *self.known.borrow_mut() =
                    addresses.hosts.iter().map(|host| host.address).collect();
                return;
            }
        }
    }

    /// Requests the addresses from a host; `None` without a valid response that lists hosts.
    async fn fetch(&self, address: SocketAddr) -> Option<Addresses> {
        let request = self.client.get(format!("http://{address}/v1/addresses"));
        let mut response = request.send().await.ok()?;
        let body = response.body().await.ok()?;
        let addresses: Addresses = serde_json::from_slice(&body).ok()?;
        (!addresses.hosts.is_empty()).then_some(addresses)
    }
}
