//! Calls to another host of the zone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::channel::{self, Exchange, Outgoing};

/// Longest time to reach another host of the zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time of an answer beside the wait that it was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// A host that failed is not asked again for this long.
const REST: Duration = Duration::from_secs(2);

/// Why there is no answer of another host.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no host to ask, or it has just failed.
    #[error("no reader")]
    NoReader,
    /// The connection failed.
    #[error(transparent)]
    Channel(#[from] channel::Error),
    /// The answer took too long.
    #[error("timeout")]
    Timeout,
    /// The host has nothing to tell.
    #[error("status {0}")]
    Refused(StatusCode),
    /// The answer can't be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// What the host tells is too old.
    #[error("{0:?} old")]
    Old(Duration),
}

/// A question to another host.
pub struct Question {
    /// Method.
    pub method: Method,
    /// Path.
    pub target: String,
    /// Body.
    pub body: Bytes,
    /// How long the host may wait before it answers.
    pub wait: Duration,
}

/// A connection that is kept between calls, to one of several hosts.
#[derive(Default)]
pub struct Link {
    stream: Cell<Option<(SocketAddr, TcpStream)>>,
    /// Until when hosts that failed are not asked.
    resting: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Link {
    /// The first of the hosts that has not failed a short while ago.
    pub fn pick(&self, hosts: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut resting = self.resting.borrow_mut();
        resting.retain(|_, until| *until > now);
        let found = hosts.iter().find(|it| !resting.contains_key(it));
        found.copied()
    }

    /// Does not ask a host for a while: its answers are of no use.
    pub fn rest(&self, host: SocketAddr) {
        let until = Instant::now() + REST;
        self.resting.borrow_mut().insert(host, until);
    }

    /// Asks the host at `address`.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        question: Question,
    ) -> Result<T, Error> {
        let answer = self.call(address, question).await;
        if answer.is_err() {
            self.rest(address);
        }
        let body = answer?;
        serde_json::from_slice(&body).map_err(|err| Error::Malformed(err.to_string()))
    }

    async fn call(&self, address: SocketAddr, question: Question) -> Result<Bytes, Error> {
        let kept = self.stream.take().filter(|(known, _)| *known == address);
        let stream = match kept {
            Some((_, stream)) => stream,
            None => channel::connect(address, CONNECT_TIMEOUT).await?,
        };
        let limit = question.wait + ANSWER_TIMEOUT;
        let (stream, body) = match timeout(limit, exchange(stream, question)).await {
            Ok(whole) => whole?,
            Err(_) => return Err(Error::Timeout),
        };
        self.stream.set(stream.map(|it| (address, it)));
        Ok(body)
    }
}

async fn exchange(
    stream: TcpStream,
    question: Question,
) -> Result<(Option<TcpStream>, Bytes), Error> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("relay"));
    let outgoing = Outgoing {
        method: question.method,
        target: question.target,
        headers,
        body: question.body,
    };
    let (mut exchange, head) = Exchange::start(stream, outgoing, &|_| true).await?;
    let mut body = BytesMut::new();
    while let Some(bytes) = exchange.next().await? {
        body.extend_from_slice(&bytes);
    }
    if head.status != StatusCode::OK {
        return Err(Error::Refused(head.status));
    }
    Ok((exchange.into_stream(), body.freeze()))
}
