//! Loopback addresses of one deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Port of the platform.
const PLATFORM_PORT: u16 = 7400;
/// Ports that are taken on every host.
const GATE_PORT: u16 = 7431;
const ADMIN_PORT: u16 = 7441;
const API_PORT: u16 = 7451;
const PEERS_PORT: u16 = 7461;
const GOSSIP_PORT: u16 = 7471;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A range `127.a.b.*` that no other deployment uses.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    a: u8,
    b: u8,
}

/// Addresses of one entry host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// Callers.
    pub gate: SocketAddr,
    /// Metrics and readiness of the gate.
    pub admin: SocketAddr,
    /// Resource API.
    pub api: SocketAddr,
    /// Calls of gates and peers.
    pub peers: SocketAddr,
    /// Gossip.
    pub gossip: SocketAddr,
}

impl Network {
    /// Picks a range whose platform address is free.
    pub fn pick() -> Self {
        loop {
            let seed = std::process::id().wrapping_mul(31) + NEXT.fetch_add(1, Ordering::Relaxed);
            let [_, _, a, b] = seed.to_be_bytes();
            let network = Self { a: a | 1, b };
            if TcpListener::bind(network.platform()).is_ok() {
                return network;
            }
        }
    }

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.ip(2), PLATFORM_PORT)
    }

    /// An address of the stand-ins, any free port.
    pub fn standin(&self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 0)
    }

    /// An address of relays, any free port.
    pub fn relay(&self) -> SocketAddr {
        SocketAddr::new(self.ip(3), 0)
    }

    /// Addresses of the host with this number, from 1.
    pub fn host(&self, number: u8) -> HostAddresses {
        let ip = self.ip(10 + number);
        HostAddresses {
            gate: SocketAddr::new(ip, GATE_PORT),
            admin: SocketAddr::new(ip, ADMIN_PORT),
            api: SocketAddr::new(ip, API_PORT),
            peers: SocketAddr::new(ip, PEERS_PORT),
            gossip: SocketAddr::new(ip, GOSSIP_PORT),
        }
    }

    fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, last))
    }
}
