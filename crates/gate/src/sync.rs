//! Calls to control processes: configuration in, usage and demand out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_member::seal::{self, Refusal, Sealed};
use agate_member::secret::Secret;
use agate_model::id::HostId;
use agate_wire::sync::{METHOD, Request, Response};
use futures_util::future::LocalBoxFuture;
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use tokio::time::Instant;

use crate::activity::Phase;
use crate::config;
use crate::gate::Gate;

/// Time for one call. A control process that is slower is passed over.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer, in bytes; it holds a whole configuration.
const MAX_ANSWER_BYTES: u32 = 64 << 20;
/// Calls after which all usage is sent again.
const REPEAT_USAGE_CALLS: u64 = 120;

/// Intervals for which pressure counts after it was last signalled.
const PRESSURE_INTERVALS: u32 = 4;

/// Why a call brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer.
    #[error("no answer: {0}")]
    Call(#[from] jsonrpsee::core::ClientError),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer is not sealed with the cluster key.
    #[error(transparent)]
    Seal(#[from] Refusal),
    /// The sealed body is not what was expected.
    #[error("malformed body: {0}")]
    Body(#[from] serde_json::Error),
    /// The answer can't be taken over.
    #[error(transparent)]
    Config(#[from] config::Error),
}

/// Where calls go.
pub trait Steer {
    /// Calls the control process at `address`.
    fn sync(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> LocalBoxFuture<'_, Result<Response, Error>>;
}

/// Calls by JSON-RPC over HTTP, sealed with the cluster key if there is one.
pub struct Rpc {
    own: HostId,
    secret: Option<Secret>,
    clients: RefCell<HashMap<SocketAddr, HttpClient>>,
}

impl Rpc {
    /// Calls in the name of host `own`.
    pub fn new(own: HostId, secret: Option<Secret>) -> Self {
        Self {
            own,
            secret,
            clients: RefCell::default(),
        }
    }

    async fn plain(&self, client: &HttpClient, request: &Request) -> Result<Response, Error> {
        Ok(client.request(METHOD, rpc_params![request]).await?)
    }

    async fn sealed(
        &self,
        client: &HttpClient,
        secret: &Secret,
        request: &Request,
    ) -> Result<Response, Error> {
        let body = serde_json::to_string(request)?;
        let sealed = seal::request(secret, METHOD, &self.own, SystemTime::now(), body);
        let answer: Sealed = client.request(METHOD, rpc_params![&sealed]).await?;
        let body = seal::open_response(secret, METHOD, &sealed, &answer)?;
        Ok(serde_json::from_str(body)?)
    }

    fn client(&self, address: SocketAddr) -> Result<HttpClient, Error> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_response_size(MAX_ANSWER_BYTES)
            .request_timeout(CALL_TIMEOUT)
            .build(format!("http://{address}"))?;
        self.clients.borrow_mut().insert(address, client.clone());
        Ok(client)
    }
}

impl Steer for Rpc {
    fn sync(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> LocalBoxFuture<'_, Result<Response, Error>> {
        Box::pin(async move {
            let client = self.client(address)?;
            let call = async {
                match &self.secret {
                    Some(secret) => self.sealed(&client, secret, &request).await,
                    None => self.plain(&client, &request).await,
                }
            };
            let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
            answer.map_err(|_| Error::Timeout)?
        })
    }
}

/// The sync task of a gate.
pub struct Syncer {
    gate: Rc<Gate>,
    steer: Rc<dyn Steer>,
    last: Option<SocketAddr>,
    calls: u64,
    failing: bool,
}

impl Syncer {
    /// A task that has not called yet.
    pub fn new(gate: Rc<Gate>, steer: Rc<dyn Steer>) -> Self {
        Self {
            gate,
            steer,
            last: None,
            calls: 0,
            failing: false,
        }
    }

    /// Calls at the configured interval, until the task is dropped.
    pub async fn run(&mut self) {
        let mut interval = tokio::time::interval(self.gate.settings.sync_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.round().await;
        }
    }

    /// Calls the control processes in turn until one answers. Returns whether one did.
    pub async fn round(&mut self) -> bool {
        self.calls += 1;
        if self.calls.is_multiple_of(REPEAT_USAGE_CALLS) {
            self.gate.usage.borrow_mut().mark_all_changed();
        }
        for address in self.addresses() {
            match self.call(address).await {
                Ok(()) => {
                    self.note_success(address);
                    return true;
                }
                Err(err) => self.note_failure(address, &err),
            }
        }
        self.failing = true;
        false
    }

    /// Own host first, then the others that are configured, then peers.
    fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.gate.settings.steer.clone();
        for peer in self.gate.config.borrow().peers() {
            if !addresses.contains(peer) {
                addresses.push(*peer);
            }
        }
        addresses
    }

    async fn call(&mut self, address: SocketAddr) -> Result<(), Error> {
        if self.last != Some(address) {
            // This control process may not have what another one acknowledged.
            self.gate.usage.borrow_mut().mark_all_changed();
        }
        let request = self.request();
        let usage = request.usage.clone();
        let sent = Instant::now();
        let response = self.steer.sync(address, request).await?;
        self.gate.usage.borrow_mut().acknowledge(&usage);
        self.last = Some(address);
        self.take(response, sent)
    }

    fn request(&self) -> Request {
        let config = self.gate.config.borrow();
        Request {
            host: self.gate.settings.host.clone(),
            incarnation: self.gate.incarnation.clone(),
            version: config.version(),
            endpoint_revision: config.endpoint_revision(),
            usage: self.gate.usage.borrow().changed(),
            demand: self.gate.admission.demand(),
            pressure: self.gate.admission.pressure(),
            leaving: self.gate.activity.phase() != Phase::Serving,
        }
    }

    fn take(&self, response: Response, sent: Instant) -> Result<(), Error> {
        let hosts = self.gate.config.borrow().live_hosts();
        let changed = self.gate.config.borrow_mut().apply(response, sent)?;
        let config = self.gate.config.borrow();
        if changed || hosts != config.live_hosts() {
            let view = config.view();
            self.gate.choice.configure(&view, config.live_hosts());
            self.gate.admission.configure(view);
        }
        self.gate.admission.wake();
        let validity = self.gate.settings.sync_interval * PRESSURE_INTERVALS;
        self.gate
            .admission
            .apply_pressure(config.pressure(), validity);
        if changed {
            tracing::info!(
                event = "config_applied",
                version = config.version(),
                endpoint_revision = config.endpoint_revision(),
            );
        }
        Ok(())
    }

    fn note_success(&mut self, address: SocketAddr) {
        if self.failing {
            tracing::info!(event = "sync_recovered", %address);
        }
        self.failing = false;
    }

    fn note_failure(&self, address: SocketAddr, err: &Error) {
        self.gate.metrics.sync_failed();
        if !self.failing {
            tracing::warn!(event = "sync_failed", %address, error = %err);
        }
    }
}
