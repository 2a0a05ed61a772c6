//! Changes of tables handed on between hosts, so that not every host asks the store.
//!
//! One host of each availability zone reads a table from the store; the others of the zone read
//! from it, over a connection between hosts. Each answer carries the age of what it tells. A host
//! whose reader is silent or behind asks the store itself. The configuration is never handed on:
//! it holds keys.

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
use crate::peer::{Client, Error, Request};
use crate::server::Incoming;
use crate::{handover, headers, response};

/// Changes that are kept for others; whoever needs older ones asks the store.
const KEPT: usize = 4096;
/// A change on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    key: String,
    /// Missing if the row was removed.
    value: Option<Value>,
    revision: u64,
}

/// Contents of a row: text as a rule.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Value {
    Text(String),
    Hex(String),
}

impl From<&Bytes> for Value {
    fn from(it: &Bytes) -> Self {
        match std::str::from_utf8(it) {
            Ok(text) => Value::Text(text.to_owned()),
            Err(_) => Value::Hex(hex::encode(it)),
        }
    }
}

impl TryFrom<Value> for Bytes {
    type Error = Error;

    fn try_from(it: Value) -> Result<Self, Error> {
        match it {
            Value::Text(text) => Ok(Bytes::from(text)),
            Value::Hex(text) => match hex::decode(text) {
                Ok(bytes) => Ok(Bytes::from(bytes)),
                Err(err) => Err(Error::Malformed(err.to_string())),
            },
        }
    }
}

/// An answer on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    rows: Vec<Row>,
    revision: u64,
    clock: u64,
    age_ms: u64,
}

impl From<&Change> for Row {
    fn from(it: &Change) -> Self {
        Self {
            key: it.key.clone(),
            value: it.value.as_ref().map(Value::from),
            revision: it.revision,
        }
    }
}

impl TryFrom<Row> for Change {
    type Error = Error;

    fn try_from(it: Row) -> Result<Self, Error> {
        Ok(Self {
            key: it.key,
            value: it.value.map(Bytes::try_from).transpose()?,
            revision: it.revision,
        })
    }
}

/// Changes of one table as this host read them from the store.
#[derive(Debug)]
struct Mirror {
    changes: VecDeque<Change>,
    /// Changes up to this commit are not all here.
    floor: u64,
    revision: u64,
    clock: u64,
    at: Instant,
}

/// Tables that this host reads from the store.
#[derive(Debug, Default)]
pub struct Mirrors {
    tables: RefCell<HashMap<&'static str, Mirror>>,
    changed: Notify,
}

impl Mirrors {
    /// Takes an answer of the store over.
    pub fn take(&self, table: &'static str, changes: &Changes, is_snapshot: bool) {
        let mut tables = self.tables.borrow_mut();
        let mirror = tables.entry(table).or_insert_with(|| Mirror {
            changes: VecDeque::new(),
            floor: changes.revision,
            revision: 0,
            clock: 0,
            at: Instant::now(),
        });
        if is_snapshot {
            mirror.changes.clear();
            mirror.floor = changes.revision;
        } else {
            mirror.changes.extend(changes.rows.iter().cloned());
        }
        while mirror.changes.len() > KEPT {
            if let Some(dropped) = mirror.changes.pop_front() {
                mirror.floor = dropped.revision;
            }
        }
        mirror.revision = changes.revision;
        mirror.clock = changes.clock;
        mirror.at = Instant::now();
        drop(tables);
        self.changed.notify_waiters();
    }

    /// This host does not read a table any more.
    pub fn forget(&self, table: &str) {
        self.tables.borrow_mut().remove(table);
    }

    /// Changes after a commit, as soon as there are any or `wait` is over; `None` if the table
    /// was last read longer ago than `oldest`, also while the question waits.
    async fn page(&self, query: &Query<'_>) -> Option<Page> {
        let until = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let page = self.read(query.table, query.after)?;
            let age = Duration::from_millis(page.age_ms);
            if age >= query.oldest {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !page.rows.is_empty() || left.is_zero() {
                return Some(page);
            }
            let _ = timeout(left.min(query.oldest - age), changed).await;
        }
    }

    fn read(&self, table: &str, after: u64) -> Option<Page> {
        let tables = self.tables.borrow();
        let mirror = tables.get(table).filter(|it| it.floor <= after)?;
        let newer = mirror.changes.iter().filter(|it| it.revision > after);
        let age = mirror.at.elapsed().as_millis();
        Some(Page {
            rows: newer.map(Row::from).collect(),
            revision: mirror.revision.max(after),
            clock: mirror.clock,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }
}

/// Shows other hosts the tables that this one reads, and takes their heartbeats.
pub struct Shelf {
    edge: Rc<Edge>,
}

impl Shelf {
    /// The tables that `edge` reads.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }

    async fn find(&self, incoming: &Incoming) -> response::Response {
        // Whoever asks is to find another reader before this host has left.
        if self.edge.is_leaving() {
            return response::Response::bare(StatusCode::SERVICE_UNAVAILABLE);
        }
        let target = incoming.request.head().uri.path();
        if target == handover::TARGET {
            // Whoever hands over is to find a reader that the store answers.
            let is_answered = !self.edge.outage.is_on();
            let receipt = is_answered.then(|| handover::take(&self.edge, &incoming.body));
            return answer(receipt.flatten());
        }
        let Some(query) = Query::parse(target) else {
            return response::Response::bare(StatusCode::BAD_REQUEST);
        };
        answer(self.edge.mirrors.page(&query).await)
    }
}

fn answer<T: Serialize>(found: Option<T>) -> response::Response {
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

impl response::Responder for Shelf {
    fn respond<'a>(&'a self, incoming: &'a Incoming) -> LocalBoxFuture<'a, response::Response> {
        Box::pin(self.find(incoming))
    }

    fn is_closing(&self) -> bool {
        self.edge.is_leaving()
    }
}

/// What is asked of a reader.
#[derive(Clone, Copy, Debug)]
struct Query<'a> {
    table: &'a str,
    /// Commit whose changes are known.
    after: u64,
    /// Longest wait for a change.
    wait: Duration,
    /// Oldest reading of the table that is of use.
    oldest: Duration,
}

impl<'a> Query<'a> {
    /// Path of the call; times are in milliseconds.
    fn target(&self) -> String {
        let (wait, oldest) = (self.wait.as_millis(), self.oldest.as_millis());
        format!("/{}/{}/{wait}/{oldest}", self.table, self.after)
    }

    fn parse(target: &'a str) -> Option<Self> {
        let mut parts = target.trim_start_matches('/').split('/');
        let table = parts.next()?;
        let after = parts.next()?.parse().ok()?;
        let mut millis = || parts.next()?.parse().ok().map(Duration::from_millis);
        let (wait, oldest) = (millis()?, millis()?);
        Some(Self {
            table,
            after,
            wait,
            oldest,
        })
    }
}

/// Reads one table from the reader of this host's zone.
pub struct Source {
    edge: Rc<Edge>,
    table: &'static str,
    oldest: Duration,
    link: Client,
}

impl Source {
    /// A source of `table` whose answers may be as old as `oldest`.
    pub fn new(edge: Rc<Edge>, table: &'static str, oldest: Duration) -> Self {
        Self {
            edge,
            table,
            oldest,
            link: Client::default(),
        }
    }

    /// Changes after a commit, from the reader of the zone.
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

    async fn read(&self, reader: SocketAddr, after: u64, wait: Duration) -> Result<Changes, Error> {
        let query = Query {
            table: self.table,
            after,
            wait,
            oldest: self.oldest,
        };
        let question = Request {
            method: Method::GET,
            target: query.target(),
            body: Bytes::new(),
            wait,
        };
        let page: Page = self.link.call(reader, question).await?;
        let age = Duration::from_millis(page.age_ms);
        if age > self.oldest {
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
