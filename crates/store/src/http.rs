//! HTTP clients of the platform's services and of model engines.

pub mod call;
mod engine;
pub mod path;
pub mod post;
pub mod transport;

use std::net::SocketAddr;
use std::time::Duration;

use agate_wire::order::{Machine, Order, Receipt};
use agate_wire::platform::{Listing, Report};
use agate_wire::table::{Commit, Conflict, Page, Row, Transaction};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use tokio::time::Instant;

use crate::error::Error;
use crate::interface::{Hosts, Objects, Orders, Reports, ResponseFuture, Tables};
pub use engine::EngineClient;

use call::Response;
use path::encode;
use post::Post;

/// Maximum size of a response body, in bytes: an archived configuration at many times today's size.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Client of the platform at one address. Calls share a pool of connections, except for orders and
/// reports, which open a new connection each time.
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the platform at `address`. The response to each call has to begin within
    /// `timeout`, except for orders and reports, which have deadlines of their own.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: call::client(timeout),
            address,
            timeout,
        }
    }

    /// Returns the URL of a path at the platform's address.
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request and reads the complete response. A GET whose connection was closed for being idle
    /// is sent once more over a new connection, within the same timeout.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response, Error> {
        let expiry = Instant::now() + self.timeout;
        let is_read = method == Method::GET;
        let first = self
            .attempt(&self.http, method.clone(), path, body.clone(), expiry)
            .await;
        match first {
            Err(failure) if failure.is_stale && is_read => {
                let http = call::client(self.timeout);
                let second = self.attempt(&http, method, path, body, expiry).await;
                second.map_err(Error::from)
            }
            outcome => outcome.map_err(Error::from),
        }
    }

    /// Sends a request over a connection of `http` and reads the complete response, which has to begin
    /// until `expiry`.
    async fn attempt(
        &self,
        http: &awc::Client,
        method: Method,
        path: &str,
        body: Bytes,
        expiry: Instant,
    ) -> Result<Response, call::Failure> {
        let request = http
            .request(method, self.url(path))
            .no_decompress()
            .content_type("application/json");
        let timeout = expiry.saturating_duration_since(Instant::now());
        call::exchange(request, body, timeout, MAX_BODY_BYTES, |_| {}).await
    }

    /// Returns the body of the response to a GET; `None` for status 404.
    async fn get_if_present(&self, path: &str) -> Result<Option<Bytes>, Error> {
        let response = self.call(Method::GET, path, Bytes::new()).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !response.is_framed {
            // The HTTP client reads such a body as empty.
            let message = "the body has neither a length nor chunks";
            return Err(Error::Unknown(message.to_owned()));
        }
        response.success().map(Some)
    }
}

impl Tables for Client {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            let path = format!("/tables/{}/rows/{}", encode(table), encode(key));
            match self.get_if_present(&path).await? {
                Some(body) => call::parse(&body).map(Some),
                None => Ok(None),
            }
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        Box::pin(async move {
            let path = format!(
                "/tables/{}/rows?prefix={}&after={}&limit={limit}",
                encode(table),
                encode(prefix),
                encode(after)
            );
            let response = self.call(Method::GET, &path, Bytes::new()).await?;
            call::parse(&response.success()?)
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            let body = call::serialize(transaction)?;
            let response = self
                .call(Method::POST, "/tables/transactions", body)
                .await?;
            if response.status == StatusCode::CONFLICT {
                let conflict: Conflict = call::parse(&response.body)?;
                return Err(Error::Conflict(Box::new(conflict)));
            }
            call::parse(&response.success()?)
        })
    }
}

impl Objects for Client {
    fn get<'a>(&'a self, name: &'a str) -> ResponseFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/objects/{}", encode(name));
            self.get_if_present(&path).await
        })
    }

    fn put<'a>(&'a self, name: &'a str, contents: Bytes) -> ResponseFuture<'a, ()> {
        Box::pin(async move {
            let path = format!("/objects/{}", encode(name));
            let response = self.call(Method::PUT, &path, contents).await?;
            response.success().map(|_| ())
        })
    }
}

impl Orders for Client {
    fn order<'a>(
        &'a self,
        order: &'a Order,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Receipt> {
        Box::pin(async move {
            let post = Post {
                address: self.address,
                path: "/endpoints/orders",
                headers: &[("idempotency-key", order.id.clone())],
                credential: None,
                body: call::serialize(order)?,
            };
            let response = post.send(deadline, may_send).await?;
            if response.status == StatusCode::CONFLICT {
                return call::parse(&response.body);
            }
            call::parse(&response.success()?)
        })
    }

    fn machines(&self) -> ResponseFuture<'_, Vec<Machine>> {
        Box::pin(async move {
            let response = self.call(Method::GET, "/endpoints", Bytes::new()).await?;
            call::parse(&response.success()?)
        })
    }
}

impl Reports for Client {
    fn send<'a>(
        &'a self,
        id: &'a str,
        report: &'a Report,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()> {
        Box::pin(async move {
            let post = Post {
                address: self.address,
                path: "/reports",
                headers: &[("idempotency-key", id.to_owned())],
                credential: None,
                body: call::serialize(report)?,
            };
            let response = post.send(deadline, may_send).await?;
            response.success().map(|_| ())
        })
    }
}

impl Hosts for Client {
    fn list(&self) -> ResponseFuture<'_, Listing> {
        Box::pin(async move {
            let response = self.call(Method::GET, "/hosts", Bytes::new()).await?;
            call::parse(&response.success()?)
        })
    }
}
