//! Counts calls to the store and the bytes of the rows that they carry, by call and table.

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::Revision;
use agate_store::Error;
use agate_store::interface::{Changes, Feed, ResponseFuture, Tables};
use agate_wire::table::{Commit, Page, Row, Transaction};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Call {
    /// Kind of the call: `get`, `scan`, `commit`, `snapshot` or `changes`.
    pub call: &'static str,
    /// Table that it reads or first writes.
    pub table: String,
    /// `ok`, `conflict` or `failed`.
    pub outcome: &'static str,
}

/// Counters of the calls to the store.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Number of calls.
    pub calls: Family<Call, Counter>,
    /// Bytes of keys and values that the calls read or wrote, without the protocol's overhead.
    pub bytes: Family<Call, Counter>,
}

impl Meter {
    fn record<T>(
        &self,
        call: &'static str,
        table: &str,
        result: &Result<T, Error>,
        size: impl FnOnce(&T) -> usize,
    ) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(Error::Conflict(_)) => "conflict",
            Err(_) => "failed",
        };
        let bytes = result.as_ref().map_or(0, size);
        tracing::debug!(event = "store_call", call, table, outcome, bytes);
        let call = Call {
            call,
            table: table.to_owned(),
            outcome,
        };
        self.bytes.get_or_create(&call).inc_by(bytes as u64);
        self.calls.get_or_create(&call).inc();
    }
}

/// Tables whose calls are counted.
pub struct MeteredTables {
    tables: Rc<dyn Tables>,
    meter: Meter,
}

impl MeteredTables {
    /// Counts the calls to `tables` in `meter`.
    pub fn new(tables: Rc<dyn Tables>, meter: Meter) -> Self {
        Self { tables, meter }
    }
}

impl Tables for MeteredTables {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            let row = self.tables.get(table, key).await;
            self.meter.record("get", table, &row, |row| {
                row.as_ref().map_or(0, |row| key.len() + row.value.len())
            });
            row
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        Box::pin(async move {
            let page = self.tables.scan(table, prefix, after, limit).await;
            self.meter.record("scan", table, &page, |page| {
                let sizes = page.rows.iter().map(|row| row.key.len() + row.value.len());
                sizes.sum()
            });
            page
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            let commit = self.tables.commit(transaction).await;
            let table = transaction.writes.first().map_or("", |write| &write.table);
            self.meter.record("commit", table, &commit, |_| {
                let sizes = transaction
                    .writes
                    .iter()
                    .map(|write| write.key.len() + write.value.as_ref().map_or(0, String::len));
                sizes.sum()
            });
            commit
        })
    }
}

/// Change feed whose calls are counted.
pub struct MeteredFeed {
    feed: Rc<dyn Feed>,
    meter: Meter,
}

impl MeteredFeed {
    /// Counts the calls to `feed` in `meter`.
    pub fn new(feed: Rc<dyn Feed>, meter: Meter) -> Self {
        Self { feed, meter }
    }
}

fn size(changes: &Changes) -> usize {
    let sizes = changes
        .rows
        .iter()
        .map(|change| change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len));
    sizes.sum()
}

impl Feed for MeteredFeed {
    fn snapshot<'a>(&'a self, table: &'a str) -> ResponseFuture<'a, Changes> {
        Box::pin(async move {
            let changes = self.feed.snapshot(table).await;
            self.meter.record("snapshot", table, &changes, size);
            changes
        })
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: Revision,
        wait: Duration,
    ) -> ResponseFuture<'a, Option<Changes>> {
        Box::pin(async move {
            let changes = self.feed.changes(table, after, wait).await;
            self.meter.record("changes", table, &changes, |changes| {
                changes.as_ref().map_or(0, size)
            });
            changes
        })
    }

    fn received(&self, table: &str) -> usize {
        self.feed.received(table)
    }
}
