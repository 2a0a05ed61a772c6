//! The lease's row in the store.

use agate_model::id::{Epoch, HostId, Incarnation};

/// Table of the lease's row.
pub const TABLE: &str = "lease";
/// Key of the lease's row.
pub const KEY: &str = "steer";

/// Random identity of one tenure.
pub type Nonce = String;

/// Contents of the row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row {
    /// Fencing number; grows with every change of holder.
    pub epoch: Epoch,
    /// Host of the holder.
    pub host: HostId,
    /// Run of the holder's control process.
    pub incarnation: Incarnation,
    /// Identity of the tenure.
    pub nonce: Nonce,
    /// Number of renewals begun in this tenure.
    pub beat: u64,
    /// Set when the holder gave the lease up, with nothing of its own in flight.
    pub released: bool,
}

/// The row as read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seen {
    /// Contents.
    pub row: Row,
    /// Commit that wrote it.
    pub revision: u64,
}
