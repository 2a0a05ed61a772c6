//! Endpoints: engines and plain services that requests are forwarded to.

use std::net::SocketAddr;

use crate::id::{EndpointId, PoolId, ZoneId};

/// How an endpoint was bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Runs until it is released.
    Standard,
    /// Cheaper; a whole availability zone may be taken back on seconds' notice.
    Reclaimable,
}

/// What an endpoint does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses it.
    Checked,
    /// Carries it out; only waiting protects.
    Ignored,
}

/// What an endpoint speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// A model engine with streams, resume, cancel and load reports.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name.
    pub id: EndpointId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// How it was bought.
    pub kind: Kind,
    /// Reaction to old fencing numbers.
    pub fencing: Fencing,
    /// What it speaks.
    pub protocol: Protocol,
    /// Requests that it serves at once before its own queue grows.
    pub slots: u32,
    /// Credential that the system shows to it; never a caller's key.
    pub credential: Option<String>,
    /// Set once it takes no new work.
    pub leaving: bool,
}
