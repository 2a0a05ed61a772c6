//! Entry hosts, on which a gate and a control process run.

use std::net::SocketAddr;

use crate::id::{HostId, Incarnation, ZoneId};

/// One entry host and the addresses of its processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name of the host.
    pub id: HostId,
    /// Process incarnation of its control process.
    pub incarnation: Incarnation,
    /// Availability zone in which the host runs.
    pub zone: ZoneId,
    /// Address on which the gate accepts callers.
    pub gate: SocketAddr,
    /// Address on which the control process accepts calls of peers.
    pub steer: SocketAddr,
    /// Address on which the control process receives gossip frames.
    pub gossip: SocketAddr,
    /// Whether the host is shutting down; a host that does is no longer listed to callers.
    pub leaving: bool,
}
