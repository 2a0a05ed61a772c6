//! Fake endpoints, a fake control process and a fixed configuration for tests of the gate.
#![allow(dead_code, reason = "each test binary uses only some of the items")]
#![allow(
    unreachable_pub,
    reason = "no other crate can use items of a test binary"
)]

pub mod raw;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, HttpService, Request, Response};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use agate_gate::gate::Gate;
use agate_gate::program::Program;
use agate_gate::settings::{Limits, Settings};
use agate_gate::sync::{Error, Steer};
use agate_limit::permit::Answer;
use agate_limit::schedule::Schedule;
use agate_model::key::Digest;
use agate_store::interface::Tables;
use agate_wire::change;
use agate_wire::manifest::Manifest;
use agate_wire::permit::{self, Question};
use agate_wire::sync;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future::LocalBoxFuture;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Key of the account `workshop`.
pub const KEY: &str = "secret-key-of-the-workshop";
/// Key of the account `exchange`.
pub const OTHER_KEY: &str = "secret-key-of-the-exchange";
/// Reporting window that the fake control process names.
pub const WINDOW: u64 = 1_700_000_000;

/// Runs a test on the kind of runtime that the gate uses, with a timeout of 30 s.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(Duration::from_secs(30), test)
            .await
            .expect("the test ends in time");
    });
}

/// Request as an endpoint received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Fake endpoint that responds with the result of a function and records the requests it received.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub received: Rc<RefCell<Vec<Received>>>,
}

impl Endpoint {
    pub async fn start<F, A>(respond: F) -> Self
    where
        F: Fn(Received) -> A + Clone + 'static,
        A: Future<Output = Response<BoxBody>> + 'static,
    {
        let received: Rc<RefCell<Vec<Received>>> = Rc::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let log = received.clone();
        let factory = HttpService::build()
            .h1_allow_half_closed(false)
            .h1(fn_service(move |mut request: Request| {
                let respond = respond.clone();
                let log = log.clone();
                async move {
                    let request = receive(&mut request).await;
                    log.borrow_mut().push(request.clone());
                    Ok::<_, Infallible>(respond(request).await)
                }
            }))
            .tcp();
        let service = factory.new_service(()).await.expect("an HTTP service");
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("an open socket");
                actix_rt::spawn(service.call(stream));
            }
        });
        Self { address, received }
    }

    /// Returns the number of requests that were received.
    pub fn count(&self) -> usize {
        self.received.borrow().len()
    }
}

/// Reads a request to its end.
async fn receive(request: &mut Request) -> Received {
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    let headers = request.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    Received {
        method: request.method().to_string(),
        target: request.uri().to_string(),
        headers: headers.collect(),
        body: body.into(),
    }
}

/// Fake control process with a fixed response, which tests may change.
pub struct FakeSteer {
    pub response: RefCell<sync::Response>,
    /// Requests of all calls that got a response.
    pub requests: RefCell<Vec<sync::Request>>,
    /// Grants permits at this rate, in requests a second; `None` grants none.
    pub owner: RefCell<Option<(Schedule, f64)>>,
    /// Questions for permits that got an answer.
    pub questions: RefCell<Vec<Question>>,
    /// Whether calls time out.
    pub down: Cell<bool>,
    /// Time that a call takes.
    pub delay: Cell<Duration>,
}

impl FakeSteer {
    pub fn new(resources: Vec<Value>) -> Rc<Self> {
        let snapshot = change::Snapshot {
            version: 1,
            resources: resources.into_iter().map(resource).collect(),
        };
        Rc::new(Self {
            response: RefCell::new(sync::Response {
                version: 1,
                proof_age_ms: Some(0),
                update: Some(sync::Update::Snapshot(snapshot)),
                live_hosts: 1,
                window: WINDOW,
                ..sync::Response::default()
            }),
            requests: RefCell::default(),
            owner: RefCell::default(),
            questions: RefCell::default(),
            down: Cell::new(false),
            delay: Cell::default(),
        })
    }

    /// Replaces the configuration by `resources`, with the next version.
    pub fn declare(&self, resources: Vec<Value>) {
        let mut response = self.response.borrow_mut();
        response.version += 1;
        response.update = Some(sync::Update::Snapshot(change::Snapshot {
            version: response.version,
            resources: resources.into_iter().map(resource).collect(),
        }));
    }

    /// Returns the usage counters of the last call that carried any.
    pub fn usage(&self) -> Vec<sync::Usage> {
        let requests = self.requests.borrow();
        let last = requests
            .iter()
            .rev()
            .find(|request| !request.usage.is_empty());
        last.map(|request| request.usage.clone())
            .unwrap_or_default()
    }
}

impl Steer for FakeSteer {
    fn sync(
        &self,
        _: SocketAddr,
        request: sync::Request,
    ) -> LocalBoxFuture<'_, Result<sync::Response, Error>> {
        Box::pin(async move {
            if self.down.get() {
                return Err(Error::Timeout);
            }
            if !self.delay.get().is_zero() {
                tokio::time::sleep(self.delay.get()).await;
            }
            let mut response = self.response.borrow().clone();
            if request.version == response.version {
                response.update = None;
            }
            self.requests.borrow_mut().push(request);
            Ok(response)
        })
    }

    fn permits(
        &self,
        _: SocketAddr,
        question: Question,
    ) -> LocalBoxFuture<'_, Result<permit::Reply, Error>> {
        Box::pin(async move {
            if self.down.get() {
                return Err(Error::Timeout);
            }
            let now = std::time::Instant::now();
            let mut owner = self.owner.borrow_mut();
            let answer = match owner.as_mut() {
                Some((schedule, rate)) => schedule.ask(now, *rate, question.wanted),
                None => Answer::Denied {
                    wait: Duration::from_millis(300),
                },
            };
            self.questions.borrow_mut().push(question);
            Ok(answer.into())
        })
    }
}

fn resource(value: Value) -> change::Resource {
    let manifest: Manifest = serde_json::from_value(value).expect("a well-formed manifest");
    change::Resource {
        version: 1,
        manifest,
    }
}

/// Returns the digest of a key in hexadecimal, as manifests have it.
pub fn digest(key: &str) -> String {
    let Digest(bytes) = Digest::of(key.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the accounts, keys, classes, pools and routes that all tests use. Each test adds its own
/// endpoints.
pub fn resources() -> Vec<Value> {
    let target = json!({"first_token": "1s", "between_tokens": "500ms", "deadline": "5s"});
    let class = |id: &str, tier: u8, idempotent: bool| {
        json!({"kind": "class", "id": id, "tier": tier, "weight": 1, "target": target,
            "idempotent": idempotent, "queue_limit": 10, "retry_percent": 100})
    };
    vec![
        json!({"kind": "account", "id": "workshop", "weight": 1, "classes": ["urgent"]}),
        json!({"kind": "account", "id": "exchange", "weight": 1}),
        json!({"kind": "key", "id": "key-1", "account": "workshop", "digest": digest(KEY)}),
        json!({"kind": "key", "id": "key-2", "account": "exchange", "digest": digest(OTHER_KEY)}),
        class("chat", 1, true),
        class("urgent", 0, true),
        class("booking", 0, false),
        json!({"kind": "pool", "id": "engines", "model": "prism", "min_endpoints": 1, "max_endpoints": 1}),
        json!({"kind": "pool", "id": "services", "min_endpoints": 1, "max_endpoints": 1}),
        json!({"kind": "route", "id": "prism", "model": "prism", "class": "chat", "pools": ["engines"]}),
        json!({"kind": "route", "id": "bookings", "prefix": "/bookings", "class": "booking", "pools": ["services"]}),
        json!({"kind": "route", "id": "prices", "prefix": "/prices", "class": "chat", "pools": ["services"], "access": "open"}),
        json!({"kind": "route", "id": "records", "prefix": "/records", "class": "chat", "pools": ["services"]}),
    ]
}

/// Returns the manifest of a model engine in the gate's own availability zone.
pub fn engine(id: &str, address: SocketAddr) -> Value {
    json!({"kind": "endpoint", "id": id, "pool": "engines", "address": address, "zone": "a",
        "protocol": "engine", "slots": 4, "credential": "engine-credential"})
}

/// Returns the manifest of a plain service in the gate's own availability zone.
pub fn service(id: &str, address: SocketAddr) -> Value {
    json!({"kind": "endpoint", "id": id, "pool": "services", "address": address, "zone": "a",
        "protocol": "plain", "slots": 4})
}

/// Moves an endpoint to another availability zone, so that the gate prefers those of its own zone.
pub fn remote(mut endpoint: Value) -> Value {
    endpoint["zone"] = json!("b");
    endpoint
}

pub fn settings() -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        host: "host-1".to_owned(),
        zone: "a".to_owned(),
        listen: any_port,
        admin: any_port,
        steer: vec![any_port],
        cluster_key_file: None,
        platform: None,
        limits: Limits::default(),
        sync_interval: Duration::from_millis(20),
        freshness: Duration::from_millis(2500),
        keep_addresses: Duration::from_secs(1),
        drain_timeout: Duration::from_secs(5),
        log: "info".to_owned(),
        tls: None,
    }
}

/// Running gate with its fake control process and an HTTP client.
pub struct Deployment {
    pub gate: Rc<Gate>,
    pub steer: Rc<FakeSteer>,
    pub program: Program,
    pub client: awc::Client,
}

impl Deployment {
    pub async fn start(endpoints: Vec<Value>) -> Self {
        Self::with(settings(), endpoints).await
    }

    pub async fn with(settings: Settings, endpoints: Vec<Value>) -> Self {
        Self::with_tables(settings, endpoints, None).await
    }

    pub async fn with_tables(
        settings: Settings,
        endpoints: Vec<Value>,
        tables: Option<Rc<dyn Tables>>,
    ) -> Self {
        let mut resources = resources();
        resources.extend(endpoints);
        let steer = FakeSteer::new(resources);
        let gate = Gate::new(settings, tables);
        let program = Program::start(gate.clone(), steer.clone())
            .await
            .expect("free ports");
        until(|| gate.is_current()).await;
        let client = awc::Client::builder()
            .disable_redirects()
            .timeout(Duration::from_secs(20))
            .finish();
        Self {
            gate,
            steer,
            program,
            client,
        }
    }

    pub fn url(&self, target: &str) -> String {
        format!("http://{}{target}", self.program.address())
    }

    /// Sends a request with the key of the account `workshop`.
    pub async fn call(&self, method: &str, target: &str, body: &str) -> Reply {
        let bearer = format!("Bearer {KEY}");
        self.call_with(method, target, &[("authorization", &bearer)], body)
            .await
    }

    pub async fn call_with(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let method = method.parse().expect("a method");
        let mut request = self.client.request(method, self.url(target));
        for (name, value) in headers {
            request = request.append_header((*name, *value));
        }
        let mut response = request
            .send_body(body.to_owned())
            .await
            .expect("a response from the gate");
        let headers = response.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        let headers: Vec<_> = headers.collect();
        let status = response.status().as_u16();
        let body = response.body().await.expect("a complete body");
        Reply {
            status,
            headers,
            body: String::from_utf8(body.to_vec()).expect("text"),
        }
    }

    pub async fn chat(&self, stream: bool) -> Reply {
        self.call("POST", "/v1/chat/completions", &chat_body(stream))
            .await
    }

    /// Returns the value of the first metric whose exported line starts with `prefix`. Panics
    /// without such a metric.
    pub fn metric(&self, prefix: &str) -> f64 {
        let text = self.gate.metrics.encode();
        let found = text.lines().find_map(|line| line.strip_prefix(prefix));
        let value = found.unwrap_or_else(|| panic!("no metric line starts with {prefix:?}"));
        value.trim().parse().expect("a number")
    }

    /// Returns the same value, or 0 for a metric that doesn't exist yet.
    pub fn metric_or_zero(&self, prefix: &str) -> f64 {
        let text = self.gate.metrics.encode();
        let found = text.lines().find_map(|line| line.strip_prefix(prefix));
        found.map_or(0.0, |value| value.trim().parse().expect("a number"))
    }

    pub fn refusals(&self, reason: &str) -> f64 {
        self.metric(&format!("agate_gate_refusals_total{{reason=\"{reason}\"}}"))
    }

    pub fn retries(&self, reason: &str) -> f64 {
        self.metric(&format!("agate_gate_retries_total{{reason=\"{reason}\"}}"))
    }
}

pub fn chat_body(stream: bool) -> String {
    json!({"model": "prism", "stream": stream, "messages": [{"role": "user", "content": "hello"}]})
        .to_string()
}

/// Response as the caller received it.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }

    /// Checks the headers of a refusal and returns its code and execution.
    pub fn refusal(&self) -> (String, String) {
        let value = self.json();
        let field = |name: &str| value["error"][name].as_str().unwrap_or("").to_owned();
        assert_eq!(
            self.header("x-agate-execution"),
            Some(field("execution").as_str())
        );
        assert!(self.header("retry-after").is_some());
        assert!(self.header("x-request-id").is_some());
        (field("code"), field("execution"))
    }

    /// Returns the concatenated text of a streamed chat completion.
    pub fn text(&self) -> String {
        self.events()
            .iter()
            .filter_map(|event| serde_json::from_str::<Value>(event).ok())
            .filter_map(|chunk| {
                let content = chunk.pointer("/choices/0/delta/content")?;
                Some(content.as_str()?.to_owned())
            })
            .collect()
    }

    /// Returns the data of all events of a streamed response.
    pub fn events(&self) -> Vec<String> {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        data.map(str::to_owned).collect()
    }
}

/// Waits until `condition` holds, and checks it every 5 ms.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns one event of an engine's stream with the text of one token. The `last` one also carries
/// the usage.
pub fn event(offset: u64, text: &str, last: bool) -> String {
    let finish = if last { json!("stop") } else { Value::Null };
    let mut chunk = json!({"id": "answer", "object": "chat.completion.chunk", "created": 1,
        "model": "prism",
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}]});
    if last {
        let tokens = offset + 1;
        chunk["usage"] =
            json!({"prompt_tokens": 7, "completion_tokens": tokens, "total_tokens": 7 + tokens});
    }
    format!("id: {offset}\ndata: {chunk}\n\n")
}

/// Event that ends a streamed chat completion.
pub const DONE: &str = "data: [DONE]\n\n";

pub fn event_stream(body: String) -> Response<BoxBody> {
    let mut response = Response::with_body(actix_http::StatusCode::OK, BoxBody::new(body));
    response.headers_mut().insert(
        actix_http::header::CONTENT_TYPE,
        actix_http::header::HeaderValue::from_static("text/event-stream"),
    );
    response
}

pub fn text(status: u16, body: &str) -> Response<BoxBody> {
    let status = actix_http::StatusCode::from_u16(status).expect("a status");
    Response::with_body(status, BoxBody::new(body.to_owned()))
}

/// Binds a port without listening on it. Connections to it are refused, and no other test gets it
/// while the socket is kept.
pub fn closed_port() -> (SocketAddr, tokio::net::TcpSocket) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    (address, socket)
}
