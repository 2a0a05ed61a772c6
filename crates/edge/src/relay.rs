//! Relays changes of tables between hosts, so that not every host reads them from the store.
//!
//! One host of each availability zone, the reader, reads a table from the store; the other hosts of
//! the zone read it from the reader. Each response carries the age of its data. A host whose reader
//! is silent or stale reads from the store itself. The configuration is never relayed, because it
//! holds keys.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use agate_store::interface::{Change, Changes};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::edge::Edge;
use crate::peer::{self, Error, Request};
use crate::server::Incoming;
use crate::{handover, headers, response};

/// Number of changes kept for each table. A host that needs older ones reads from the store.
const MAX_CHANGES: usize = 4096;

/// Change of one row, as sent between hosts.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    key: String,
    /// `None` if the row was removed.
    value: Option<Value>,
    revision: u64,
}

/// Contents of a row: text, or hexadecimal digits if the bytes are not valid UTF-8.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Value {
    Text(String),
    Hex(String),
}

impl From<&Bytes> for Value {
    fn from(bytes: &Bytes) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Value::Text(text.to_owned()),
            Err(_) => Value::Hex(hex::encode(bytes)),
        }
    }
}

impl TryFrom<Value> for Bytes {
    type Error = Error;

    fn try_from(value: Value) -> Result<Self, Error> {
        match value {
            Value::Text(text) => Ok(Bytes::from(text)),
            Value::Hex(text) => match hex::decode(text) {
                Ok(bytes) => Ok(Bytes::from(bytes)),
                Err(err) => Err(Error::Malformed(err.to_string())),
            },
        }
    }
}

/// Changes of one table, as sent between hosts.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    rows: Vec<Row>,
    /// Revision up to which the changes are complete.
    revision: u64,
    /// The store's clock at its last response, in milliseconds.
    clock: u64,
    /// Time since that response, in milliseconds.
    age_ms: u64,
}

impl From<&Change> for Row {
    fn from(change: &Change) -> Self {
        Self {
            key: change.key.clone(),
            value: change.value.as_ref().map(Value::from),
            revision: change.revision,
        }
    }
}

impl TryFrom<Row> for Change {
    type Error = Error;

    fn try_from(row: Row) -> Result<Self, Error> {
        Ok(Self {
            key: row.key,
            value: row.value.map(Bytes::try_from).transpose()?,
            revision: row.revision,
        })
    }
}

/// Recent changes of one table that this host reads from the store.
#[derive(Debug)]
struct Mirror {
    changes: VecDeque<Change>,
    /// Revision after which the changes are complete; older ones may be missing.
    oldest_revision: u64,
    /// Revision of the store's last response.
    revision: u64,
    /// The store's clock at its last response, in milliseconds.
    clock: u64,
    /// When the last response was received.
    at: Instant,
}

/// Recent changes of the tables that this host reads from the store.
#[derive(Debug, Default)]
pub struct Mirrors {
    tables: RefCell<HashMap<&'static str, Mirror>>,
    /// Notified after each response of the store.
    changed: Notify,
}

impl Mirrors {
    /// Records a response of the store; a snapshot replaces the known changes.
    pub fn record(&self, table: &'static str, changes: &Changes, is_snapshot: bool) {
        let mut tables = self.tables.borrow_mut();
        let mirror = tables.entry(table).or_insert_with(|| Mirror {
            changes: VecDeque::new(),
            oldest_revision: changes.revision,
            revision: 0,
            clock: 0,
            at: Instant::now(),
        });
        if is_snapshot {
            mirror.changes.clear();
            mirror.oldest_revision = changes.revision;
        } else {
            mirror.changes.extend(changes.rows.iter().cloned());
        }
        while mirror.changes.len() > MAX_CHANGES {
            if let Some(dropped) = mirror.changes.pop_front() {
                mirror.oldest_revision = dropped.revision;
            }
        }
        mirror.revision = changes.revision;
        mirror.clock = changes.clock;
        mirror.at = Instant::now();
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Removes a table that this host no longer reads from the store.
    pub fn forget(&self, table: &str) {
        self.tables.borrow_mut().remove(table);
    }

    /// Returns the changes after a revision, as soon as there are any or the query's wait is over.
    /// Returns `None` if the last read of the table is older than the query allows, also once it
    /// becomes so during the wait.
    async fn page(&self, query: &Query<'_>) -> Option<Page> {
        let until = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let page = self.read(query.table, query.after)?;
            let age = Duration::from_millis(page.age_ms);
            if age >= query.max_age {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !page.rows.is_empty() || left.is_zero() {
                return Some(page);
            }
            let _ = timeout(left.min(query.max_age - age), changed).await;
        }
    }

    /// Returns the known changes after a revision; `None` if some of them are missing.
    fn read(&self, table: &str, after: u64) -> Option<Page> {
        let tables = self.tables.borrow();
        let mirror = tables
            .get(table)
            .filter(|mirror| mirror.oldest_revision <= after)?;
        let newer = mirror
            .changes
            .iter()
            .filter(|change| change.revision > after);
        let age = mirror.at.elapsed().as_millis();
        Some(Page {
            rows: newer.map(Row::from).collect(),
            revision: mirror.revision.max(after),
            clock: mirror.clock,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }
}

/// Serves the tables that this host reads to other hosts, and accepts their heartbeats.
pub struct Server {
    edge: Rc<Edge>,
}

impl Server {
    /// Creates a server of the tables that `edge` reads.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }

    /// Returns the response to a request of another host.
    async fn respond(&self, incoming: &Incoming) -> response::Response {
        // The other host must switch to another reader before this host has left.
        if self.edge.is_leaving() {
            return response::Response::bare(StatusCode::SERVICE_UNAVAILABLE);
        }
        let target = incoming.request.head().uri.path();
        if target == handover::PATH {
            // The other host must switch to a reader that can reach the store.
            let is_reachable = !self.edge.outage.is_active();
            let receipt = is_reachable.then(|| handover::accept(&self.edge, &incoming.body));
            return encode(receipt.flatten());
        }
        let Some(query) = Query::parse(target) else {
            return response::Response::bare(StatusCode::BAD_REQUEST);
        };
        encode(self.edge.mirrors.page(&query).await)
    }
}

/// Returns a response with `found` as JSON, or status 503 without it.
fn encode<T: Serialize>(found: Option<T>) -> response::Response {
    let Some(found) = found else {
        return response::Response::bare(StatusCode::SERVICE_UNAVAILABLE);
    };
    match serde_json::to_vec(&found) {
        Ok(body) => response::Response {
            status: StatusCode::OK,
            headers: headers::content_type("application/json"),
            body: Bytes::from(body),
        },
        Err(err) => {
            tracing::error!(event = "relay_not_written", error = %err);
            response::Response::bare(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

impl response::Responder for Server {
    fn respond<'a>(&'a self, incoming: &'a Incoming) -> LocalBoxFuture<'a, response::Response> {
        Box::pin(self.respond(incoming))
    }

    fn is_closing(&self) -> bool {
        self.edge.is_leaving()
    }
}

/// Query for changes that a host sends to its reader.
#[derive(Clone, Copy, Debug)]
struct Query<'a> {
    table: &'a str,
    /// Revision after which changes are wanted.
    after: u64,
    /// Maximum wait for a change.
    wait: Duration,
    /// Maximum age of the reader's last read of the table.
    max_age: Duration,
}

impl<'a> Query<'a> {
    /// Returns the path of the request; times are in milliseconds.
    fn target(&self) -> String {
        let (wait, oldest) = (self.wait.as_millis(), self.max_age.as_millis());
        format!("/{}/{}/{wait}/{oldest}", self.table, self.after)
    }

    /// Parses the path of a request; `None` if it is malformed.
    fn parse(target: &'a str) -> Option<Self> {
        let mut parts = target.trim_start_matches('/').split('/');
        let table = parts.next()?;
        let after = parts.next()?.parse().ok()?;
        let mut millis = || parts.next()?.parse().ok().map(Duration::from_millis);
        let (wait, max_age) = (millis()?, millis()?);
        Some(Self {
            table,
            after,
            wait,
            max_age,
        })
    }
}

/// Client that reads one table from the reader of this host's zone.
pub struct Client {
    edge: Rc<Edge>,
    table: &'static str,
    /// Maximum age of the reader's data.
    max_age: Duration,
    link: peer::Client,
}

impl Client {
    /// Creates a client for `table` that accepts data up to the age of `max_age`.
    pub fn new(edge: Rc<Edge>, table: &'static str, max_age: Duration) -> Self {
        Self {
            edge,
            table,
            max_age,
            link: peer::Client::default(),
        }
    }

    /// Reads the changes after a revision from the reader of the zone. A reader that fails is not
    /// used again for a while.
    pub async fn changes(&self, after: u64, wait: Duration) -> Result<Changes, Error> {
        let readers = self.edge.readers();
        let reader = self.link.first_available(&readers).ok_or(Error::NoReader)?;
        let read = self.read(reader, after, wait).await;
        if let Err(err) = &read {
            tracing::info!(
                event = "reader_lost",
                table = self.table,
                reader = %reader,
                error = %err,
            );
            self.link.back_off(reader);
        }
        read
    }

    /// Sends one query to a reader; fails if its data is too old.
    async fn read(&self, reader: SocketAddr, after: u64, wait: Duration) -> Result<Changes, Error> {
        let query = Query {
            table: self.table,
            after,
            wait,
            max_age: self.max_age,
        };
        let question = Request {
            method: Method::GET,
            target: query.target(),
            body: Bytes::new(),
            wait,
        };
        let page: Page = self.link.call(reader, question).await?;
        let age = Duration::from_millis(page.age_ms);
        if age > self.max_age {
            return Err(Error::Stale(age));
        }
        let rows: Result<Vec<Change>, Error> =
            page.rows.into_iter().map(Change::try_from).collect();
        Ok(Changes {
            rows: rows?,
            revision: page.revision,
            clock: page.clock,
        })
    }
}
