//! Sends one request over HTTP and reads its response.

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
use super::plan::{Call, RequestKind};
use super::record::Outcome;
use super::stream::{Event, Events};
use super::targets::Targets;

/// Largest body of a plain or an error response, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client that sends the requests of a plan.
pub(super) struct Caller {
    targets: Targets,
    route: Route,
    client: awc::Client,
    /// Number of requests built so far; part of their ids.
    sequence: Cell<u64>,
    /// Random number in request ids and idempotency keys, so that they differ between processes.
    nonce: u64,
}

impl Caller {
    /// Returns a caller that follows no redirects and sets no timeout but that for connecting.
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
            nonce: rand::random(),
        }
    }

    /// Sends a request of a call and returns its outcome, which is a failure after the deadline.
    pub(super) async fn call(&self, call: &Call) -> Outcome {
        let arrival = Instant::now();
        let response = self.send(call, arrival);
        match tokio::time::timeout(call.deadline, response).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::failed("deadline"),
        }
    }

    /// Sends the request to the first address that accepts a connection. It is not sent again
    /// once a connection was established.
    async fn send(&self, call: &Call, arrival: Instant) -> Outcome {
        let mut fault = "no address".to_owned();
        for address in self.targets.addresses(call).await {
            let (request, body) = self.request(call, address);
            match request.send_body(body).await {
                Ok(response) => return read(call, response, arrival).await,
                Err(SendRequestError::Connect(ConnectError::Io(err))) => fault = err.to_string(),
                Err(SendRequestError::Connect(ConnectError::Timeout)) => fault = "connect".into(),
                Err(err) => return Outcome::failed(&err.to_string()),
            }
        }
        Outcome::failed(&fault)
    }

    /// Returns the request of a call to an address, and its body.
    fn request(&self, call: &Call, address: SocketAddr) -> (ClientRequest, String) {
        let (method, path, body) = match &call.what {
            RequestKind::Model {
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
                let body = serde_json::to_string(&completion)
                    .expect("a completion can be encoded as JSON");
                (Method::POST, "/v1/chat/completions", body)
            }
            RequestKind::Plain {
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

    /// Adds the headers of a call; endpoints get no key and no class but a request id.
    fn headers(&self, call: &Call, mut request: ClientRequest) -> ClientRequest {
        let number = self.sequence.get() + 1;
        self.sequence.set(number);
        request = request.insert_header(("content-type", "application/json"));
        if let RequestKind::Plain {
            idempotency_key: true,
            ..
        } = call.what
        {
            request = request.insert_header((
                "idempotency-key",
                format!("load-{:016x}-{number}", self.nonce),
            ));
        }
        if self.route == Route::Endpoints {
            return request
                .insert_header(("x-request-id", format!("load-{:016x}-{number}", self.nonce)));
        }
        if call.send_class {
            request = request.insert_header(("x-agate-class", call.class.clone()));
        }
        if let Some(key) = &call.key {
            request = request.insert_header(("authorization", format!("Bearer {key}")));
        }
        request
    }

    /// Returns a prompt of a number of words that depends on the requests sent so far.
    fn prompt(&self, words: usize) -> String {
        let first = self.sequence.get();
        let word = |n: usize| format!("w{}", first.wrapping_add(n as u64) % 10_007);
        (0..words).map(word).collect::<Vec<_>>().join(" ")
    }
}

/// Byte stream of a response body.
trait Body: futures_util::Stream<Item = Chunk> + Unpin {}

/// Piece of a response body as it arrives.
type Chunk = std::result::Result<bytes::Bytes, awc::error::PayloadError>;

impl<S: futures_util::Stream<Item = Chunk> + Unpin> Body for S {}

/// Reads a response to its end. The code of a refusal is that of its error body, or the status.
async fn read(call: &Call, mut response: ClientResponse<impl Body>, arrival: Instant) -> Outcome {
    let status = response.status();
    if !status.is_success() {
        let body = response.body().limit(MAX_BODY).await.unwrap_or_default();
        let error = serde_json::from_slice::<refusal::Body>(&body).ok();
        let code = error.map_or(status.to_string(), |body| body.error.code);
        return Outcome::refused(&code);
    }
    match call.what {
        RequestKind::Model { stream: true, .. } => read_stream(&mut response, arrival).await,
        _ => match response.body().limit(MAX_BODY).await {
            Ok(_) => Outcome::completed(arrival.elapsed(), arrival.elapsed(), 1),
            Err(err) => Outcome::failed(&err.to_string()),
        },
    }
}

/// Reads a streamed response up to its last event.
async fn read_stream(response: &mut ClientResponse<impl Body>, arrival: Instant) -> Outcome {
    let mut events = Events::default();
    let mut first_token = None;
    let mut chunks = 0;
    while let Some(bytes) = response.next().await {
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(err) => return Outcome::failed(&err.to_string()),
        };
        for event in events.push(&bytes) {
            match event {
                Event::Chunk => {
                    first_token.get_or_insert_with(|| arrival.elapsed());
                    chunks += 1;
                }
                Event::Error => return Outcome::failed("error in the stream"),
                Event::Done => {
                    let total = arrival.elapsed();
                    return Outcome::completed(first_token.unwrap_or(total), total, chunks);
                }
            }
        }
    }
    Outcome::failed("the stream ended early")
}
