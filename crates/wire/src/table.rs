//! The platform's transactional table service, over HTTP.
//!
//! - `GET /tables/{table}/rows/{key}` returns [`Row`] or 404.
//! - `GET /tables/{table}/rows?prefix=P&after=K&limit=N` returns [`Page`].
//! - `POST /tables/transactions` takes [`Transaction`]; returns [`Commit`], or
//!   409 with [`Conflict`] if a check failed; then nothing was written.

use agate_model::id::Revision;
use serde::{Deserialize, Serialize};

/// A stored row with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique within the table.
    pub key: String,
    /// Contents of the row, at most 256 KiB.
    pub value: String,
    /// Revision of the commit that last wrote the row.
    pub revision: Revision,
}

/// Consecutive part of a table, ordered by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Rows in ascending order of their keys.
    pub rows: Vec<Row>,
    /// Revision of the commit whose state the page shows.
    pub revision: Revision,
    /// Whether more rows with the prefix follow this page.
    pub more: bool,
}

/// Precondition on the revision of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Name of the table.
    pub table: String,
    /// Key of the row within the table.
    pub key: String,
    /// Revision that the row must have; `None` requires that the row does not exist.
    pub revision: Option<Revision>,
}

/// Write or deletion of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Name of the table.
    pub table: String,
    /// Key of the row within the table.
    pub key: String,
    /// New contents of the row; `None` deletes it.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions that must all hold for the writes to take place.
    pub checks: Vec<Check>,
    /// Writes that one commit makes together.
    pub writes: Vec<Write>,
}

/// Result of a committed transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Revision of the rows that were written; it grows with every commit.
    pub revision: Revision,
}

/// The first check that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Check of the transaction that did not hold.
    pub check: Check,
    /// Row as it is stored; `None` if it does not exist.
    pub found: Option<Row>,
}
