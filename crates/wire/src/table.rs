//! The platform's transactional table service, over HTTP.
//!
//! - `GET /tables/{table}/rows/{key}` answers [`Row`] or 404.
//! - `GET /tables/{table}/rows?prefix=P&after=K&limit=N` answers [`Page`].
//! - `POST /tables/transactions` takes [`Transaction`], answers [`Commit`], or
//!   409 with [`Conflict`] if a check failed; then nothing was written.

use serde::{Deserialize, Serialize};

/// A stored row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key within the table.
    pub key: String,
    /// Contents, at most 256 KiB.
    pub value: String,
    /// Commit that last wrote the row.
    pub revision: u64,
}

/// Part of a table, ordered by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Rows.
    pub rows: Vec<Row>,
    /// Commit that the page reflects.
    pub revision: u64,
    /// Whether more rows follow.
    pub more: bool,
}

/// Condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// Revision that the row must have; `None` requires that it does not exist.
    pub revision: Option<u64>,
}

/// Write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// New contents; `None` deletes.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub checks: Vec<Check>,
    /// All are done.
    pub writes: Vec<Write>,
}

/// A committed transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Revision of the written rows; grows with every commit.
    pub revision: u64,
}

/// The first check that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The check.
    pub check: Check,
    /// Row found; `None` if it does not exist.
    pub found: Option<Row>,
}
