//! HTTP interface of the tables and the object store.

use std::collections::BTreeMap;

use agate_wire::table::Transaction;
use bytes::Bytes;

use crate::http::{Reply, Request, decode};
use crate::table::Tables;

/// Largest row value, in bytes; a transaction with a larger one is refused with status 413.
const ROW_BYTES: usize = 256 * 1024;

/// Largest number of rows in a page, and the number without the parameter `limit`.
const PAGE_ROWS: usize = 1000;

/// Rows of the tables, and objects by name.
#[derive(Debug, Default)]
pub struct Store {
    tables: Tables,
    objects: BTreeMap<String, Bytes>,
}

impl Store {
    /// Executes a request to `/tables` or `/objects`.
    pub fn respond(&mut self, request: &Request) -> Reply {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("POST", ["tables", "transactions"]) => self.commit(request),
            ("GET", ["tables", table, "rows"]) => self.scan(request, table),
            ("GET", ["tables", table, "rows", key @ ..]) => {
                match self.tables.get(table, &decode(&key.join("/"))) {
                    Some(row) => Reply::json(&row),
                    None => Reply::not_found(),
                }
            }
            ("PUT", ["objects", name @ ..]) => {
                let name = decode(&name.join("/"));
                self.objects.insert(name, request.body.clone());
                Reply::json(&())
            }
            ("GET", ["objects", name @ ..]) => match self.objects.get(&decode(&name.join("/"))) {
                Some(contents) => Reply::bytes(200, "application/octet-stream", contents.clone()),
                None => Reply::not_found(),
            },
            _ => Reply::not_found(),
        }
    }

    fn scan(&self, request: &Request, table: &str) -> Reply {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let limit = request
            .parameter("limit")
            .and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        Reply::json(&self.tables.scan(table, &prefix, &after, limit))
    }

    fn commit(&mut self, request: &Request) -> Reply {
        let transaction: Transaction = match request.json() {
            Ok(transaction) => transaction,
            Err(refusal) => return refusal,
        };
        let is_large = |value: &String| value.len() > ROW_BYTES;
        let mut values = transaction
            .writes
            .iter()
            .filter_map(|write| write.value.as_ref());
        if values.any(is_large) {
            return Reply::error(413, "row is larger than 256 KiB");
        }
        match self.tables.commit(&transaction) {
            Ok(commit) => Reply::json(&commit),
            Err(conflict) => Reply::with_status(409, &*conflict),
        }
    }
}
