//! Interfaces of the platform services that the programs use.

use std::time::Duration;

use agate_model::endpoint::Endpoint;
use agate_model::id::Revision;
use agate_wire::engine::{self, Fenced, Load};
use agate_wire::order::{Machine, Order, Receipt};
use agate_wire::platform::{Listing, Report};
use agate_wire::table::{Commit, Page, Row, Transaction};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::error::Error;

/// Future that resolves to the response of a call or its error.
pub type ResponseFuture<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;

/// Transactional table store.
///
/// A store may lose its newest commits by returning from an older copy if its revisions name an era, see
/// [`agate_model::revision`]. One whose revisions do not is taken to lose nothing that it has acknowledged.
pub trait Tables {
    /// Returns a row; `None` if it does not exist.
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>>;

    /// Returns the rows whose key starts with `prefix` and is greater than `after`, in the order of
    /// their keys and at most `limit`.
    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page>;

    /// Commits a transaction. If a check fails, nothing is written and the error is
    /// [`Error::Conflict`]. A check of an earlier era than that of the commit may have held for another
    /// row, which has got the same number.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit>;
}

/// Row that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the row, unique within its table.
    pub key: String,
    /// New value; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Revision of the commit that wrote or removed the row.
    pub revision: Revision,
}

/// Changes of a table up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed rows in the order of their commits, or all rows by key in a snapshot.
    pub rows: Vec<Change>,
    /// Revision of the newest commit that the changes cover.
    pub revision: Revision,
    /// Monotonic clock of the store when it responded, in milliseconds.
    pub clock: u64,
}

/// Change feed of the tables, read by snapshot and long poll.
pub trait Feed {
    /// Returns a snapshot of a table: all its rows, and the revision from which [`Feed::changes`]
    /// continues.
    fn snapshot<'a>(&'a self, table: &'a str) -> ResponseFuture<'a, Changes>;

    /// Returns the changes after the revision `after`, and waits up to `wait` for the first one.
    /// Returns `None` if the store no longer holds the history since that revision, or has returned from an
    /// older copy since.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: Revision,
        wait: Duration,
    ) -> ResponseFuture<'a, Option<Changes>>;

    /// Returns how many bytes of responses to reads of a table were received so far. While it grows, a
    /// read is underway; 0 if that is not known.
    fn received(&self, _table: &str) -> usize {
        0
    }
}

/// Store of named objects.
pub trait Objects {
    /// Returns the contents of an object; `None` if it does not exist.
    fn get<'a>(&'a self, name: &'a str) -> ResponseFuture<'a, Option<Bytes>>;

    /// Creates an object or replaces its contents.
    fn put<'a>(&'a self, name: &'a str, contents: Bytes) -> ResponseFuture<'a, ()>;
}

/// Service that starts and stops endpoints on order.
pub trait Orders {
    /// Sends an order over a new connection. `deadline` is the timeout of the whole call; nothing
    /// is sent after it. `may_send` is called again between connecting and the first byte; if it
    /// returns false, the call fails with [`Error::Unreached`].
    fn order<'a>(
        &'a self,
        order: &'a Order,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Receipt>;

    /// Returns the endpoints that were ordered. The list lags by seconds.
    fn machines(&self) -> ResponseFuture<'_, Vec<Machine>>;
}

/// Receiver of usage reports.
pub trait Reports {
    /// Sends a report. `id` is its idempotency key: a retry with the same one has no further
    /// effect. `deadline` and `may_send` work as in [`Orders::order`].
    fn send<'a>(
        &'a self,
        id: &'a str,
        report: &'a Report,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()>;
}

/// List of hosts and endpoints, which lags behind their actual state.
pub trait Hosts {
    /// Returns the hosts and endpoints as last listed by the platform.
    fn list(&self) -> ResponseFuture<'_, Listing>;
}

/// Model engines as receivers of orders.
pub trait Engines {
    /// Returns the load of an engine, which lags behind the actual one.
    fn load<'a>(&'a self, engine: &'a Endpoint) -> ResponseFuture<'a, Load>;

    /// Sends an order over a new connection. `deadline` and `may_send` work as in
    /// [`Orders::order`]. Returns [`Fenced`] if the engine has seen a higher epoch.
    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a engine::Order,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Result<(), Fenced>>;
}
