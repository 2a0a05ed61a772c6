//! Stand-in for the platform: tables, objects, reports, host list, endpoint orders.
//!
//! Admin paths besides those of every stand-in:
//!
//! - `PUT /admin/machines` takes a list of [`agate_wire::platform::Machine`].
//! - `POST /admin/reclaim` takes [`orders::Reclaim`].
//! - `GET /admin/orders` answers a list of [`orders::Received`].
//! - `GET /admin/reports` answers a list of [`reports::Received`].
//! - `GET /admin/spend` answers [`orders::Spend`].

pub mod hosts;
pub mod orders;
pub mod reports;
pub mod store;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_wire::manifest::Fencing;
use futures_util::future::LocalBoxFuture;
use tokio::time::Instant;

use crate::engine;
use crate::http::{Answer, Request};
use crate::server::{Handle, Options, Server, Shared};

/// Options of the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listener.
    pub server: Options,
    /// Age of the host and endpoint lists.
    pub list_lag: Duration,
    /// Reads per second; 0 is unlimited.
    pub reads_per_second: u32,
    /// Writes per second; 0 is unlimited.
    pub writes_per_second: u32,
    /// Reaction to endpoint orders with an old epoch.
    pub fencing: Fencing,
    /// From an order to the endpoint's first request.
    pub boot: Duration,
    /// From a stop order to the endpoint's end.
    pub stop_grace: Duration,
    /// Reclaimable endpoints that one availability zone has room for.
    pub zone_capacity: u32,
    /// Endpoints that are started on order.
    pub engine: engine::Settings,
}

impl Settings {
    /// Defaults for an address and a seed.
    pub fn new(listen: SocketAddr, seed: u64) -> Self {
        Self {
            server: Options {
                listen,
                idle: Duration::from_secs(1),
                seed,
            },
            list_lag: Duration::from_secs(1),
            reads_per_second: 0,
            writes_per_second: 0,
            fencing: Fencing::Checked,
            boot: Duration::from_secs(1),
            stop_grace: Duration::from_secs(1),
            zone_capacity: 8,
            engine: engine::Settings::new(SocketAddr::new(listen.ip(), 0), seed),
        }
    }
}

/// A running platform.
pub struct Running {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Ledger and faults.
    pub shared: Rc<Shared>,
    platform: Rc<Platform>,
    server: Server,
}

struct Platform {
    shared: Rc<Shared>,
    store: RefCell<store::Store>,
    reads: Quota,
    writes: Quota,
    reports: RefCell<reports::Reports>,
    hosts: RefCell<hosts::Hosts>,
    orders: Rc<orders::Orders>,
}

/// Starts the platform on the current runtime.
pub fn start(settings: &Settings) -> io::Result<Running> {
    let shared = Shared::new(&settings.server);
    let platform = Rc::new(Platform {
        shared: shared.clone(),
        store: RefCell::default(),
        reads: Quota::new(settings.reads_per_second),
        writes: Quota::new(settings.writes_per_second),
        reports: RefCell::default(),
        hosts: RefCell::new(hosts::Hosts::new(settings.list_lag)),
        orders: orders::Orders::new(settings),
    });
    let server = Server::start(&settings.server, shared.clone(), platform.clone())?;
    Ok(Running {
        address: server.address,
        shared,
        platform,
        server,
    })
}

impl Running {
    /// Orders received so far.
    pub fn orders(&self) -> Vec<orders::Received> {
        self.platform.orders.received()
    }

    /// Reports received so far.
    pub fn reports(&self) -> Vec<reports::Received> {
        self.platform.reports.borrow().received().to_vec()
    }

    /// Takes back the reclaimable endpoints of an availability zone.
    pub fn reclaim(&self, reclaim: &orders::Reclaim) {
        self.platform.orders.reclaim(reclaim);
    }

    /// Stops the platform and the endpoints that it started.
    pub fn close(self) {
        self.server.close();
        self.platform.orders.close();
    }
}

impl Platform {
    fn answer(&self, request: &Request) -> Answer {
        let is_read = request.method == "GET";
        let quota = if is_read { &self.reads } else { &self.writes };
        match (request.method.as_str(), request.segments().as_slice()) {
            (_, ["tables" | "objects", ..]) if !quota.take() => {
                Answer::error(429, "too many calls")
            }
            (_, ["tables" | "objects", ..]) => self.store.borrow_mut().answer(request),
            ("POST", ["reports"]) => self.reports.borrow_mut().receive(request),
            ("GET", ["hosts"]) => {
                let ordered = self.orders.listing();
                Answer::json(&self.hosts.borrow_mut().listing(ordered))
            }
            ("GET", ["endpoints"]) => Answer::json(&self.orders.machines()),
            ("POST", ["endpoints", "orders"]) => {
                let faults = self.shared.faults.borrow().of(&request.path).clone();
                self.orders.receive(request, &faults.unavailable_zones)
            }
            _ => Answer::not_found(),
        }
    }

    fn answer_admin(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("PUT", ["admin", "machines"]) => match request.json() {
                Ok(machines) => {
                    self.hosts.borrow_mut().set(machines);
                    Answer::json(&())
                }
                Err(refusal) => refusal,
            },
            ("POST", ["admin", "reclaim"]) => match request.json() {
                Ok(reclaim) => {
                    self.orders.reclaim(&reclaim);
                    Answer::json(&())
                }
                Err(refusal) => refusal,
            },
            ("GET", ["admin", "orders"]) => Answer::json(&self.orders.received()),
            ("GET", ["admin", "reports"]) => Answer::json(&self.reports.borrow().received()),
            ("GET", ["admin", "spend"]) => Answer::json(&self.orders.spend()),
            _ => Answer::not_found(),
        }
    }
}

impl Handle for Platform {
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer> {
        Box::pin(async move { self.answer(&request) })
    }

    fn admin(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer> {
        Box::pin(async move { self.answer_admin(&request) })
    }
}

/// Calls allowed in each second.
struct Quota {
    limit: u32,
    since: Cell<Instant>,
    used: Cell<u32>,
}

impl Quota {
    fn new(limit: u32) -> Self {
        Self {
            limit,
            since: Cell::new(Instant::now()),
            used: Cell::new(0),
        }
    }

    fn take(&self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.since.get()) >= Duration::from_secs(1) {
            self.since.set(now);
            self.used.set(0);
        }
        self.used.set(self.used.get().saturating_add(1));
        self.limit == 0 || self.used.get() <= self.limit
    }
}
