//! One request over HTTP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use agate_wire::engine::{Completion, Message};
use agate_wire::refusal;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::{ClientRequest, ClientResponse};
use futures_util::StreamExt as _;
use tokio::time::Instant;

use super::Route;
use super::plan::{Call, What};
use super::record::Result;
use super::stream::{Event, Events};
use super::targets::Targets;

/// Largest plain answer or error body, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Limit on making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) struct Caller {
    targets: Targets,
    route: Route,
    client: awc::Client,
    sequence: Cell<u64>,
    /// Makes the idempotency keys of this run differ from those of others.
    run: u64,
}

impl Caller {
    pub(super) fn new(targets: Targets, route: Route) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            targets,
            route,
            client,
            sequence: Cell::new(0),
            run: rand::random(),
        }
    }

    /// Runs a call. Another address is tried only if no connection was made.
    pub(super) async fn call(&self, call: &Call) -> Result {
        let arrival = Instant::now();
        let run = self.run(call, arrival);
        match tokio::time::timeout(call.deadline, run).await {
            Ok(result) => result,
            Err(_) => Result::lost("deadline"),
        }
    }

    async fn run(&self, call: &Call, arrival: Instant) -> Result {
        let mut fault = "no address".to_owned();
        for address in self.targets.of(call).await {
            let (request, body) = self.request(call, address);
            match request.send_body(body).await {
                Ok(answer) => return read(call, answer, arrival).await,
                Err(SendRequestError::Connect(ConnectError::Io(err))) => fault = err.to_string(),
                Err(SendRequestError::Connect(ConnectError::Timeout)) => fault = "connect".into(),
                Err(err) => return Result::lost(&err.to_string()),
            }
        }
        Result::lost(&fault)
    }

    fn request(&self, call: &Call, address: SocketAddr) -> (ClientRequest, String) {
        let (method, path, body) = match &call.what {
            What::Model {
                model,
                prompt_words,
                max_tokens,
                stream,
            } => {
                let completion = Completion {
                    model: model.clone(),
                    messages: vec![Message {
                        role: "user".to_owned(),
                        content: self.prompt(*prompt_words),
                    }],
                    stream: *stream,
                    max_tokens: Some(*max_tokens),
                };
                let body = serde_json::to_string(&completion).expect("a completion is plain data");
                (Method::POST, "/v1/chat/completions", body)
            }
            What::Plain {
                method, path, body, ..
            } => {
                let method = method.parse().unwrap_or(Method::GET);
                (method, path.as_str(), body.clone())
            }
        };
        let request = self
            .client
            .request(method, format!("http://{address}{path}"));
        (self.headers(call, request), body)
    }

    fn headers(&self, call: &Call, mut request: ClientRequest) -> ClientRequest {
        let number = self.sequence.get() + 1;
        self.sequence.set(number);
        request = request.insert_header(("content-type", "application/json"));
        if let What::Plain {
            idempotency_key: true,
            ..
        } = call.what
        {
            request = request.insert_header((
                "idempotency-key",
                format!("load-{:016x}-{number}", self.run),
            ));
        }
        if self.route == Route::Endpoints {
            return request
                .insert_header(("x-request-id", format!("load-{:016x}-{number}", self.run)));
        }
        if call.send_class {
            request = request.insert_header(("x-agate-class", call.class.clone()));
        }
        if let Some(key) = &call.key {
            request = request.insert_header(("authorization", format!("Bearer {key}")));
        }
        request
    }

    fn prompt(&self, words: usize) -> String {
        let first = self.sequence.get();
        let word = |n: usize| format!("w{}", first.wrapping_add(n as u64) % 10_007);
        (0..words).map(word).collect::<Vec<_>>().join(" ")
    }
}

/// Body of an answer.
trait Body: futures_util::Stream<Item = Chunk> + Unpin {}

type Chunk = std::result::Result<bytes::Bytes, awc::error::PayloadError>;

impl<S: futures_util::Stream<Item = Chunk> + Unpin> Body for S {}

async fn read(call: &Call, mut answer: ClientResponse<impl Body>, arrival: Instant) -> Result {
    let status = answer.status();
    if !status.is_success() {
        let body = answer.body().limit(MAX_BODY).await.unwrap_or_default();
        let error = serde_json::from_slice::<refusal::Body>(&body).ok();
        let code = error.map_or(status.to_string(), |it| it.error.code);
        return Result::refused(&code);
    }
    match call.what {
        What::Model { stream: true, .. } => read_stream(&mut answer, arrival).await,
        _ => match answer.body().limit(MAX_BODY).await {
            Ok(_) => Result::whole(arrival.elapsed(), arrival.elapsed(), 1),
            Err(err) => Result::lost(&err.to_string()),
        },
    }
}

async fn read_stream(answer: &mut ClientResponse<impl Body>, arrival: Instant) -> Result {
    let mut events = Events::default();
    let mut first = None;
    let mut chunks = 0;
    while let Some(bytes) = answer.next().await {
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(err) => return Result::lost(&err.to_string()),
        };
        for event in events.push(&bytes) {
            match event {
                Event::Chunk => {
                    first.get_or_insert_with(|| arrival.elapsed());
                    chunks += 1;
                }
                Event::Error => return Result::lost("error in the stream"),
                Event::Done => {
                    let total = arrival.elapsed();
                    return Result::whole(first.unwrap_or(total), total, chunks);
                }
            }
        }
    }
    Result::lost("the stream ended early")
}
