//! Calls to control processes, which fetch configuration and report usage and demand.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_member::seal::{self, Refusal, Sealed};
use agate_member::secret::Secret;
use agate_model::id::HostId;
use agate_wire::permit::{self, Question, Reply};
use agate_wire::sync::{self, Request, Response};
use futures_util::future::LocalBoxFuture;
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::activity::Phase;
use crate::config;
use crate::gate::Gate;

/// Timeout of one call. After it the next control process is called.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response in bytes. A response may hold a complete configuration.
const MAX_RESPONSE_BYTES: u32 = 64 << 20;
/// Number of rounds after which all usage counters are sent again, also acknowledged ones.
const RESEND_USAGE_ROUNDS: u64 = 120;
/// Number of sync intervals for which pressure stays valid after it was last signalled.
const PRESSURE_INTERVALS: u32 = 4;

/// Reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The control process is unreachable, or returned an error or a malformed response.
    #[error("call to control process failed: {0}")]
    Call(#[from] jsonrpsee::core::ClientError),
    /// No response arrived within the timeout of a call.
    #[error("no response from control process within the call timeout")]
    Timeout,
    /// The response is sealed with another cluster key, or belongs to another request.
    #[error(transparent)]
    Seal(#[from] Refusal),
    /// The body of a sealed request or response is not the expected JSON.
    #[error("malformed body in sealed message: {0}")]
    Body(#[from] serde_json::Error),
    /// The update in the response can't be applied.
    #[error(transparent)]
    Config(#[from] config::Error),
}

/// Client for control processes.
pub trait Steer {
    /// Sends `request` to the control process at `address` and returns its response.
    fn sync(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> LocalBoxFuture<'_, Result<Response, Error>>;

    /// Asks the control process at `address` for permits, and returns its reply.
    fn permits(
        &self,
        address: SocketAddr,
        question: Question,
    ) -> LocalBoxFuture<'_, Result<Reply, Error>>;
}

/// Client that uses JSON-RPC over HTTP and seals messages with the cluster key if there is one. It
/// keeps one HTTP client for each address.
pub struct Rpc {
    host: HostId,
    secret: Option<Secret>,
    clients: RefCell<HashMap<SocketAddr, HttpClient>>,
}

impl Rpc {
    /// Creates a client for calls from `host`. Without `secret` calls are not sealed.
    pub fn new(host: HostId, secret: Option<Secret>) -> Self {
        Self {
            host,
            secret,
            clients: RefCell::default(),
        }
    }

    async fn call<B, A>(&self, address: SocketAddr, method: &str, body: &B) -> Result<A, Error>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let client = self.client(address)?;
        let call = async {
            let Some(secret) = &self.secret else {
                return Ok(client.request(method, rpc_params![body]).await?);
            };
            let body = serde_json::to_string(body)?;
            let sealed = seal::request(secret, method, &self.host, SystemTime::now(), body);
            let response: Sealed = client.request(method, rpc_params![&sealed]).await?;
            let body = seal::open_response(secret, method, &sealed, &response)?;
            Ok(serde_json::from_str(body)?)
        };
        let response = tokio::time::timeout(CALL_TIMEOUT, call).await;
        response.map_err(|_| Error::Timeout)?
    }

    /// Returns the client for `address`, which is created on first use.
    fn client(&self, address: SocketAddr) -> Result<HttpClient, Error> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_response_size(MAX_RESPONSE_BYTES)
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
        Box::pin(async move { self.call(address, sync::METHOD, &request).await })
    }

    fn permits(
        &self,
        address: SocketAddr,
        question: Question,
    ) -> LocalBoxFuture<'_, Result<Reply, Error>> {
        Box::pin(async move { self.call(address, permit::METHOD, &question).await })
    }
}

/// Task that keeps a gate in sync with a control process.
pub struct Syncer {
    gate: Rc<Gate>,
    steer: Rc<dyn Steer>,
    /// Control process that acknowledged usage last. It has received all usage that is marked as
    /// acknowledged.
    last: Option<SocketAddr>,
    /// Number of rounds so far.
    rounds: u64,
    /// Whether no call succeeded in the latest round. Further failures are then not logged.
    failing: bool,
}

impl Syncer {
    /// Creates the task. It makes no call before [`Syncer::run`] or [`Syncer::round`].
    pub fn new(gate: Rc<Gate>, steer: Rc<dyn Steer>) -> Self {
        Self {
            gate,
            steer,
            last: None,
            rounds: 0,
            failing: false,
        }
    }

    /// Runs a round at each sync interval, until the future is dropped.
    pub async fn run(&mut self) {
        let mut interval = tokio::time::interval(self.gate.settings.sync_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.round().await;
        }
    }

    /// Calls the control processes in order until a call succeeds, and returns whether one did.
    pub async fn round(&mut self) -> bool {
        self.rounds += 1;
        if self.rounds.is_multiple_of(RESEND_USAGE_ROUNDS) {
            self.gate.usage.borrow_mut().mark_all_changed();
        }
        for address in self.gate.control_processes() {
            match self.call(address).await {
                Ok(()) => {
                    self.record_success(address);
                    return true;
                }
                Err(err) => self.record_failure(address, &err),
            }
        }
        self.failing = true;
        false
    }

    /// Calls one control process and applies its response.
    async fn call(&mut self, address: SocketAddr) -> Result<(), Error> {
        if self.last != Some(address) {
            // This control process may not have the usage that another one acknowledged.
            self.gate.usage.borrow_mut().mark_all_changed();
        }
        let request = self.request();
        let usage = request.usage.clone();
        let sent = Instant::now();
        let response = self.steer.sync(address, request).await?;
        self.gate.usage.borrow_mut().acknowledge(&usage);
        self.last = Some(address);
        self.apply(response, sent)
    }

    /// Builds a request with the state of the gate and its unacknowledged usage.
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
            limits: self.gate.choice.limits(),
            leaving: self.gate.activity.phase() != Phase::Serving,
        }
    }

    /// Applies a response, and passes changes on to admission and the choice of endpoints.
    fn apply(&self, response: Response, sent: Instant) -> Result<(), Error> {
        self.gate.choice.apply_limits(&response.limits);
        let live_hosts = self.gate.config.borrow().live_hosts();
        let changed = self.gate.config.borrow_mut().apply(response, sent)?;
        let config = self.gate.config.borrow();
        if changed || live_hosts != config.live_hosts() {
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

    /// Logs the first success after failures.
    fn record_success(&mut self, address: SocketAddr) {
        if self.failing {
            tracing::info!(event = "sync_recovered", %address);
        }
        self.failing = false;
    }

    /// Counts a failed call, and logs it unless the previous round failed as well.
    fn record_failure(&self, address: SocketAddr, err: &Error) {
        self.gate.metrics.sync_failed();
        if !self.failing {
            tracing::warn!(event = "sync_failed", %address, error = %err);
        }
    }
}
