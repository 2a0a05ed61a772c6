//! Admin interface of a stand-in.

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

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Address of its interface.
    pub address: SocketAddr,
    /// Its process.
    pub program: Program,
}

impl Standin {
    /// Requests that it received.
    pub async fn ledger(&self) -> Vec<Entry> {
        self.read("/admin/ledger").await
    }

    /// Requests that contain `text` anywhere.
    pub async fn count(&self, text: &str) -> u64 {
        let count: Count = self.read(&format!("/admin/ledger?contains={text}")).await;
        count.count
    }

    /// Sets the faults in force.
    pub async fn set_faults(&self, faults: &Faults) {
        self.write(Method::PUT, "/admin/faults", faults).await;
    }

    /// Sets the faults of one interface, such as `tables` or `reports`.
    pub async fn set_interface_faults(&self, interface: &str, faults: &Faults) {
        let path = format!("/admin/faults/{interface}");
        self.write(Method::PUT, &path, faults).await;
    }

    /// Sets the platform's list of machines.
    pub async fn set_machines(&self, machines: &[Machine]) {
        self.write(Method::PUT, "/admin/machines", &machines).await;
    }

    /// Endpoint orders that a platform received.
    pub async fn endpoint_orders(&self) -> Vec<orders::Received> {
        self.read("/admin/orders").await
    }

    /// Orders that an engine received.
    pub async fn engine_orders(&self) -> Vec<agate_fake::engine::orders::Received> {
        self.read("/admin/orders").await
    }

    /// Reports that a platform received.
    pub async fn reports(&self) -> Vec<reports::Received> {
        self.read("/admin/reports").await
    }

    /// Takes back the reclaimable endpoints of an availability zone.
    pub async fn reclaim(&self, reclaim: &orders::Reclaim) {
        self.write(Method::POST, "/admin/reclaim", reclaim).await;
    }

    /// Reads a path as JSON.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        Self::read_at(self.address, path).await
    }

    /// Reads a path of any stand-in as JSON.
    pub async fn read_at<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
        let request = Request::new(Method::GET, address, path);
        request.send().await.expect("stand-in answers").json()
    }

    async fn write<T: Serialize>(&self, method: Method, path: &str, body: &T) {
        let request = Request::new(method, self.address, path).json(body);
        let response = request.send().await.expect("stand-in answers");
        assert_eq!(response.status, 200, "{path} is carried out");
    }
}
