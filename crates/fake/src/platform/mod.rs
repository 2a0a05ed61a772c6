//! Stand-in for the platform: tables, objects, reports, host list, endpoint orders.
//!
//! Admin paths besides those of every stand-in:
//!
//! - `PUT /admin/machines` sets the host list to a list of [`agate_wire::platform::Machine`].
//! - `POST /admin/reclaim` reclaims the endpoints that an [`orders::Reclaim`] names.
//! - `GET /admin/orders` returns a list of [`orders::Received`].
//! - `GET /admin/reports` returns a list of [`reports::Received`].
//! - `GET /admin/spend` returns [`orders::Spend`].

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
use crate::http::{Reply, Request};
use crate::server::{Handler, Options, Server, Shared};

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address, idle timeout and seed of the listener.
    pub server: Options,
    /// Age of the host and endpoint lists when they are returned.
    pub list_lag: Duration,
    /// Table and object reads accepted per second; 0 is unlimited.
    pub reads_per_second: u32,
    /// Table and object writes accepted per second; 0 is unlimited.
    pub writes_per_second: u32,
    /// Whether endpoint orders with an epoch below the highest seen are refused.
    pub fencing: Fencing,
    /// Time from a start order until the endpoint accepts requests.
    pub boot: Duration,
    /// Time from a stop order until the endpoint is closed.
    pub stop_grace: Duration,
    /// Largest number of reclaimable endpoints that run in one availability zone.
    pub zone_capacity: u32,
    /// Settings of the engines that start orders launch.
    pub engine: engine::Settings,
}

impl Settings {
    /// Returns the defaults for an address and a seed, without rate limits.
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

/// A running platform; [`Running::close`] stops it.
pub struct Running {
    /// Address that it listens on, with the actual port.
    pub address: SocketAddr,
    /// Ledger and faults, which tests may read and set directly.
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

/// Starts the platform on the current runtime; fails if the address cannot be bound.
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
    /// Returns the endpoint orders received so far, refused ones included.
    pub fn orders(&self) -> Vec<orders::Received> {
        self.platform.orders.received()
    }

    /// Returns the usage reports received so far, refused ones included.
    pub fn reports(&self) -> Vec<reports::Received> {
        self.platform.reports.borrow().received().to_vec()
    }

    /// Stops the reclaimable endpoints of an availability zone once their notice has passed.
    pub fn reclaim(&self, reclaim: &orders::Reclaim) {
        self.platform.orders.reclaim(reclaim);
    }

    /// Stops the platform and closes the endpoints that it started.
    pub fn close(self) {
        self.server.close();
        self.platform.orders.close();
    }
}

impl Platform {
    fn respond(&self, request: &Request) -> Reply {
        let is_read = request.method == "GET";
        let quota = if is_read { &self.reads } else { &self.writes };
        match (request.method.as_str(), request.segments().as_slice()) {
            (_, ["tables" | "objects", ..]) if !quota.try_acquire() => {
                Reply::error(429, "too many calls")
            }
            (_, ["tables" | "objects", ..]) => self.store.borrow_mut().respond(request),
            ("POST", ["reports"]) => self.reports.borrow_mut().receive(request),
            ("GET", ["hosts"]) => {
                let endpoints = self.orders.listing();
                Reply::json(&self.hosts.borrow_mut().listing(endpoints))
            }
            ("GET", ["endpoints"]) => Reply::json(&self.orders.machines()),
            ("POST", ["endpoints", "orders"]) => {
                let faults = self.shared.faults.borrow().for_path(&request.path).clone();
                self.orders.receive(request, &faults.unavailable_zones)
            }
            _ => Reply::not_found(),
        }
    }

    fn respond_admin(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("PUT", ["admin", "machines"]) => match request.json() {
                Ok(machines) => {
                    self.hosts.borrow_mut().set(machines);
                    Reply::json(&())
                }
                Err(refusal) => refusal,
            },
            ("POST", ["admin", "reclaim"]) => match request.json() {
                Ok(reclaim) => {
                    self.orders.reclaim(&reclaim);
                    Reply::json(&())
                }
                Err(refusal) => refusal,
            },
            ("GET", ["admin", "orders"]) => Reply::json(&self.orders.received()),
            ("GET", ["admin", "reports"]) => Reply::json(&self.reports.borrow().received()),
            ("GET", ["admin", "spend"]) => Reply::json(&self.orders.spend()),
            _ => Reply::not_found(),
        }
    }
}

impl Handler for Platform {
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move { self.respond(&request) })
    }

    fn admin(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move { self.respond_admin(&request) })
    }
}

/// Limit on the calls of one second; 0 is unlimited.
struct Quota {
    limit: u32,
    second_start: Cell<Instant>,
    used: Cell<u32>,
}

impl Quota {
    fn new(limit: u32) -> Self {
        Self {
            limit,
            second_start: Cell::new(Instant::now()),
            used: Cell::new(0),
        }
    }

    /// Counts a call; returns false if it exceeds the limit of the current second.
    fn try_acquire(&self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.second_start.get()) >= Duration::from_secs(1) {
            self.second_start.set(now);
            self.used.set(0);
        }
        self.used.set(self.used.get().saturating_add(1));
        self.limit == 0 || self.used.get() <= self.limit
    }
}
