//! Relays changes of tables between hosts, so that not every host reads them from the store.
//!
//! One host of each availability zone, the reader, reads a table from the store; the other hosts of
//! the zone read it from the reader. Each response carries the age of its data. A host whose reader
//! is silent or stale reads from another one, then from the store itself. The configuration is handed
//! on as patches, with digests in place of keys.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use agate_memory::Budget;
use agate_model::id::Revision;
use agate_model::revision;
use agate_store::interface::{Change, Changes};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::edge::Edge;
use crate::estimate;
use crate::handover::Evidence;
use crate::metrics::Table;
use crate::peer::{self, Error, MAX_READERS, OUTAGE_STATUS, Request};
use crate::server::Incoming;
use crate::{handover, headers, limits, response, version};

/// Number of changes kept for each table. A host that needs older ones gets all rows.
const MAX_CHANGES: usize = 4096;
/// Bytes of the values of the changes kept for each table: what the thinnest link carries in a second.
const MAX_CHANGE_BYTES: usize = 1 << 20;

/// Change of one row, as sent between hosts.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    key: String,
    /// `None` if the row was removed.
    value: Option<Value>,
    revision: Revision,
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
    /// Whether the rows are all rows of the table.
    #[serde(default)]
    is_snapshot: bool,
    /// Whether the changes are the first ones after an outage of the store.
    #[serde(default)]
    is_after_outage: bool,
    /// Revision up to which the changes are complete.
    revision: Revision,
    /// The store's clock at its last response, in milliseconds.
    clock: u64,
    /// Time since that response, in milliseconds.
    age_ms: u64,
    /// Digest of the keys of all rows; `None` if the host does not send one.
    #[serde(default)]
    digest: Option<u64>,
    /// The host's evidence that its configuration is the newest; `None` if it has none.
    #[serde(default)]
    newest: Option<Evidence>,
}

/// Changes of one table as read from another host.
#[derive(Debug)]
pub struct Relayed {
    /// The changes, or all rows.
    pub changes: Changes,
    /// Whether they are all rows of the table.
    pub is_snapshot: bool,
    /// Whether they are the first ones after an outage of the store.
    pub is_after_outage: bool,
    /// Digest of the keys of all rows at the other host; `None` if it sent none.
    pub digest: Option<u64>,
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

/// Where a response came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The store, for the first time after a read had failed.
    StoreAfterOutage,
    /// Another host.
    Host,
}

/// All rows of a table, made when another host needs them.
pub trait Snapshot {
    /// Returns all rows; none if they can't be made.
    fn rows(&self) -> Vec<Change>;
}

/// What is known of all rows of a table.
enum Rows {
    /// Some rows are not known: there was no snapshot yet.
    Partial,
    /// All rows by key.
    Complete(BTreeMap<String, Change>),
    /// All rows are made from what the table says.
    Made(Rc<dyn Snapshot>),
}

/// One table as this host knows it, with its recent changes.
struct Mirror {
    rows: Rows,
    /// Whether the last response was the store's. Others are not handed on: two hosts that read from
    /// each other would both keep what is outdated.
    is_direct: bool,
    /// Revision of the first response after the last outage; `None` if there was none.
    outage: Option<Revision>,
    /// Recent changes, oldest first.
    changes: VecDeque<Change>,
    /// Bytes of the values of those.
    change_bytes: usize,
    /// Revision after which the changes are complete; older ones may be missing.
    oldest_revision: Revision,
    /// Revision of the store's last response.
    revision: Revision,
    /// The store's clock at its last response, in milliseconds.
    clock: u64,
    /// When the last response was received.
    at: Instant,
}

impl Mirror {
    fn new(revision: Revision) -> Self {
        Self {
            rows: Rows::Partial,
            is_direct: false,
            outage: None,
            changes: VecDeque::new(),
            change_bytes: 0,
            oldest_revision: revision,
            revision: 0,
            clock: 0,
            at: Instant::now(),
        }
    }

    fn record(&mut self, changes: &Changes, is_snapshot: bool, source: Source) {
        self.is_direct = source != Source::Host;
        if source == Source::StoreAfterOutage {
            self.outage = Some(changes.revision);
        }
        if is_snapshot {
            self.changes.clear();
            self.change_bytes = 0;
            self.oldest_revision = changes.revision;
            if !matches!(self.rows, Rows::Made(_)) {
                self.rows = Rows::Complete(BTreeMap::new());
            }
        } else {
            self.changes.extend(changes.rows.iter().cloned());
            self.change_bytes += changes.rows.iter().map(value_bytes).sum::<usize>();
        }
        if let Rows::Complete(rows) = &mut self.rows {
            for change in &changes.rows {
                match change.value {
                    Some(_) => rows.insert(change.key.clone(), change.clone()),
                    None => rows.remove(&change.key),
                };
            }
        }
        while self.changes.len() > MAX_CHANGES || self.change_bytes > MAX_CHANGE_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                break;
            };
            self.change_bytes -= value_bytes(&dropped);
            self.oldest_revision = dropped.revision;
        }
        self.revision = self.revision.max(changes.revision);
        self.clock = self.clock.max(changes.clock);
        self.at = Instant::now();
    }

    /// Returns the changes after a revision, or all rows if some of the changes are missing; `None`
    /// if some of the rows are missing as well.
    fn page(&self, after: Revision) -> Option<Page> {
        // What the other host has is of a later era than all that is known here.
        let is_outdated = revision::era(after) > revision::era(self.revision);
        if !self.is_direct || is_outdated {
            return None;
        }
        let is_snapshot = self.oldest_revision > after;
        let rows = match (is_snapshot, &self.rows) {
            (true, Rows::Partial) => return None,
            (true, Rows::Complete(rows)) => rows.values().map(Row::from).collect(),
            (true, Rows::Made(snapshot)) => snapshot.rows().iter().map(Row::from).collect(),
            (false, _) => {
                let newer = self.changes.iter().filter(|row| row.revision > after);
                newer.map(Row::from).collect()
            }
        };
        let digest = match &self.rows {
            Rows::Complete(rows) => Some(digest(rows.keys().map(String::as_str))),
            Rows::Partial | Rows::Made(_) => None,
        };
        let is_after_outage = self.outage.is_some_and(|first| after < first);
        Some(Page {
            rows,
            is_snapshot,
            is_after_outage,
            revision: self.revision.max(after),
            clock: self.clock,
            age_ms: u64::try_from(self.at.elapsed().as_millis()).unwrap_or(u64::MAX),
            digest,
            newest: None,
        })
    }
}

/// Returns the size of the value of a changed row, in bytes.
fn value_bytes(change: &Change) -> usize {
    change.value.as_ref().map_or(0, Bytes::len)
}

/// Returns a digest of keys in ascending order.
pub fn digest<'a>(keys: impl Iterator<Item = &'a str>) -> u64 {
    keys.fold(0, estimate::hash_pair)
}

/// Tables as this host knows them, whether it reads them from the store or from another host.
#[derive(Default)]
pub struct Mirrors {
    tables: RefCell<HashMap<&'static str, Mirror>>,
    /// Notified after each response of the store or another host.
    changed: Notify,
}

impl Mirrors {
    /// Records a response; a snapshot replaces the known rows.
    pub fn record(
        &self,
        table: &'static str,
        changes: &Changes,
        is_snapshot: bool,
        source: Source,
    ) {
        let mut tables = self.tables.borrow_mut();
        let mirror = tables
            .entry(table)
            .or_insert_with(|| Mirror::new(changes.revision));
        mirror.record(changes, is_snapshot, source);
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Sets what all rows of a table are made from, in place of keeping them. `revision` is that of the
    /// newest change that they include.
    pub fn set_snapshot(
        &self,
        table: &'static str,
        revision: Revision,
        snapshot: Rc<dyn Snapshot>,
    ) {
        let mut tables = self.tables.borrow_mut();
        let mirror = tables.entry(table).or_insert_with(|| Mirror::new(revision));
        mirror.rows = Rows::Made(snapshot);
    }

    /// Returns all rows of a table and the revision that they are from; `None` if they are not kept.
    pub fn rows(&self, table: &str) -> Option<(BTreeMap<String, Change>, Revision)> {
        let tables = self.tables.borrow();
        let mirror = tables.get(table)?;
        match &mirror.rows {
            Rows::Complete(rows) => Some((rows.clone(), mirror.revision)),
            Rows::Partial | Rows::Made(_) => None,
        }
    }

    /// Returns the changes after a revision, as soon as there are any or the query's wait is over.
    /// Returns `None` if the last read of the table is older than the query allows, also once it
    /// becomes so during the wait.
    async fn page(&self, query: &Query<'_>) -> Option<Page> {
        let until = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let page = self.tables.borrow().get(query.table)?.page(query.after)?;
            let age = Duration::from_millis(page.age_ms);
            if age >= query.max_age {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !page.rows.is_empty() || page.is_snapshot || left.is_zero() {
                return Some(page);
            }
            let _ = timeout(left.min(query.max_age - age), changed).await;
        }
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
        // Permits do not depend on the store.
        if target == limits::PATH {
            return encode(self.edge.reply_to(&incoming.body));
        }
        // So does a version that the store has lost.
        if target == version::PATH {
            return encode(version::Whole::of(&self.edge));
        }
        // The other host must switch to a reader that can reach the store.
        if self.edge.outage.is_active() {
            return response::Response::bare(OUTAGE_STATUS);
        }
        if target == handover::PATH {
            return encode(handover::accept(&self.edge, &incoming.body));
        }
        let Some(query) = Query::parse(target) else {
            return response::Response::bare(StatusCode::BAD_REQUEST);
        };
        self.edge.eras.observe(query.after);
        let page = self.edge.mirrors.page(&query).await;
        let page = page.filter(|page| self.edge.eras.observe(page.revision));
        if self.edge.outage.is_active() {
            return response::Response::bare(OUTAGE_STATUS);
        }
        let started = Instant::now();
        let response = encode(page.map(|page| Page {
            newest: Evidence::of(&self.edge),
            ..page
        }));
        if response.status == StatusCode::OK {
            let bytes = response.body.len();
            let table = query.table.to_owned();
            let counter = self.edge.metrics.relayed_bytes.clone();
            let counter = counter.get_or_create_owned(&Table { table });
            counter.inc_by(bytes as u64);
            let took_us = started.elapsed().as_micros();
            tracing::debug!(event = "page_encoded", table = query.table, bytes, took_us);
        }
        response
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
    fn memory(&self) -> Rc<Budget> {
        self.edge.memory.clone()
    }

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
    after: Revision,
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
    /// Name under which hosts hand the table on.
    pub table: &'static str,
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

    /// Reads the changes after a revision, or all rows without one, from the reader of the zone or
    /// from another one if that fails. A reader that fails is not used again for a while.
    pub async fn changes(&self, after: Option<Revision>, wait: Duration) -> Result<Relayed, Error> {
        let readers = self.edge.readers();
        let mut outcome = Err(Error::NoReader);
        for _ in 0..MAX_READERS {
            let Some(reader) = self.link.first_available(&readers) else {
                break;
            };
            outcome = self.read(reader, after.unwrap_or(0), wait).await;
            let Err(err) = &outcome else { break };
            tracing::info!(
                event = "reader_lost",
                table = self.table,
                reader = %reader,
                error = %err,
            );
            self.link.back_off(reader, err);
        }
        outcome
    }

    /// Returns how many bytes of the current or last response were received so far.
    pub fn received(&self) -> usize {
        self.link.received()
    }

    /// Sends one query to a reader; fails if its data is too old.
    async fn read(
        &self,
        reader: SocketAddr,
        after: Revision,
        wait: Duration,
    ) -> Result<Relayed, Error> {
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
        let sent_at = clock::boot();
        let page: Page = self.link.call(reader, question).await?;
        let age = Duration::from_millis(page.age_ms);
        if age > self.max_age {
            return Err(Error::Stale(age));
        }
        if !self.edge.eras.observe(page.revision) {
            return Err(Error::EarlierEra(revision::era(page.revision)));
        }
        if page.clock > 0 {
            let millis = page.clock.saturating_add(page.age_ms);
            self.edge.guard.observe_clock(clock::boot(), millis);
        }
        if let Some(newest) = &page.newest {
            handover::confirm(&self.edge, reader, sent_at, newest);
        }
        let rows: Result<Vec<Change>, Error> =
            page.rows.into_iter().map(Change::try_from).collect();
        Ok(Relayed {
            changes: Changes {
                rows: rows?,
                revision: page.revision,
                clock: page.clock,
            },
            is_snapshot: page.is_snapshot,
            is_after_outage: page.is_after_outage,
            digest: page.digest,
        })
    }
}
