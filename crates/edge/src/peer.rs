//! Calls to the relay interface of other hosts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use agate_model::id::Era;
use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::client::{self, Exchange, Outgoing};

/// Timeout for connecting to another host of the zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the head of a response on top of the wait that the request allows.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest pause between two pieces of a body: a lost packet is sent again twice within it.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Lowest rate of a body in bytes per second, a twentieth of the thinnest link. A body that takes longer
/// than this and [`RESPONSE_TIMEOUT`] is given up, since another reader is likely to be faster.
const MIN_RATE: f64 = 64_000.0;
/// Time for which a host that failed is not called again.
const BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a host that can't reach the store, or does not have what is wanted, is not called
/// again. It is short, since that host serves its whole zone as soon as it can.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(500);

/// Time after a back-off within which other hosts are preferred to the one that failed.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Bytes of the response of another host: all rows of the largest table several times.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Status of the response of a host that can't reach the store.
pub const OUTAGE_STATUS: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Number of readers that a host calls before it turns to the store itself.
pub const MAX_READERS: usize = 3;

/// Why a call to another host failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no host to call, or all of them failed recently.
    #[error("no reader is available")]
    NoReader,
    /// The connection could not be opened or failed.
    #[error(transparent)]
    Transport(#[from] client::Error),
    /// The response did not begin in time, or its bytes came too slowly.
    #[error("no response in time")]
    Timeout,
    /// The host responded with a status other than 200.
    #[error("status {0}, expected 200")]
    Refused(StatusCode),
    /// The body of the response can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The other host has not noticed yet that the store has returned from an older copy. Holds the era of its
    /// data.
    #[error("the data of the response is of era {0} of the store, which has returned since")]
    EarlierEra(Era),
    /// The data in the response is older than the caller accepts.
    #[error("the data of the response is {0:?} old")]
    Stale(Duration),
}

impl Error {
    /// Returns whether the other host stated that it can't reach the store.
    pub fn is_outage(&self) -> bool {
        matches!(self, Error::Refused(status) if *status == OUTAGE_STATUS)
    }
}

/// A request to another host.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body of the request, empty if there is none.
    pub body: Bytes,
    /// How long the host may wait before it responds, as in a long poll.
    pub wait: Duration,
}

/// Calls one of several hosts and keeps the connection to the last one between calls.
#[derive(Default)]
pub struct Client {
    /// Idle connection and the address to which it was opened.
    stream: Cell<Option<(SocketAddr, TcpStream)>>,
    /// Bytes of the body of the current or last response that were received so far.
    received: Cell<usize>,
    /// Hosts that failed, with the time until which they are not called.
    backoffs: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Client {
    /// Returns the first of the hosts that did not fail recently; if all did, the one that may be
    /// called again for the longest time. So each is called before one that failed is called again.
    pub fn first_available(&self, hosts: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut backoffs = self.backoffs.borrow_mut();
        backoffs.retain(|_, until| *until + FAILURE_MEMORY > now);
        let untried = hosts.iter().find(|host| !backoffs.contains_key(host));
        let retried = || {
            let over = hosts.iter().filter(|host| backoffs[host] <= now);
            over.min_by_key(|host| backoffs[host])
        };
        untried.or_else(retried).copied()
    }

    /// Excludes a host from calls for a while, since it failed or its responses are of no use.
    pub fn back_off(&self, host: SocketAddr, error: &Error) {
        let time = match error {
            Error::Refused(_) | Error::Stale(_) | Error::EarlierEra(_) => UNAVAILABLE_BACKOFF,
            _ => BACKOFF,
        };
        let until = Instant::now() + time;
        self.backoffs.borrow_mut().insert(host, until);
    }

    /// Calls the host at `address` and decodes the JSON body of its response. An error excludes the
    /// host for a while.
    pub async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<T, Error> {
        let response = self.send(address, request).await;
        if let Err(err) = &response {
            self.back_off(address, err);
        }
        let body = response?;
        serde_json::from_slice(&body).map_err(|err| Error::Malformed(err.to_string()))
    }

    /// Returns how many bytes of the body of the current or last response were received so far.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    async fn send(&self, address: SocketAddr, request: Request) -> Result<Bytes, Error> {
        self.received.set(0);
        let idle = self.stream.take().filter(|(known, _)| *known == address);
        let stream = match idle {
            Some((_, stream)) => stream,
            None => client::connect(address, CONNECT_TIMEOUT).await?,
        };
        let (stream, body) = exchange(stream, request, &self.received).await?;
        self.stream.set(stream.map(|stream| (address, stream)));
        Ok(body)
    }
}

/// Sends a request and reads the response for as long as its bytes keep coming.
async fn exchange(
    stream: TcpStream,
    request: Request,
    received: &Cell<usize>,
) -> Result<(Option<TcpStream>, Bytes), Error> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("relay"));
    let outgoing = Outgoing {
        method: request.method,
        target: request.target,
        headers,
        body: request.body,
    };
    let start = Exchange::start(stream, outgoing, &|_| true);
    let limit = request.wait + RESPONSE_TIMEOUT;
    let start = timeout(limit, start).await;
    let (mut exchange, head) = start.map_err(|_| Error::Timeout)??;
    let begun = Instant::now();
    let mut body = BytesMut::new();
    loop {
        let allowed = RESPONSE_TIMEOUT + Duration::from_secs_f64(body.len() as f64 / MIN_RATE);
        let until = (begun + allowed).min(Instant::now() + MAX_PAUSE);
        let next = timeout_at(until, exchange.next()).await;
        let Some(bytes) = next.map_err(|_| Error::Timeout)?? else {
            break;
        };
        body.extend_from_slice(&bytes);
        received.set(body.len());
        if body.len() > MAX_BODY_BYTES {
            let (part, limit) = ("peer_body", MAX_BODY_BYTES);
            return Err(client::Error::Endless { part, limit }.into());
        }
    }
    if head.status != StatusCode::OK {
        return Err(Error::Refused(head.status));
    }
    Ok((exchange.into_stream(), body.freeze()))
}
