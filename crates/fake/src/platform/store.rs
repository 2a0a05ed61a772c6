//! Tables and objects over HTTP.

use std::collections::BTreeMap;

use agate_wire::table::Transaction;
use bytes::Bytes;

use crate::http::{Answer, Request, decode};
use crate::table::Tables;

/// Largest row, in bytes.
const ROW_BYTES: usize = 256 * 1024;

/// Rows of a page without `limit`.
const PAGE_ROWS: usize = 1000;

/// Tables and objects.
#[derive(Debug, Default)]
pub struct Store {
    tables: Tables,
    objects: BTreeMap<String, Bytes>,
}

impl Store {
    /// Carries out a call.
    pub fn answer(&mut self, request: &Request) -> Answer {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("POST", ["tables", "transactions"]) => self.commit(request),
            ("GET", ["tables", table, "rows"]) => self.scan(request, table),
            ("GET", ["tables", table, "rows", key @ ..]) => {
                match self.tables.get(table, &decode(&key.join("/"))) {
                    Some(row) => Answer::json(&row),
                    None => Answer::not_found(),
                }
            }
            ("PUT", ["objects", name @ ..]) => {
                let name = decode(&name.join("/"));
                self.objects.insert(name, request.body.clone());
                Answer::json(&())
            }
            ("GET", ["objects", name @ ..]) => match self.objects.get(&decode(&name.join("/"))) {
                Some(contents) => Answer::bytes(200, "application/octet-stream", contents.clone()),
                None => Answer::not_found(),
            },
            _ => Answer::not_found(),
        }
    }

    fn scan(&self, request: &Request, table: &str) -> Answer {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let limit = request.parameter("limit").and_then(|it| it.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        Answer::json(&self.tables.scan(table, &prefix, &after, limit))
    }

    fn commit(&mut self, request: &Request) -> Answer {
        let transaction: Transaction = match request.json() {
            Ok(transaction) => transaction,
            Err(refusal) => return refusal,
        };
        let is_large = |value: &String| value.len() > ROW_BYTES;
        let mut values = transaction.writes.iter().filter_map(|it| it.value.as_ref());
        if values.any(is_large) {
            return Answer::error(413, "row is larger than 256 KiB");
        }
        match self.tables.commit(&transaction) {
            Ok(commit) => Answer::json(&commit),
            Err(conflict) => Answer::with_status(409, &*conflict),
        }
    }
}
