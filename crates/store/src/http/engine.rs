//! HTTP client of model engines.

use std::time::Duration;

use agate_model::endpoint::Endpoint;
use agate_wire::engine::{self, Fenced, Load};
use awc::http::StatusCode;
use bytes::Bytes;

use super::call;
use super::post::Post;
use crate::error::Error;
use crate::interface::{Engines, ResponseFuture};

/// Client of all model engines; each call names the engine.
pub struct EngineClient {
    http: awc::Client,
    timeout: Duration,
}

impl EngineClient {
    /// Creates a client. `timeout` bounds each request for an engine's load; orders have deadlines
    /// of their own.
    pub fn new(timeout: Duration) -> Self {
        Self {
            http: call::client(timeout),
            timeout,
        }
    }
}

impl Engines for EngineClient {
    fn load<'a>(&'a self, engine: &'a Endpoint) -> ResponseFuture<'a, Load> {
        Box::pin(async move {
            let url = format!("http://{}/load", engine.address);
            let mut request = self.http.get(url).no_decompress().timeout(self.timeout);
            if let Some(credential) = &engine.credential {
                request = request.bearer_auth(credential);
            }
            let exchange = call::send(request, Bytes::new());
            match tokio::time::timeout(self.timeout, exchange).await {
                Ok(response) => call::parse(&response?.success()?),
                Err(_) => Err(Error::Unknown("timeout".to_owned())),
            }
        })
    }

    fn order<'a>(
        &'a self,
        engine: &'a Endpoint,
        order: &'a engine::Order,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Result<(), Fenced>> {
        Box::pin(async move {
            let post = Post {
                address: engine.address,
                path: "/orders",
                headers: &[("idempotency-key", order.id.clone())],
                credential: engine.credential.as_deref(),
                body: call::serialize(order)?,
            };
            let response = post.send(deadline, may_send).await?;
            if response.status == StatusCode::CONFLICT {
                return call::parse(&response.body).map(Err);
            }
            response.success().map(|_| Ok(()))
        })
    }
}
