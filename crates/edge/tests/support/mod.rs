//! An entry host between stand-ins: a store in memory, endpoints that follow a script, and a
//! caller that sees every byte.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead};
use agate_edge::config::{Account, Config, Engine, Kind, Limits, Route, Service};
use agate_edge::edge::Remote;
use agate_edge::interface::{Ask, Decoder, Dialect, Duties, Fault, Mark, Question, Reply};
use agate_edge::roster::Endpoint;
use agate_edge::run::Program;
use agate_edge::settings::{self, Bounds, Listen, Settings};
use agate_model::id::EndpointId;
use agate_store::Error;
use agate_store::interface::{Answer, Change, Changes, Feed, Tables};
use agate_wire::table::{Commit, Conflict, Page, Row, Transaction};
use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Host that callers name.
pub const HOST: &str = "floor.example";
/// Key of the only account.
pub const KEY: &str = "k-1";

/// Rows in memory, with their history.
#[derive(Default)]
pub struct Store {
    rows: RefCell<BTreeMap<(String, String), (Bytes, u64)>>,
    log: RefCell<Vec<(String, Change)>>,
    revision: Cell<u64>,
    changed: Notify,
    /// Calls fail while this is set.
    pub is_down: Cell<bool>,
    /// Calls that wait for changes never return while this is set.
    pub is_silent: Cell<bool>,
    /// Time that a commit takes.
    pub commit_time: Cell<Duration>,
    /// Feed calls by table.
    pub calls: RefCell<HashMap<String, usize>>,
    /// Commits that were asked for.
    pub commits: Cell<usize>,
    started: RefCell<Option<Instant>>,
}

impl Store {
    /// Writes or removes a row.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let value = value.map(|it| Bytes::from(it.to_owned()));
        let place = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(
                self.rows
                    .borrow_mut()
                    .insert(place, (value.clone(), revision)),
            ),
            None => drop(self.rows.borrow_mut().remove(&place)),
        }
        let change = Change {
            key: key.to_owned(),
            value,
            revision,
        };
        self.log.borrow_mut().push((table.to_owned(), change));
        self.changed.notify_waiters();
    }

    /// Calls so far, of any kind.
    pub fn call_count(&self) -> usize {
        self.commits.get() + self.calls.borrow().values().sum::<usize>()
    }

    /// Contents of all rows of a table.
    pub fn contents(&self, table: &str) -> Vec<String> {
        let rows = self.rows.borrow();
        let rows = rows.iter().filter(|((it, _), _)| it == table);
        rows.map(|(_, (value, _))| String::from_utf8_lossy(value).into_owned())
            .collect()
    }

    fn clock(&self) -> u64 {
        let mut started = self.started.borrow_mut();
        let started = started.get_or_insert_with(Instant::now);
        1000 + u64::try_from(started.elapsed().as_millis()).unwrap_or(0)
    }

    fn check(&self) -> Result<(), Error> {
        match self.is_down.get() {
            true => Err(Error::Unknown("down".to_owned())),
            false => Ok(()),
        }
    }

    fn since(&self, table: &str, after: u64) -> Vec<Change> {
        let log = self.log.borrow();
        let newer = log
            .iter()
            .filter(|(it, change)| it == table && change.revision > after);
        newer.map(|(_, change)| change.clone()).collect()
    }

    fn row(&self, table: &str, key: &str) -> Option<Row> {
        let rows = self.rows.borrow();
        let (value, revision) = rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(Row {
            key: key.to_owned(),
            value: String::from_utf8_lossy(value).into_owned(),
            revision: *revision,
        })
    }
}

impl Tables for Store {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> Answer<'a, Option<Row>> {
        Box::pin(async move {
            self.check()?;
            Ok(self.row(table, key))
        })
    }

    fn scan<'a>(
        &'a self,
        _table: &'a str,
        _prefix: &'a str,
        _after: &'a str,
        _limit: usize,
    ) -> Answer<'a, Page> {
        Box::pin(async { Err(Error::Unreached("not part of this stand-in".to_owned())) })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> Answer<'a, Commit> {
        Box::pin(async move {
            self.commits.set(self.commits.get() + 1);
            sleep(self.commit_time.get()).await;
            self.check()?;
            for check in &transaction.checks {
                let found = self.row(&check.table, &check.key);
                if found.as_ref().map(|it| it.revision) != check.revision {
                    let check = check.clone();
                    return Err(Error::Conflict(Box::new(Conflict { check, found })));
                }
            }
            for write in &transaction.writes {
                self.put(&write.table, &write.key, write.value.as_deref());
            }
            Ok(Commit {
                revision: self.revision.get(),
            })
        })
    }
}

impl Feed for Store {
    fn snapshot<'a>(&'a self, table: &'a str) -> Answer<'a, Changes> {
        Box::pin(async move {
            self.check()?;
            let rows = self.rows.borrow();
            let rows = rows.iter().filter(|((it, _), _)| it == table);
            let rows = rows.map(|((_, key), (value, revision))| Change {
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            });
            Ok(Changes {
                rows: rows.collect(),
                revision: self.revision.get(),
                clock: self.clock(),
            })
        })
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> Answer<'a, Option<Changes>> {
        Box::pin(async move {
            *self.calls.borrow_mut().entry(table.to_owned()).or_default() += 1;
            self.check()?;
            let until = Instant::now() + wait;
            while self.since(table, after).is_empty() && Instant::now() < until {
                let _ = timeout_at(until, self.changed.notified()).await;
            }
            if self.is_silent.get() && !wait.is_zero() {
                std::future::pending::<()>().await;
            }
            self.check()?;
            Ok(Some(Changes {
                rows: self.since(table, after),
                revision: self.revision.get(),
                clock: self.clock(),
            }))
        })
    }
}

/// The way of one host to a store, which can be cut.
pub struct Way {
    /// The store.
    pub store: Rc<Store>,
    /// Calls get no answer while this is set.
    pub is_cut: Cell<bool>,
}

impl Way {
    /// A way that is open.
    pub fn new(store: Rc<Store>) -> Rc<Self> {
        Rc::new(Self {
            store,
            is_cut: Cell::new(false),
        })
    }

    async fn check(&self) -> Result<(), Error> {
        if self.is_cut.get() {
            sleep(Duration::from_millis(300)).await;
            return Err(Error::Unreached("cut".to_owned()));
        }
        Ok(())
    }
}

impl Tables for Way {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> Answer<'a, Option<Row>> {
        Box::pin(async move {
            self.check().await?;
            self.store.get(table, key).await
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> Answer<'a, Page> {
        self.store.scan(table, prefix, after, limit)
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> Answer<'a, Commit> {
        Box::pin(async move {
            self.check().await?;
            self.store.commit(transaction).await
        })
    }
}

impl Feed for Way {
    fn snapshot<'a>(&'a self, table: &'a str) -> Answer<'a, Changes> {
        Box::pin(async move {
            self.check().await?;
            self.store.snapshot(table).await
        })
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> Answer<'a, Option<Changes>> {
        Box::pin(async move {
            self.check().await?;
            let changes = self.store.changes(table, after, wait).await?;
            self.check().await?;
            Ok(changes)
        })
    }
}

/// Headers and rows of the tests.
struct Plain;

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

impl Dialect for Plain {
    fn ask(&self, head: &RequestHead) -> Result<Ask, Fault> {
        let id = header(&head.headers, "x-id").ok_or_else(|| Fault::new("x-id", "is missing"))?;
        Ok(Ask {
            id: id.to_owned(),
            key: header(&head.headers, "authorization").map(str::to_owned),
            patience: header(&head.headers, "x-patience")
                .and_then(|it| it.parse().ok())
                .map(Duration::from_millis),
            last_event: header(&head.headers, "last-event-id").map(str::to_owned),
            ..Ask::default()
        })
    }

    fn outgoing(&self, headers: &HeaderMap, mark: &Mark<'_>) -> HeaderMap {
        let mut outgoing = agate_edge::headers::crossing(headers);
        outgoing.remove("authorization");
        let values = [
            ("x-only", Some(mark.endpoint)),
            ("x-account", mark.account.map(String::as_str)),
            ("last-event-id", mark.last_event),
        ];
        for (name, value) in values {
            if let Some(value) = value.and_then(|it| HeaderValue::from_str(it).ok()) {
                outgoing.insert(HeaderName::from_static(name), value);
            }
        }
        outgoing
    }

    fn reply(&self, head: &ResponseHead) -> Reply {
        Reply {
            request: header(&head.headers, "x-id").map(str::to_owned),
            not_run: head.headers.contains_key("x-not-run"),
            signed: head.headers.contains_key("x-signed"),
        }
    }

    fn question(&self, head: &RequestHead) -> Option<Question> {
        let zone = head.uri.query().map(str::to_owned);
        (head.uri.path() == "/where").then_some(Question { zone })
    }

    fn addresses(&self, addresses: &[SocketAddr], _validity: Duration) -> (&'static str, Bytes) {
        let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        ("text/plain", Bytes::from(list.join(",")))
    }
}

impl Decoder for Plain {
    fn config_row(&self) -> (&'static str, &'static str) {
        ("settings", "config")
    }

    fn endpoint_table(&self) -> &'static str {
        "endpoints"
    }

    /// A version, and the keys after it.
    fn config(&self, value: &[u8]) -> Result<Config, Fault> {
        let text = String::from_utf8_lossy(value);
        let mut words = text.split(' ');
        let version = words.next().and_then(|it| it.parse().ok());
        let version = version.ok_or_else(|| Fault::new("config", "no version"))?;
        let keys = words.map(|key| (key.to_owned(), account())).collect();
        Ok(config(version, keys))
    }

    /// An address, and whether the endpoint is leaving.
    fn endpoint(&self, id: &EndpointId, value: &[u8]) -> Result<Endpoint, Fault> {
        let text = String::from_utf8_lossy(value);
        let (address, state) = text.split_once(' ').unwrap_or((&text, ""));
        let address = address
            .parse()
            .map_err(|_| Fault::new("address", "malformed"))?;
        Ok(Endpoint {
            id: id.clone(),
            born: None,
            service: "floor".to_owned(),
            address,
            zone: "a".to_owned(),
            slots: 8,
            draining: state == "leaving",
            reclaimable: false,
        })
    }
}

fn account() -> Account {
    Account {
        id: "night".to_owned(),
        tier: None,
    }
}

fn config(version: u64, keys: HashMap<String, Account>) -> Config {
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: 4 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let route = |id: &str, kind, attempts| Route {
        id: id.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{id}/"),
        kind,
        timeout: Duration::from_millis(1500),
        target: Duration::from_millis(300),
        tier: 0,
        split: vec![("floor".to_owned(), 1)],
        attempts,
        open: false,
    };
    let routes = [
        route("read", Kind::Idempotent, 2),
        route("book", Kind::Once, 1),
        route("talk", Kind::Stream { resumable: false }, 1),
        route("draft", Kind::Stream { resumable: true }, 2),
    ];
    let service = Service {
        id: "floor".to_owned(),
        health_path: "/health".to_owned(),
        connections: 100,
        engine: Some(Engine {
            slots: 8,
            memory_tokens: 1000,
        }),
        scale: None,
    };
    Config::new(version, limits, [service], Some(keys), routes)
}

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes, with `{id}` replaced by the request's id.
    Say(&'static str),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Hang,
}

/// One request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Head and body.
    pub text: String,
    /// When the caller's side closed the connection, if it did before the script ended.
    pub closed: Option<Duration>,
}

/// An endpoint that plays one script for each request, the last one again and again.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests in order.
    pub seen: Rc<RefCell<Vec<Seen>>>,
}

impl Server {
    /// Starts to play.
    pub async fn start(scripts: Vec<Vec<Act>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
        let scripts = Rc::new(RefCell::new(VecDeque::from(scripts)));
        let ledger = seen.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(connection(stream, scripts.clone(), ledger.clone()));
            }
        });
        Self { address, seen }
    }

    /// Number of requests.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

type Scripts = Rc<RefCell<VecDeque<Vec<Act>>>>;

async fn connection(mut stream: TcpStream, scripts: Scripts, seen: Rc<RefCell<Vec<Seen>>>) {
    let mut inbox = Vec::new();
    while let Some(text) = request(&mut stream, &mut inbox).await {
        let id = text
            .lines()
            .find_map(|it| it.strip_prefix("x-id: "))
            .unwrap_or("");
        let id = id.to_owned();
        let at = seen.borrow().len();
        seen.borrow_mut().push(Seen { text, closed: None });
        let script = {
            let mut scripts = scripts.borrow_mut();
            match scripts.len() {
                0 | 1 => scripts.front().cloned().unwrap_or_default(),
                _ => scripts.pop_front().unwrap_or_default(),
            }
        };
        let began = Instant::now();
        for act in script {
            match act {
                Act::Say(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        seen.borrow_mut()[at].closed = Some(began.elapsed());
                        return;
                    }
                }
                Act::Wait(time) => {
                    let mut byte = [0; 1];
                    if let Ok(Ok(0) | Err(_)) = timeout(time, stream.peek(&mut byte)).await {
                        seen.borrow_mut()[at].closed = Some(began.elapsed());
                        return;
                    }
                }
                Act::Hang => return,
            }
        }
    }
}

/// Reads one request with a length or without body.
async fn request(stream: &mut TcpStream, inbox: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(inbox).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let lower = text[..end].to_ascii_lowercase();
            let length = lower
                .lines()
                .find_map(|it| it.strip_prefix("content-length: "));
            let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
            let whole = end + 4 + length;
            if inbox.len() >= whole {
                inbox.drain(..whole);
                return Some(lower + &text[end..whole]);
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => inbox.extend_from_slice(&buffer[..count]),
        }
    }
}

/// An entry host, its store, and its endpoints.
pub struct Bench {
    /// The store.
    pub store: Rc<Store>,
    /// The host.
    pub program: Program,
    /// Its settings.
    pub settings: Settings,
}

impl Bench {
    /// Starts a host before these endpoints and waits until it is ready.
    pub async fn start(servers: &[&Server]) -> Self {
        let store = Rc::new(Store::default());
        store.put("settings", "config", Some(&format!("1 {KEY}")));
        for (n, server) in servers.iter().enumerate() {
            store.put(
                "endpoints",
                &format!("e{n}"),
                Some(&server.address.to_string()),
            );
        }
        Self::join(store, settings().await).await
    }

    /// Starts a further host with the store of this one.
    pub async fn beside(&self, host: &str) -> Self {
        let settings = Settings {
            host: host.to_owned(),
            ..settings().await
        };
        Self::join(self.store.clone(), settings).await
    }

    async fn join(store: Rc<Store>, settings: Settings) -> Self {
        Self::with_duties(store, settings, None).await
    }

    /// Starts a host that may hold duties, with a store of its own or of others.
    pub async fn with_duties(
        store: Rc<Store>,
        settings: Settings,
        duties: Option<Rc<dyn Duties>>,
    ) -> Self {
        Self::with_way(Way::new(store), settings, duties).await
    }

    /// Starts a host that reaches its store by `way`.
    pub async fn with_way(
        way: Rc<Way>,
        mut settings: Settings,
        duties: Option<Rc<dyn Duties>>,
    ) -> Self {
        let store = way.store.clone();
        let remote = Remote {
            tables: way.clone(),
            feed: way,
            duties,
            dialect: Rc::new(Plain),
            decoder: Rc::new(Plain),
        };
        // A port that was free may have been taken by another test meanwhile.
        let program = loop {
            match Program::start(settings.clone(), remote.clone()) {
                Ok(program) => break program,
                Err(err) if err.kind() == std::io::ErrorKind::AddrInUse => {
                    settings.listen = free_ports().await;
                }
                Err(err) => panic!("the host does not start: {err}"),
            }
        };
        let bench = Self {
            store,
            program,
            settings,
        };
        while !bench.program.edge().is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
        // The budget of repeats is shared by the hosts that are known: this one.
        while bench.program.edge().hosts.borrow().rows().count() == 0 {
            sleep(Duration::from_millis(20)).await;
        }
        bench
    }

    /// Sends a request on a new connection and reads until it ends or the answer is whole.
    pub async fn call(&self, request: &str) -> String {
        let mut caller = self.connect().await;
        caller
            .write_all(request.as_bytes())
            .await
            .expect("the host reads");
        read_answer(&mut caller).await
    }

    /// A connection of a caller.
    pub async fn connect(&self) -> TcpStream {
        let address = self.settings.listen.front;
        TcpStream::connect(address).await.expect("the host listens")
    }
}

/// Addresses with ports that were free just now.
async fn free_ports() -> Listen {
    let mut addresses = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        addresses.push(listener.local_addr().expect("an address"));
    }
    Listen {
        front: addresses[0],
        ready: addresses[1],
        directory: addresses[2],
        relay: Some(addresses[3]),
        metrics: None,
    }
}

/// Settings with free ports.
pub async fn settings() -> Settings {
    let listen = free_ports().await;
    let front = listen.front;
    Settings {
        host: "one".to_owned(),
        zone: "a".to_owned(),
        ip: front.ip(),
        weight: 1.0,
        listen,
        remote: settings::Remote {
            store: front,
            duties: None,
        },
        bounds: Bounds {
            apply: Duration::from_secs(2),
            withdraw: Duration::from_secs(5),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(3),
            addresses: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            report: Duration::from_secs(10),
            repeat_ratio: 0.2,
            repeat_extra: 10.0,
            repeat_window: Duration::from_secs(10),
        },
        log: "info".to_owned(),
    }
}

/// A GET or POST with an id and the key.
pub fn ask(route: &str, id: &str, body: &str) -> String {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let length = match body.len() {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!(
        "{method} /{route}/x?y=1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: {id}\r\nauthorization: {KEY}\r\n\
         {length}\r\n{body}"
    )
}

/// Reads one answer: up to its length or last chunk, or as far as the connection goes.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let mut inbox = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&inbox).into_owned();
        if is_whole(&text) {
            return text;
        }
        let mut buffer = [0; 4096];
        match timeout(Duration::from_secs(8), stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => inbox.extend_from_slice(&buffer[..count]),
            _ => return text,
        }
    }
}

/// Whether an answer is framed as complete.
pub fn is_whole(text: &str) -> bool {
    let Some(end) = text.find("\r\n\r\n") else {
        return false;
    };
    let head = text[..end].to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return text.ends_with("0\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|it| it.strip_prefix("content-length: "));
    let length: Option<usize> = length.and_then(|it| it.parse().ok());
    length.is_some_and(|length| text.len() >= end + 4 + length)
}

/// Status of an answer.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}
