//! Interface for ordering endpoints, and the endpoints that it started.

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
use crate::http::{Answer, Request};
use crate::ledger::wall_ms;

/// Price of a standard endpoint, in thousandths of the standard price per hour.
pub const STANDARD_MILLI: u32 = 1000;

/// Price of a reclaimable endpoint, in thousandths of the standard price per hour.
pub const RECLAIMABLE_MILLI: u32 = 300;

/// One received order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The order, with epoch and sender.
    pub order: Order,
    /// What was answered.
    pub receipt: Receipt,
    /// Whether it changed anything; a repeated order does not.
    pub effective: bool,
    /// Connection that it came on.
    pub connection: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Take back all reclaimable endpoints of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reclaim {
    /// Availability zone.
    pub zone: String,
    /// Time until the endpoints end, in milliseconds.
    pub notice_ms: u64,
}

/// What the endpoints have cost so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Running time of standard endpoints, in milliseconds.
    pub standard_ms: u64,
    /// Running time of reclaimable endpoints, in milliseconds.
    pub reclaimable_ms: u64,
    /// Price of both, in thousandths of the standard price of one millisecond.
    pub cost_milli: u64,
}

struct Endpoint {
    machine: Machine,
    ordered: Instant,
    ended: Option<Instant>,
    engine: Option<engine::Running>,
}

struct Inner {
    received: Vec<Received>,
    receipts: HashMap<String, Receipt>,
    highest: u64,
    endpoints: Vec<Endpoint>,
    history: Vec<Version>,
    closed: bool,
}

struct Version {
    at: Instant,
    machines: Vec<Machine>,
    listed: Vec<platform::Machine>,
}

impl Version {
    fn new(endpoints: &[Endpoint]) -> Self {
        let running = endpoints.iter().filter(|it| it.ended.is_none());
        Self {
            at: Instant::now(),
            machines: running.map(|it| it.machine.clone()).collect(),
            listed: endpoints.iter().map(Endpoint::listed).collect(),
        }
    }

    fn is_old(&self, lag: Duration) -> bool {
        self.at.elapsed() >= lag
    }
}

impl Endpoint {
    fn listed(&self) -> platform::Machine {
        platform::Machine {
            id: self.machine.id.clone(),
            purpose: platform::Purpose::Endpoint,
            zone: self.machine.zone.clone(),
            state: match (self.ended, self.machine.state) {
                (Some(_), _) => platform::State::Gone,
                (None, State::Leaving) => platform::State::Leaving,
                (None, State::Starting | State::Running) => platform::State::Live,
            },
        }
    }
}

/// Orders and ordered endpoints.
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
    /// No endpoints yet.
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
                highest: 0,
                endpoints: Vec::new(),
                history: Vec::new(),
                closed: false,
            }),
        })
    }

    /// Takes an order.
    pub fn receive(self: &Rc<Self>, request: &Request, unavailable_zones: &[String]) -> Answer {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let earlier = self.inner.borrow().receipts.get(&order.id).cloned();
        let receipt = match &earlier {
            Some(receipt) => receipt.clone(),
            None => self.decide(&order, unavailable_zones),
        };
        let is_done = matches!(receipt, Receipt::Done { .. });
        let mut inner = self.inner.borrow_mut();
        inner.received.push(Received {
            receipt: receipt.clone(),
            effective: is_done && earlier.is_none(),
            connection: request.connection,
            at_ms: wall_ms(),
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
        Answer::with_status(status, &receipt)
    }

    /// Orders received so far.
    pub fn received(&self) -> Vec<Received> {
        self.inner.borrow().received.clone()
    }

    /// Endpoints as of the lag ago.
    pub fn machines(&self) -> Vec<Machine> {
        let inner = self.inner.borrow();
        let found = inner.history.iter().rev().find(|it| it.is_old(self.lag));
        found.map(|it| it.machines.clone()).unwrap_or_default()
    }

    /// Endpoints as of the lag ago, in the form of the host list.
    pub fn listing(&self) -> platform::Listing {
        let inner = self.inner.borrow();
        let found = inner.history.iter().rposition(|it| it.is_old(self.lag));
        let Some(index) = found else {
            return platform::Listing::default();
        };
        platform::Listing {
            revision: index as u64 + 1,
            machines: inner.history[index].listed.clone(),
        }
    }

    /// Costs so far.
    pub fn spend(&self) -> Spend {
        let now = Instant::now();
        let mut spend = Spend::default();
        for endpoint in &self.inner.borrow().endpoints {
            let time = endpoint.ended.unwrap_or(now) - endpoint.ordered;
            let time = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            match endpoint.machine.kind {
                EndpointKind::Standard => spend.standard_ms += time,
                EndpointKind::Reclaimable => spend.reclaimable_ms += time,
            }
            spend.cost_milli += time * u64::from(endpoint.machine.price_milli);
        }
        spend
    }

    /// Takes back the reclaimable endpoints of an availability zone.
    pub fn reclaim(self: &Rc<Self>, reclaim: &Reclaim) {
        let taken: Vec<String> = self
            .inner
            .borrow()
            .endpoints
            .iter()
            .filter(|it| it.ended.is_none())
            .map(|it| &it.machine)
            .filter(|it| it.zone == reclaim.zone && it.kind == EndpointKind::Reclaimable)
            .map(|it| it.id.clone())
            .collect();
        for id in taken {
            self.leave(&id, Duration::from_millis(reclaim.notice_ms));
        }
    }

    /// Ends all endpoints.
    pub fn close(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.closed = true;
        for endpoint in &mut inner.endpoints {
            if let Some(engine) = endpoint.engine.take() {
                engine.close();
            }
        }
    }

    fn decide(self: &Rc<Self>, order: &Order, unavailable_zones: &[String]) -> Receipt {
        let highest = self.inner.borrow().highest;
        if self.fencing == Fencing::Checked && order.epoch < highest {
            return Receipt::Fenced { epoch: highest };
        }
        self.inner.borrow_mut().highest = highest.max(order.epoch);
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
                self.leave(endpoint, self.stop_grace);
                Receipt::Done {
                    endpoint: endpoint.clone(),
                }
            }
        }
    }

    fn is_full(&self, zone: &str) -> bool {
        let inner = self.inner.borrow();
        let in_use = inner.endpoints.iter().filter(|it| {
            it.ended.is_none()
                && it.machine.zone == zone
                && it.machine.kind == EndpointKind::Reclaimable
        });
        in_use.count() >= self.zone_capacity
    }

    fn launch(self: &Rc<Self>, order: &str, pool: &str, zone: &str, kind: EndpointKind) -> Receipt {
        let engine = match engine::start(&self.engine) {
            Ok(engine) => engine,
            Err(err) => {
                tracing::error!(event = "engine_failed", error = %err, "no endpoint started");
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
            ordered: Instant::now(),
            ended: None,
            engine: Some(engine),
        });
        self.note();
        let (orders, name) = (self.clone(), id.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(orders.boot).await;
            orders.boot_ended(&name);
        });
        Receipt::Done { endpoint: id }
    }

    fn boot_ended(&self, id: &str) {
        self.change(id, |endpoint| {
            if endpoint.machine.state == State::Starting {
                endpoint.machine.state = State::Running;
            }
            if let Some(engine) = &endpoint.engine {
                engine.set_booting(false);
            }
        });
    }

    fn leave(self: &Rc<Self>, id: &str, grace: Duration) {
        self.change(id, |endpoint| endpoint.machine.state = State::Leaving);
        let (orders, id) = (self.clone(), id.to_owned());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(grace).await;
            orders.change(&id, |endpoint| {
                if let Some(engine) = endpoint.engine.take() {
                    engine.close();
                    endpoint.ended = Some(Instant::now());
                }
            });
        });
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Endpoint)) {
        let mut inner = self.inner.borrow_mut();
        if inner.closed {
            return;
        }
        if let Some(endpoint) = inner.endpoints.iter_mut().find(|it| it.machine.id == id) {
            change(endpoint);
        }
        drop(inner);
        self.note();
    }

    fn note(&self) {
        let mut inner = self.inner.borrow_mut();
        let version = Version::new(&inner.endpoints);
        inner.history.push(version);
    }
}
