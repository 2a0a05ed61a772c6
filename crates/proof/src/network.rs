//! Assigns loopback addresses to the processes of one deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Port on which the platform stand-in listens.
const PLATFORM_PORT: u16 = 7400;
/// Ports on which the processes of every host listen.
const GATE_PORT: u16 = 7431;
const ADMIN_PORT: u16 = 7441;
const API_PORT: u16 = 7451;
const PEERS_PORT: u16 = 7461;
const GOSSIP_PORT: u16 = 7471;

/// Number of ranges that this process has tried; makes each attempt use another range.
static NEXT_RANGE: AtomicU32 = AtomicU32::new(0);

/// A loopback range `127.second.third.*` that no other deployment uses.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
}

/// Addresses on which the two processes of one entry host listen.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// Gate: requests of callers.
    pub gate: SocketAddr,
    /// Gate: metrics and readiness.
    pub admin: SocketAddr,
    /// Control process: resource API.
    pub api: SocketAddr,
    /// Control process: calls of gates and of the control processes of other hosts.
    pub peers: SocketAddr,
    /// Control process: gossip over UDP.
    pub gossip: SocketAddr,
}

impl Network {
    /// Picks a range whose platform address can be bound; tries ranges that follow from the
    /// process id until one is free.
    pub fn pick() -> Self {
        loop {
            let seed =
                std::process::id().wrapping_mul(31) + NEXT_RANGE.fetch_add(1, Ordering::Relaxed);
            let [_, _, second, third] = seed.to_be_bytes();
            let network = Self {
                second: second | 1,
                third,
            };
            if TcpListener::bind(network.platform()).is_ok() {
                return network;
            }
        }
    }

    /// Returns the address of the platform stand-in, which has a fixed port.
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.ip(2), PLATFORM_PORT)
    }

    /// Returns an address for another stand-in; port 0 lets the system choose a free one.
    pub fn standin(&self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 0)
    }

    /// Returns an address for a relay; port 0 lets the system choose a free one.
    pub fn relay(&self) -> SocketAddr {
        SocketAddr::new(self.ip(3), 0)
    }

    /// Returns the addresses of the host with this number, counted from 1.
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

    fn ip(&self, fourth: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, fourth))
    }
}
