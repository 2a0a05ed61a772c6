//! Client for calls to peers, which are sealed with the cluster key.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_member::seal::{self, Refusal, Sealed};
use agate_member::secret::Secret;
use agate_model::id::HostId;
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::metrics::{Label, Metrics};
use crate::rpc::server::MESSAGE_BYTES;

/// Maximum number of clients kept. At the limit all are dropped and opened again on demand.
const CLIENT_LIMIT: usize = 512;

/// Reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer is unreachable, did not respond in time, or responded with an error.
    #[error("{0}")]
    Call(String),
    /// The response's seal is invalid, so that it isn't from a peer.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The request can't be serialized, or the response's body can't be parsed.
    #[error("malformed body: {0}")]
    Body(#[from] serde_json::Error),
}

/// HTTP clients for peers by address, opened on the first call.
pub struct Peers {
    own: HostId,
    secret: Secret,
    timeout: Duration,
    clients: RefCell<HashMap<SocketAddr, HttpClient>>,
    metrics: Rc<Metrics>,
}

impl Peers {
    /// Creates an empty set of clients. `own` is named as the sender of calls, and `timeout`
    /// applies to each call.
    pub fn new(own: HostId, secret: Secret, timeout: Duration, metrics: Rc<Metrics>) -> Self {
        Self {
            own,
            secret,
            timeout,
            clients: RefCell::default(),
            metrics,
        }
    }

    /// Calls a method of a peer and returns the body of its response. Failures are counted by
    /// method.
    pub async fn call<B, A>(&self, peer: SocketAddr, method: &str, body: &B) -> Result<A, Error>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let outcome = self.try_call(peer, method, body).await;
        if outcome.is_err() {
            let label = Label::new(method);
            self.metrics.peer_failures.get_or_create(&label).inc();
        }
        outcome
    }

    async fn try_call<B, A>(&self, peer: SocketAddr, method: &str, body: &B) -> Result<A, Error>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_string(body)?;
        let request = seal::request(&self.secret, method, &self.own, SystemTime::now(), body);
        let client = self.client(peer)?;
        let response: Sealed = client
            .request(method, rpc_params![&request])
            .await
            .map_err(|err| Error::Call(err.to_string()))?;
        let body = seal::open_response(&self.secret, method, &request, &response)?;
        Ok(serde_json::from_str(body)?)
    }

    fn client(&self, peer: SocketAddr) -> Result<HttpClient, Error> {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(&peer) {
            return Ok(client.clone());
        }
        if clients.len() >= CLIENT_LIMIT {
            clients.clear();
        }
        let client = HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .max_response_size(MESSAGE_BYTES)
            .max_request_size(MESSAGE_BYTES)
            .build(format!("http://{peer}"))
            .map_err(|err| Error::Call(err.to_string()))?;
        clients.insert(peer, client.clone());
        Ok(client)
    }
}
