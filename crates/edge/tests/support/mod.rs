//! Entry host for tests, with a store in memory, scripted endpoints, and a caller that sees every
//! byte of a response.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test file uses a part"
)]

pub mod fragile;
pub mod link;
mod server;
mod store;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead};
use agate_edge::config::{Account, Config, Engine, Kind, Limits, Route, Service};
use agate_edge::edge::Remote;
use agate_edge::estimate;
use agate_edge::interface::{
    Context, Decoder, Dialect, Duties, Fault, Lookup, Part, RequestInfo, ResponseInfo,
};
use agate_edge::roster::Endpoint;
use agate_edge::run::Program;
use agate_edge::settings::{self, Bounds, Listen, Machine, Settings};
use agate_limit::mention::{self, Mention};
use agate_model::id::{EndpointId, ZoneId};
use agate_notice::retry_after;
use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

pub use self::server::{Server, Step};
pub use self::store::{AfterGet, Connection, Contents, ROW_BYTES, Store};

/// Host name in the requests of callers.
pub const HOST: &str = "floor.example";
/// Key of the account in the initial configuration.
pub const KEY: &str = "k-1";

/// Formats of headers and rows that the tests use.
struct TestPlatform;

/// Returns a header as text; `None` if it is missing or not text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Decodes the names of the parts of a prompt, separated by commas.
fn parts(names: &str) -> Vec<Part> {
    let names = names.split(',');
    let part = |name| Part {
        id: estimate::hash(name),
        tokens: 100,
    };
    names.map(part).collect()
}

impl Dialect for TestPlatform {
    fn request(&self, head: &RequestHead) -> Result<RequestInfo, Fault> {
        let id = header(&head.headers, "x-id").ok_or_else(|| Fault::new("x-id", "is missing"))?;
        Ok(RequestInfo {
            id: id.to_owned(),
            key: header(&head.headers, "authorization").map(str::to_owned),
            timeout: header(&head.headers, "x-patience")
                .and_then(|millis| millis.parse().ok())
                .map(Duration::from_millis),
            last_event: header(&head.headers, "last-event-id").map(str::to_owned),
            prompt: header(&head.headers, "x-parts").map_or_else(Vec::new, parts),
            ..RequestInfo::default()
        })
    }

    fn endpoint_headers(&self, headers: &HeaderMap, context: &Context<'_>) -> HeaderMap {
        let mut endpoint_headers = agate_edge::headers::end_to_end(headers);
        endpoint_headers.remove("authorization");
        let values = [
            ("x-only", Some(context.endpoint)),
            ("x-account", context.account.map(String::as_str)),
            ("last-event-id", context.last_event),
        ];
        for (name, value) in values {
            if let Some(value) = value.and_then(|text| HeaderValue::from_str(text).ok()) {
                endpoint_headers.insert(HeaderName::from_static(name), value);
            }
        }
        endpoint_headers
    }

    fn response(&self, head: &ResponseHead) -> ResponseInfo {
        ResponseInfo {
            request: header(&head.headers, "x-id").map(str::to_owned),
            not_run: head.headers.contains_key("x-not-run"),
            signed: head.headers.contains_key("x-signed"),
            leaving: head.headers.contains_key("x-leaving"),
            retry_after: header(&head.headers, "retry-after")
                .and_then(|value| retry_after::parse(value, None).ok()),
            limit: match header(&head.headers, "x-limit") {
                None => Mention::Absent,
                Some(value) => mention::parse(value).map_or(Mention::Malformed, Mention::Named),
            },
            faults: Vec::new(),
        }
    }

    fn lookup(&self, head: &RequestHead) -> Option<Lookup> {
        let zone = head.uri.query().map(str::to_owned);
        (head.uri.path() == "/where").then_some(Lookup { zone })
    }

    fn addresses(&self, addresses: &[SocketAddr], _validity: Duration) -> (&'static str, Bytes) {
        let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        ("text/plain", Bytes::from(list.join(",")))
    }
}

impl Decoder for TestPlatform {
    fn config_row(&self) -> (&'static str, &'static str) {
        ("settings", "config")
    }

    fn evacuation_row(&self, zone: &str) -> String {
        format!("evacuated/{zone}")
    }

    fn evacuated_zone(&self, key: &str) -> Option<ZoneId> {
        key.strip_prefix("evacuated/").map(str::to_owned)
    }

    fn endpoint_table(&self) -> &'static str {
        "endpoints"
    }

    /// Decodes a version and the keys after it, separated by spaces.
    fn config(&self, value: &[u8]) -> Result<Config, Fault> {
        let text = String::from_utf8_lossy(value);
        let mut words = text.split(' ');
        let version = words.next().and_then(|word| word.parse().ok());
        let version = version
            .ok_or_else(|| Fault::new("config", "the first word is not a version number"))?;
        let keys = words.map(|key| (key.to_owned(), account())).collect();
        Ok(config(version, keys))
    }

    /// Decodes an address, followed by the word `leaving` if the endpoint is draining, or by `in` and its
    /// zone if that is not `a`. At the end, `#N` is the number of the statement and `#N@B` also names the
    /// birth.
    fn endpoint(&self, id: &EndpointId, value: &[u8]) -> Result<Endpoint, Fault> {
        let text = String::from_utf8_lossy(value);
        let (text, statement) = text.split_once(" #").unwrap_or((&text, ""));
        let (number, born) = statement.split_once('@').unwrap_or((statement, ""));
        let (address, state) = text.split_once(' ').unwrap_or((text, ""));
        let address = address
            .parse()
            .map_err(|_| Fault::new("address", "malformed"))?;
        Ok(Endpoint {
            id: id.clone(),
            born: born.parse().ok(),
            number: number.parse().ok(),
            service: "floor".to_owned(),
            address,
            zone: state.strip_prefix("in ").unwrap_or("a").to_owned(),
            slots: 8,
            draining: state == "leaving",
            reclaimable: false,
            cold: Duration::ZERO,
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
        cold: None,
    };
    Config::new(version, limits, [service], Some(keys), routes)
}

/// Running entry host with its store.
pub struct Harness {
    /// Store that the host uses.
    pub store: Rc<Store>,
    /// The entry host.
    pub program: Program,
    /// Settings of the host, with the ports that it listens on.
    pub settings: Settings,
}

impl Harness {
    /// Starts a host with a new store that lists these endpoints, and waits until it is ready.
    pub async fn start(servers: &[&Server]) -> Self {
        Self::start_with_store(Self::store(servers), settings().await).await
    }

    /// Starts a host with this store, and waits until it is ready.
    pub async fn start_in(store: Rc<Store>, host: String) -> Self {
        let settings = Settings {
            host,
            ..settings().await
        };
        Self::start_with_store(store, settings).await
    }

    /// Returns a new store that holds a configuration and lists these endpoints.
    pub fn store(servers: &[&Server]) -> Rc<Store> {
        let store = Rc::new(Store::default());
        store.put("settings", "config", Some(&format!("1 {KEY}")));
        for (n, server) in servers.iter().enumerate() {
            store.put(
                "endpoints",
                &format!("e{n}"),
                Some(&server.address.to_string()),
            );
        }
        store
    }

    /// Starts another host with the store of this one and other ports.
    pub async fn start_peer(&self, host: &str) -> Self {
        Self::start_in(self.store.clone(), host.to_owned()).await
    }

    /// Starts a host that takes no part in the duties.
    async fn start_with_store(store: Rc<Store>, settings: Settings) -> Self {
        Self::with_duties(store, settings, None).await
    }

    /// Starts a host that takes part in the duties if it has a receiver for them.
    pub async fn with_duties(
        store: Rc<Store>,
        settings: Settings,
        duties: Option<Rc<dyn Duties>>,
    ) -> Self {
        Self::with_connection(Connection::new(store), settings, duties).await
    }

    /// Starts a host that reaches its store by `connection`, and waits until it is ready.
    pub async fn with_connection(
        connection: Rc<Connection>,
        mut settings: Settings,
        duties: Option<Rc<dyn Duties>>,
    ) -> Self {
        let store = connection.store.clone();
        let remote = Remote {
            tables: connection.clone(),
            feed: connection,
            duties,
            dialect: Rc::new(TestPlatform),
            decoder: Rc::new(TestPlatform),
        };
        // Another test may have taken a port since it was found to be free.
        let program = loop {
            match Program::start(settings.clone(), remote.clone()) {
                Ok(program) => break program,
                Err(err) if err.kind() == std::io::ErrorKind::AddrInUse => {
                    settings.listen = free_ports().await;
                }
                Err(err) => panic!("the host failed to start: {err}"),
            }
        };
        let harness = Self {
            store,
            program,
            settings,
        };
        while !harness.program.edge().is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
        // The retry budget is shared by the known hosts, so this host's own row must be known.
        while harness.program.edge().hosts.borrow().rows().count() == 0 {
            sleep(Duration::from_millis(20)).await;
        }
        harness
    }

    /// Sends a request on a new connection and returns the response, as far as it was received.
    pub async fn call(&self, request: &str) -> String {
        let mut caller = self.connect().await;
        caller
            .write_all(request.as_bytes())
            .await
            .expect("the host should accept the request");
        read_response(&mut caller).await
    }

    /// Opens a connection to the host's address for callers.
    pub async fn connect(&self) -> TcpStream {
        let address = self.settings.listen.front;
        TcpStream::connect(address)
            .await
            .expect("the host should listen")
    }
}

/// Returns addresses with ports that were free at the time of the call.
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

/// Returns settings with free ports.
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
        evacuation: None,
        machine: Machine::default(),
        log: "info".to_owned(),
    }
}

/// Returns a request with an id and the key: a GET if the body is empty, otherwise a POST.
pub fn request(route: &str, id: &str, body: &str) -> String {
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

/// Reads one response: up to its length or last chunk, or until the connection ends or is silent
/// for 8 s.
pub async fn read_response(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if is_complete(&text) {
            return text;
        }
        let mut buffer = [0; 4096];
        match timeout(Duration::from_secs(8), stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => return text,
        }
    }
}

/// Returns whether a response is complete according to its framing.
pub fn is_complete(text: &str) -> bool {
    let Some(end) = text.find("\r\n\r\n") else {
        return false;
    };
    let head = text[..end].to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return text.ends_with("0\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: Option<usize> = length.and_then(|digits| digits.parse().ok());
    length.is_some_and(|length| text.len() >= end + 4 + length)
}

/// Returns the status code of a response; `none` if it has none.
pub fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}
