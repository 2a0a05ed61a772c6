//! Interface that starts and stops endpoints on order, and the endpoints themselves.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use agate_wire::manifest::{EndpointKind, Fencing};
use agate_wire::order::{Action, Machine, Order, Receipt, State};
use agate_wire::platform;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Settings;
use crate::engine;
use crate::http::{Reply, Request};
use crate::ledger::unix_ms;

/// Price of a standard endpoint, in thousandths of the standard price per hour.
pub const STANDARD_MILLI: u32 = 1000;

/// Price of a reclaimable endpoint, in thousandths of the standard price per hour.
pub const RECLAIMABLE_MILLI: u32 = 300;

/// A received endpoint order, as `GET /admin/orders` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// Order as sent, with the epoch and the sender.
    pub order: Order,
    /// Receipt that was returned for it.
    pub receipt: Receipt,
    /// Whether it was executed; false for a refused order and for the retry of an executed one.
    pub effective: bool,
    /// Number of the connection that carried it, counted from 0.
    pub connection: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Body of `POST /admin/reclaim`: reclaims all reclaimable endpoints of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reclaim {
    /// Availability zone whose endpoints are reclaimed.
    pub zone: String,
    /// Time until the endpoints are closed, in milliseconds; until then they are leaving.
    pub notice_ms: u64,
}

/// Running time and cost of all endpoints so far, from their start orders to their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Total running time of standard endpoints, in milliseconds.
    pub standard_ms: u64,
    /// Total running time of reclaimable endpoints, in milliseconds.
    pub reclaimable_ms: u64,
    /// Cost of both kinds, in thousandths of the standard price of one millisecond.
    pub cost_milli: u64,
}

/// An endpoint started on order; it stays listed after its end.
struct Endpoint {
    machine: Machine,
    ordered_at: Instant,
    ended_at: Option<Instant>,
    /// Engine that serves the endpoint; `None` once it is closed.
    engine: Option<engine::Running>,
}

struct Inner {
    received: Vec<Received>,
    /// Receipts of executed orders, by order id; a retry gets the same receipt.
    receipts: HashMap<String, Receipt>,
    highest_epoch: u64,
    endpoints: Vec<Endpoint>,
    /// Versions of the endpoint list, the newest last.
    history: Vec<Version>,
    /// Whether the platform has stopped; endpoints no longer change then.
    closed: bool,
}

/// Endpoint list at one time, in the forms of both interfaces.
struct Version {
    recorded_at: Instant,
    /// Endpoints that have not ended.
    machines: Vec<Machine>,
    /// All endpoints, ended ones included, as the host list shows them.
    host_entries: Vec<platform::Machine>,
}

impl Version {
    fn new(endpoints: &[Endpoint]) -> Self {
        let running = endpoints
            .iter()
            .filter(|endpoint| endpoint.ended_at.is_none());
        Self {
            recorded_at: Instant::now(),
            machines: running.map(|endpoint| endpoint.machine.clone()).collect(),
            host_entries: endpoints.iter().map(Endpoint::host_entry).collect(),
        }
    }

    fn is_old(&self, lag: Duration) -> bool {
        self.recorded_at.elapsed() >= lag
    }
}

impl Endpoint {
    /// Returns the endpoint in the form of the host list.
    fn host_entry(&self) -> platform::Machine {
        platform::Machine {
            id: self.machine.id.clone(),
            purpose: platform::Purpose::Endpoint,
            zone: self.machine.zone.clone(),
            state: match (self.ended_at, self.machine.state) {
                (Some(_), _) => platform::State::Gone,
                (None, State::Leaving) => platform::State::Leaving,
                (None, State::Starting | State::Running) => platform::State::Live,
            },
        }
    }
}

/// Received orders and the endpoints that they started.
pub struct Orders {
    lag: Duration,
    fencing: Fencing,
    boot: Duration,
    stop_grace: Duration,
    zone_capacity: usize,
    engine: engine::Settings,
    inner: RefCell<Inner>,
}

impl Orders {
    /// Creates the state without orders and endpoints.
    pub fn new(settings: &Settings) -> Rc<Self> {
        Rc::new(Self {
            lag: settings.list_lag,
            fencing: settings.fencing,
            boot: settings.boot,
            stop_grace: settings.stop_grace,
            zone_capacity: usize::try_from(settings.zone_capacity).unwrap_or(usize::MAX),
            engine: settings.engine.clone(),
            inner: RefCell::new(Inner {
                received: Vec::new(),
                receipts: HashMap::new(),
                highest_epoch: 0,
                endpoints: Vec::new(),
                history: Vec::new(),
                closed: false,
            }),
        })
    }

    /// Executes an order and records it with its receipt; the retry of an executed order returns
    /// the earlier receipt. `unavailable_zones` have no capacity for reclaimable endpoints.
    pub fn receive(self: &Rc<Self>, request: &Request, unavailable_zones: &[String]) -> Reply {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let earlier = self.inner.borrow().receipts.get(&order.id).cloned();
        let receipt = match &earlier {
            Some(receipt) => receipt.clone(),
            None => self.execute(&order, unavailable_zones),
        };
        let is_done = matches!(receipt, Receipt::Done { .. });
        let mut inner = self.inner.borrow_mut();
        inner.received.push(Received {
            receipt: receipt.clone(),
            effective: is_done && earlier.is_none(),
            connection: request.connection,
            at_ms: unix_ms(),
            order: order.clone(),
        });
        if is_done {
            inner.receipts.insert(order.id, receipt.clone());
        }
        let status = if matches!(receipt, Receipt::Fenced { .. }) {
            409
        } else {
            200
        };
        Reply::with_status(status, &receipt)
    }

    /// Returns the orders received so far, refused ones included.
    pub fn received(&self) -> Vec<Received> {
        self.inner.borrow().received.clone()
    }

    /// Returns the endpoints as of the list lag ago, without those that had ended.
    pub fn machines(&self) -> Vec<Machine> {
        let inner = self.inner.borrow();
        let found = inner
            .history
            .iter()
            .rev()
            .find(|version| version.is_old(self.lag));
        found
            .map(|version| version.machines.clone())
            .unwrap_or_default()
    }

    /// Returns the endpoints as of the list lag ago in the form of the host list, ended ones
    /// included.
    pub fn listing(&self) -> platform::Listing {
        let inner = self.inner.borrow();
        let found = inner
            .history
            .iter()
            .rposition(|version| version.is_old(self.lag));
        let Some(index) = found else {
            return platform::Listing::default();
        };
        platform::Listing {
            revision: index as u64 + 1,
            machines: inner.history[index].host_entries.clone(),
        }
    }

    /// Returns the running time and cost of all endpoints so far.
    pub fn spend(&self) -> Spend {
        let now = Instant::now();
        let mut spend = Spend::default();
        for endpoint in &self.inner.borrow().endpoints {
            let time = endpoint.ended_at.unwrap_or(now) - endpoint.ordered_at;
            let time = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            match endpoint.machine.kind {
                EndpointKind::Standard => spend.standard_ms += time,
                EndpointKind::Reclaimable => spend.reclaimable_ms += time,
            }
            spend.cost_milli += time * u64::from(endpoint.machine.price_milli);
        }
        spend
    }

    /// Stops the reclaimable endpoints of an availability zone once their notice has passed.
    pub fn reclaim(self: &Rc<Self>, reclaim: &Reclaim) {
        let reclaimed: Vec<String> = self
            .inner
            .borrow()
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.ended_at.is_none())
            .map(|endpoint| &endpoint.machine)
            .filter(|machine| {
                machine.zone == reclaim.zone && machine.kind == EndpointKind::Reclaimable
            })
            .map(|machine| machine.id.clone())
            .collect();
        for id in reclaimed {
            self.stop_after(&id, Duration::from_millis(reclaim.notice_ms));
        }
    }

    /// Closes all endpoints and keeps them from changing further.
    pub fn close(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.closed = true;
        for endpoint in &mut inner.endpoints {
            if let Some(engine) = endpoint.engine.take() {
                engine.close();
            }
        }
    }

    /// Executes a new order, unless its epoch is fenced or its zone has no capacity.
    fn execute(self: &Rc<Self>, order: &Order, unavailable_zones: &[String]) -> Receipt {
        let highest_epoch = self.inner.borrow().highest_epoch;
        if self.fencing == Fencing::Checked && order.epoch < highest_epoch {
            return Receipt::Fenced {
                epoch: highest_epoch,
            };
        }
        self.inner.borrow_mut().highest_epoch = highest_epoch.max(order.epoch);
        match &order.action {
            Action::Start { pool, zone, kind } => {
                if *kind == EndpointKind::Reclaimable
                    && (unavailable_zones.contains(zone) || self.is_full(zone))
                {
                    return Receipt::Unavailable;
                }
                self.launch(&order.id, pool, zone, *kind)
            }
            Action::Stop { endpoint } => {
                self.stop_after(endpoint, self.stop_grace);
                Receipt::Done {
                    endpoint: endpoint.clone(),
                }
            }
        }
    }

    fn is_full(&self, zone: &str) -> bool {
        let inner = self.inner.borrow();
        let in_use = inner.endpoints.iter().filter(|endpoint| {
            endpoint.ended_at.is_none()
                && endpoint.machine.zone == zone
                && endpoint.machine.kind == EndpointKind::Reclaimable
        });
        in_use.count() >= self.zone_capacity
    }

    /// Starts an endpoint that refuses requests until its boot time has passed.
    fn launch(self: &Rc<Self>, order: &str, pool: &str, zone: &str, kind: EndpointKind) -> Receipt {
        let engine = match engine::start(&self.engine) {
            Ok(engine) => engine,
            Err(err) => {
                tracing::error!(event = "engine_failed", error = %err, "engine did not start");
                return Receipt::Unavailable;
            }
        };
        let number = self.inner.borrow().endpoints.len() + 1;
        let id = format!("{pool}-{zone}-{number}");
        let machine = Machine {
            id: id.clone(),
            order: order.to_owned(),
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            kind,
            address: engine.address,
            state: State::Starting,
            price_milli: match kind {
                EndpointKind::Standard => STANDARD_MILLI,
                EndpointKind::Reclaimable => RECLAIMABLE_MILLI,
            },
        };
        engine.set_booting(true);
        self.inner.borrow_mut().endpoints.push(Endpoint {
            machine,
            ordered_at: Instant::now(),
            ended_at: None,
            engine: Some(engine),
        });
        self.record_version();
        let (orders, name) = (self.clone(), id.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(orders.boot).await;
            orders.finish_boot(&name);
        });
        Receipt::Done { endpoint: id }
    }

    fn finish_boot(&self, id: &str) {
        self.update(id, |endpoint| {
            if endpoint.machine.state == State::Starting {
                endpoint.machine.state = State::Running;
            }
            if let Some(engine) = &endpoint.engine {
                engine.set_booting(false);
            }
        });
    }

    /// Marks an endpoint as leaving and closes it after the grace period.
    fn stop_after(self: &Rc<Self>, id: &str, grace: Duration) {
        self.update(id, |endpoint| endpoint.machine.state = State::Leaving);
        let (orders, id) = (self.clone(), id.to_owned());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(grace).await;
            orders.update(&id, |endpoint| {
                if let Some(engine) = endpoint.engine.take() {
                    engine.close();
                    endpoint.ended_at = Some(Instant::now());
                }
            });
        });
    }

    /// Changes an endpoint and records the new version of the list.
    fn update(&self, id: &str, apply: impl FnOnce(&mut Endpoint)) {
        let mut inner = self.inner.borrow_mut();
        if inner.closed {
            return;
        }
        if let Some(endpoint) = inner
            .endpoints
            .iter_mut()
            .find(|endpoint| endpoint.machine.id == id)
        {
            apply(endpoint);
        }
        drop(inner);
        self.record_version();
    }

    fn record_version(&self) {
        let mut inner = self.inner.borrow_mut();
        let version = Version::new(&inner.endpoints);
        inner.history.push(version);
    }
}
