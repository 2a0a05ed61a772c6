//! Serialised row of the `lease` table.

use agate_lease::row;
use serde::{Deserialize, Serialize};

/// Serialised form of [`row::Row`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Lease epoch, used as the fencing token.
    pub epoch: u64,
    /// Host of the lease holder.
    pub host: String,
    /// Process incarnation of the lease holder's control process.
    pub incarnation: String,
    /// Identity of the term of this holder, by which a process recognises its own row.
    pub nonce: String,
    /// Number of renewals that the holder has started.
    pub beat: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

impl From<row::Row> for Row {
    fn from(row: row::Row) -> Self {
        Self {
            epoch: row.epoch,
            host: row.host,
            incarnation: row.incarnation,
            nonce: row.nonce,
            beat: row.renewals,
            released: row.released,
        }
    }
}

impl From<Row> for row::Row {
    fn from(row: Row) -> Self {
        Self {
            epoch: row.epoch,
            host: row.host,
            incarnation: row.incarnation,
            nonce: row.nonce,
            renewals: row.beat,
            released: row.released,
        }
    }
}
