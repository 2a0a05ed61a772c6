//! Client of the admin interface of a stand-in.

use std::net::SocketAddr;

use agate_fake::ledger::{Count, Entry};
use agate_fake::platform::{orders, reports};
use agate_wire::fault::Faults;
use agate_wire::platform::Machine;
use awc::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::Request;
use crate::program::Program;

/// A running `agate-fake` process that stands in for the platform, an engine or a service.
#[derive(Debug)]
pub struct Standin {
    /// Address on which it serves both its usual and its admin interface.
    pub address: SocketAddr,
    /// Process that serves the interface; killed when dropped.
    pub program: Program,
}

impl Standin {
    /// Returns every request that it has received, in order of arrival.
    pub async fn ledger(&self) -> Vec<Entry> {
        self.read("/admin/ledger").await
    }

    /// Returns how many received requests contain `text` in path, query, headers or body.
    pub async fn count(&self, text: &str) -> u64 {
        let count: Count = self.read(&format!("/admin/ledger?contains={text}")).await;
        count.count
    }

    /// Sets the faults of every interface that has none of its own.
    pub async fn set_faults(&self, faults: &Faults) {
        self.write(Method::PUT, "/admin/faults", faults).await;
    }

    /// Sets the faults of one interface of the platform, such as `tables` or `reports`.
    pub async fn set_interface_faults(&self, interface: &str, faults: &Faults) {
        let path = format!("/admin/faults/{interface}");
        self.write(Method::PUT, &path, faults).await;
    }

    /// Sets the list of machines that the platform returns.
    pub async fn set_machines(&self, machines: &[Machine]) {
        self.write(Method::PUT, "/admin/machines", &machines).await;
    }

    /// Returns the endpoint orders that a platform has received.
    pub async fn endpoint_orders(&self) -> Vec<orders::Received> {
        self.read("/admin/orders").await
    }

    /// Returns the orders that an engine has received.
    pub async fn engine_orders(&self) -> Vec<agate_fake::engine::orders::Received> {
        self.read("/admin/orders").await
    }

    /// Returns the usage reports that a platform has received.
    pub async fn reports(&self) -> Vec<reports::Received> {
        self.read("/admin/reports").await
    }

    /// Makes the platform reclaim the reclaimable endpoints of an availability zone.
    pub async fn reclaim(&self, reclaim: &orders::Reclaim) {
        self.write(Method::POST, "/admin/reclaim", reclaim).await;
    }

    /// Requests a path of this stand-in and decodes the JSON response.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        Self::read_at(self.address, path).await
    }

    /// Requests a path of the stand-in at `address` and decodes the JSON response.
    pub async fn read_at<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
        let request = Request::new(Method::GET, address, path);
        request.send().await.expect("stand-in responds").json()
    }

    async fn write<T: Serialize>(&self, method: Method, path: &str, body: &T) {
        let request = Request::new(method, self.address, path).json(body);
        let response = request.send().await.expect("stand-in responds");
        assert_eq!(response.status, 200, "stand-in accepts a write to {path}");
    }
}
