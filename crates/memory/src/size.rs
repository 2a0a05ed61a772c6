//! Size of a budget, derived from the machine of the process.

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
    /// Open connections of callers.
    pub connections: usize,
}

impl Size {
    /// A size that bounds nothing.
    pub const UNBOUNDED: Self = Self {
        bytes: usize::MAX,
        connections: usize::MAX,
    };

    /// Returns the size for a machine with so many bytes of memory and descriptors.
    pub fn of_machine(memory_bytes: u64, descriptors: usize) -> Self {
        let bytes = memory_bytes.saturating_sub(PROGRAM_BYTES) / COPIES;
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self {
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            connections: (sockets * CALLER_QUARTERS / 4).max(1),
        }
    }
}
