//! Reads and writes of the store's rows as typed JSON values.

use agate_store::Error;
use agate_store::interface::Tables;
use agate_wire::table::{Check, Row, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum number of rows read in one request.
const PAGE_ROWS: usize = 500;

/// A row as read, with its value parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found<T> {
    /// Key within the table.
    pub key: String,
    /// Parsed value.
    pub value: T,
    /// Revision of the commit that wrote the row; checks compare it.
    pub revision: u64,
}

/// Parses a row's value; [`Error::Unknown`] if it is malformed.
pub fn parse<T: DeserializeOwned>(row: &Row) -> Result<Found<T>, Error> {
    let value = serde_json::from_str(&row.value)
        .map_err(|err| Error::Unknown(format!("row {} is malformed: {err}", row.key)))?;
    Ok(Found {
        key: row.key.clone(),
        value,
        revision: row.revision,
    })
}

/// Reads and parses one row; `None` if it does not exist.
pub async fn read<T: DeserializeOwned>(
    tables: &dyn Tables,
    table: &str,
    key: &str,
) -> Result<Option<Found<T>>, Error> {
    let row = tables.get(table, key).await?;
    row.as_ref().map(parse).transpose()
}

/// Reads all rows whose key starts with `prefix` and sorts after `after`, in order of their keys.
/// Several requests are made if needed, so that the rows may be of different revisions.
pub async fn scan(
    tables: &dyn Tables,
    table: &str,
    prefix: &str,
    after: &str,
) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or(after, |row| row.key.as_str());
        let page = tables.scan(table, prefix, after, PAGE_ROWS).await?;
        let is_last = !page.more || page.rows.is_empty();
        rows.extend(page.rows);
        if is_last {
            return Ok(rows);
        }
    }
}

/// Builds the condition that a row has `revision`; `None` requires that the row does not exist.
pub fn check(table: &str, key: &str, revision: Option<u64>) -> Check {
    Check {
        table: table.to_owned(),
        key: key.to_owned(),
        revision,
    }
}

/// Builds the write that creates or replaces a row.
pub fn put<T: Serialize>(table: &str, key: &str, value: &T) -> Write {
    Write {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(
            serde_json::to_string(value)
                .expect("row value must serialize to JSON: its maps have string keys"),
        ),
    }
}

/// Builds the write that deletes a row.
pub fn delete(table: &str, key: &str) -> Write {
    Write {
        table: table.to_owned(),
        key: key.to_owned(),
        value: None,
    }
}
