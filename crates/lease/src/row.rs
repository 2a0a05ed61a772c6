//! The row of the store that records the lease.

use agate_model::id::{Epoch, HostId, Incarnation, Revision};

/// Name of the table that holds the lease's row.
pub const TABLE: &str = "lease";
/// Key of the lease's only row.
pub const KEY: &str = "steer";

/// Random identity of one tenure, which lasts from an acquisition to the takeover or release.
pub type Nonce = String;

/// The lease as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row {
    /// Fencing epoch; grows with every change of holder.
    pub epoch: Epoch,
    /// Host on which the lease holder runs.
    pub host: HostId,
    /// Process incarnation of the holder's control process.
    pub incarnation: Incarnation,
    /// Identity of the tenure, by which a process recognises its own row.
    pub nonce: Nonce,
    /// Number of renewals started in this tenure, which tells one renewal from another.
    pub renewals: u64,
    /// Set when the holder released the lease, with nothing of its own in flight.
    pub released: bool,
}

/// The row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Lease that the row records.
    pub row: Row,
    /// Revision of the commit that wrote the row.
    pub revision: Revision,
}
