//! The row of the `lease` table.

use agate_lease::row;
use serde::{Deserialize, Serialize};

/// See [`row::Row`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Fencing number.
    pub epoch: u64,
    /// Host of the holder.
    pub host: String,
    /// Run of the holder's control process.
    pub incarnation: String,
    /// Identity of the tenure.
    pub nonce: String,
    /// Number of renewals begun.
    pub beat: u64,
    /// Set once the lease was given up.
    pub released: bool,
}

impl From<row::Row> for Row {
    fn from(it: row::Row) -> Self {
        Self {
            epoch: it.epoch,
            host: it.host,
            incarnation: it.incarnation,
            nonce: it.nonce,
            beat: it.renewals,
            released: it.released,
        }
    }
}

impl From<Row> for row::Row {
    fn from(it: Row) -> Self {
        Self {
            epoch: it.epoch,
            host: it.host,
            incarnation: it.incarnation,
            nonce: it.nonce,
            renewals: it.beat,
            released: it.released,
        }
    }
}
