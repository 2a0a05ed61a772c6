//! Entry hosts.

use std::net::SocketAddr;

use crate::id::{HostId, Incarnation, ZoneId};

/// One entry host and the addresses of its processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name.
    pub id: HostId,
    /// Run of its control process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub gate: SocketAddr,
    /// Where peers call the control process.
    pub steer: SocketAddr,
    /// Where peers send gossip frames.
    pub gossip: SocketAddr,
    /// Set while it shuts down; it is no longer named to callers.
    pub leaving: bool,
}
