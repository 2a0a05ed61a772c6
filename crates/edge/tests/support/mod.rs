//! An entry host between stand-ins: a store in memory, endpoints that follow a script, and a
//! caller that sees every byte.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

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
use agate_edge::interface::{Ask, Decoder, Dialect, Duties, Fault, Mark, Question, Reply};
use agate_edge::roster::Endpoint;
use agate_edge::run::Program;
use agate_edge::settings::{self, Bounds, Listen, Settings};
use agate_model::id::EndpointId;
use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

pub use self::server::{Server, Step};
pub use self::store::{Store, Way};

/// Host that callers name.
pub const HOST: &str = "floor.example";
/// Key of the only account.
pub const KEY: &str = "k-1";

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
        let mut outgoing = agate_edge::headers::end_to_end(headers);
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
