//! Addresses to call.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use agate_wire::address::Addresses;
use tokio::time::Instant;

use super::Route;
use super::plan::{Call, Plan};

/// Limit on the answer to `/v1/addresses`.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long addresses are kept when no host answered.
const RETRY: Duration = Duration::from_secs(1);

/// Addresses, asked for again when the answer has lapsed.
pub(super) struct Targets {
    route: Route,
    seeds: Vec<SocketAddr>,
    client: awc::Client,
    known: RefCell<Vec<SocketAddr>>,
    lapses: Cell<Instant>,
    turn: Cell<usize>,
}

impl Targets {
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
            lapses: Cell::new(Instant::now()),
            turn: Cell::new(0),
        }
    }

    /// Addresses to try for a call, in order.
    pub(super) async fn of(&self, call: &Call) -> Vec<SocketAddr> {
        if self.route == Route::Endpoints {
            return self.rotated(&call.endpoints);
        }
        if Instant::now() >= self.lapses.get() {
            self.refresh().await;
        }
        self.known.borrow().clone()
    }

    fn rotated(&self, endpoints: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut rotated = endpoints.to_vec();
        if !rotated.is_empty() {
            rotated.rotate_left(self.turn.get() % endpoints.len());
            self.turn.set(self.turn.get() + 1);
        }
        rotated
    }

    /// Asks the known hosts, then the first ones, until one answers.
    pub(super) async fn refresh(&self) {
        if self.route == Route::Endpoints {
            return;
        }
        self.lapses.set(Instant::now() + RETRY);
        let known = self.known.borrow().clone();
        for address in known.iter().chain(&self.seeds) {
            if let Some(answer) = self.ask(*address).await {
                self.lapses
                    .set(Instant::now() + Duration::from_secs(answer.keep_seconds));
                *self.known.borrow_mut() = answer.hosts.iter().map(|it| it.address).collect();
                return;
            }
        }
    }

    async fn ask(&self, address: SocketAddr) -> Option<Addresses> {
        let request = self.client.get(format!("http://{address}/v1/addresses"));
        let mut answer = request.send().await.ok()?;
        let body = answer.body().await.ok()?;
        let addresses: Addresses = serde_json::from_slice(&body).ok()?;
        (!addresses.hosts.is_empty()).then_some(addresses)
    }
}
