//! Leave to send one order.

use std::time::{Duration, Instant};

use agate_model::id::Epoch;

/// For one transaction that records an order. The transaction must check that
/// the lease's row has [`Ticket::revision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(crate) epoch: Epoch,
    pub(crate) revision: u64,
    pub(crate) until: Instant,
}

impl Ticket {
    /// Fencing number.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Revision of the lease's row that the transaction must check.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The permit, once the transaction was committed.
    pub fn recorded(self) -> Permit {
        Permit {
            epoch: self.epoch,
            until: self.until,
        }
    }
}

/// Leave to send an order that is recorded. The connection is opened after the
/// permit was obtained, and [`Permit::is_valid`] is asked again between
/// connecting and the first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    epoch: Epoch,
    until: Instant,
}

impl Permit {
    /// Fencing number of the order.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the first byte may be sent now.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Time left for sending.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }
}
