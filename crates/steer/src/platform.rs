//! Handles of the platform's interfaces, as trait objects that tests can replace.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_store::http::{Client, EngineClient};
use agate_store::interface::{Engines, Hosts, Objects, Orders, Reports, Tables};

/// Clients of all interfaces; a clone shares them.
#[derive(Clone)]
pub struct Platform {
    /// Transactional tables, which hold configuration, hosts, lease and usage.
    pub tables: Rc<dyn Tables>,
    /// Objects, which hold configuration snapshots.
    pub objects: Rc<dyn Objects>,
    /// Orders of endpoints, and the list of ordered ones.
    pub orders: Rc<dyn Orders>,
    /// Receiver of usage reports.
    pub reports: Rc<dyn Reports>,
    /// List of hosts and endpoints, which lags behind their state.
    pub hosts: Rc<dyn Hosts>,
    /// Load of model engines, and orders to them.
    pub engines: Rc<dyn Engines>,
}

impl Platform {
    /// Returns HTTP clients of the platform at `address`; `timeout` applies to each call.
    pub fn connect(address: SocketAddr, timeout: Duration) -> Self {
        let client = Rc::new(Client::new(address, timeout));
        Self {
            tables: client.clone(),
            objects: client.clone(),
            orders: client.clone(),
            reports: client.clone(),
            hosts: client,
            engines: Rc::new(EngineClient::new(timeout)),
        }
    }
}
