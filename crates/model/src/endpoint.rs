//! Endpoints, which are the model engines and plain services that requests are forwarded to.

use std::net::SocketAddr;

use crate::id::{EndpointId, PoolId, ZoneId};

/// Kind of capacity on which an endpoint runs, which determines its price.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The endpoint runs until it is released.
    Standard,
    /// The endpoint is cheaper; the platform may reclaim a whole availability zone on seconds'
    /// notice.
    Reclaimable,
}

/// Handling of an order that carries an old fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// The endpoint refuses the order.
    Checked,
    /// The endpoint carries out the order, so only waiting protects against old lease holders.
    Ignored,
}

/// Protocol that an endpoint speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// A model engine with streams, resume, cancel and load reports.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A server that executes requests of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Name of the pool that the endpoint serves.
    pub pool: PoolId,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Kind of capacity on which the endpoint runs.
    pub kind: Kind,
    /// Handling of old fencing tokens.
    pub fencing: Fencing,
    /// Protocol that the endpoint speaks.
    pub protocol: Protocol,
    /// Number of requests that the endpoint serves at once before its own queue grows.
    pub slots: u32,
    /// Credential that the system sends to the endpoint, never a caller's key; `None` if it needs
    /// none.
    pub credential: Option<String>,
    /// Whether the endpoint takes no new requests.
    pub leaving: bool,
}
