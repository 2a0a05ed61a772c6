//! Size of a budget, derived from the machine of the process.

use crate::state::Listener;

/// Memory of the program itself in bytes: code, configuration and tables, runtime, and kernel buffers.
const PROGRAM_BYTES: u64 = 32 << 20;
/// Divisor of the rest. A body is held once more while it is copied for the other side, and the allocator
/// returns memory late.
const COPIES: u64 = 2;
/// Descriptors that are not sockets, by the terms of the machines.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the sockets that callers may take, in quarters; the rest connects to endpoints, hosts and services.
const CALLER_QUARTERS: usize = 3;

/// Bounds of a [`crate::Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Bytes held for all callers.
    pub bytes: usize,
    /// Open connections of callers with requests.
    pub connections: usize,
    /// Open connections of the host's own listeners.
    pub own_connections: usize,
}

/// Divisor of the sockets for the part of the host's own listeners: directory, readiness, relay, metrics.
const OWN_DIVISOR: usize = 8;

impl Size {
    /// Returns the number of connections of a listener.
    pub(crate) fn connections(&self, listener: Listener) -> usize {
        match listener {
            Listener::Callers => self.connections,
            Listener::Own => self.own_connections,
        }
    }

    /// A size that bounds nothing.
    pub const UNBOUNDED: Self = Self {
        bytes: usize::MAX,
        connections: usize::MAX,
        own_connections: usize::MAX,
    };

    /// Returns the size for a machine with so many bytes of memory and descriptors.
    pub fn of_machine(memory_bytes: u64, descriptors: usize) -> Self {
        let bytes = memory_bytes.saturating_sub(PROGRAM_BYTES) / COPIES;
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self {
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            connections: (sockets * CALLER_QUARTERS / 4).max(1),
            own_connections: (sockets / OWN_DIVISOR).max(1),
        }
    }
}
