//! Permission to send one order, bound to the holder's term.

use std::time::{Duration, Instant};

use agate_model::id::{Epoch, Revision};

/// Permission to record one order in a transaction. The transaction must check that the lease's
/// row has [`Ticket::revision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(crate) epoch: Epoch,
    pub(crate) revision: Revision,
    pub(crate) until: Instant,
}

impl Ticket {
    /// Returns the fencing epoch to record with the order.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the revision of the lease's row that the transaction must check.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the permit. To be called once the transaction is committed.
    pub fn recorded(self) -> Permit {
        Permit {
            epoch: self.epoch,
            until: self.until,
        }
    }
}

/// Permission to send an order that is recorded. The connection is opened after the permit was
/// obtained, and [`Permit::is_valid`] is checked again between connecting and the first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    epoch: Epoch,
    until: Instant,
}

impl Permit {
    /// Returns the fencing epoch to send with the order.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the first byte may be sent now.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns the time left until the first byte may no longer be sent; zero once it is over.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }
}
