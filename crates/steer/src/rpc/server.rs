//! JSON-RPC server. Its handlers run on any thread and pass each call through a channel to
//! the thread that holds the state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;

use agate_member::secret::Secret;
use agate_member::token::{self, Sealed};
use agate_model::id::HostId;
use agate_wire::sync;
use futures_util::future::LocalBoxFuture;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::{Label, Metrics};

/// Largest request or answer, in bytes.
pub const MESSAGE_BYTES: u32 = 64 << 20;

/// Calls waiting for the state's thread.
const QUEUE_CALLS: usize = 1024;

const CONNECTION_LIMIT: u32 = 4096;

const CODE_REFUSED: i32 = -32001;
const CODE_FAILED: i32 = -32002;

/// Why a handler did not answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

/// Answers one method. Bodies are JSON.
pub trait Handler {
    /// Answers a call of `sender`, which is empty for an unsealed call.
    fn handle(&self, sender: HostId, body: String) -> LocalBoxFuture<'_, Result<String, Failure>>;
}

/// Handlers by method.
pub type Handlers = BTreeMap<&'static str, Rc<dyn Handler>>;

/// A call on its way to the state's thread.
struct Call {
    method: &'static str,
    param: Value,
    answer: oneshot::Sender<Result<Value, ErrorObjectOwned>>,
}

/// A running server.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
    calls: Option<mpsc::Receiver<Call>>,
}

/// What the dispatcher needs.
#[derive(Clone)]
pub struct Dispatch {
    /// This host.
    pub own: HostId,
    /// Cluster key.
    pub secret: Secret,
    /// Whether gates must seal their calls.
    pub require_token: bool,
    /// Handlers.
    pub handlers: Rc<Handlers>,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

impl Server {
    /// Listens for the methods.
    pub async fn bind(
        address: SocketAddr,
        methods: impl IntoIterator<Item = &'static str>,
    ) -> std::io::Result<Self> {
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(CONNECTION_LIMIT)
            .max_request_body_size(MESSAGE_BYTES)
            .max_response_body_size(MESSAGE_BYTES)
            .set_tcp_no_delay(true)
            .build();
        let server = ServerBuilder::new()
            .set_config(config)
            .build(address)
            .await?;
        let address = server.local_addr()?;
        let (sender, calls) = mpsc::channel(QUEUE_CALLS);
        let mut module = RpcModule::new(sender);
        for method in methods {
            register(&mut module, method);
        }
        Ok(Self {
            address,
            handle: server.start(module),
            calls: Some(calls),
        })
    }

    /// Answers calls until the server is closed.
    pub fn serve(&mut self, dispatch: Dispatch) -> actix_rt::task::JoinHandle<()> {
        let calls = self.calls.take().expect("a server is served once");
        actix_rt::spawn(run(calls, dispatch))
    }

    /// Stops listening and waits for running calls.
    pub async fn close(self) {
        if self.handle.stop().is_ok() {
            self.handle.stopped().await;
        }
    }
}

fn register(module: &mut RpcModule<mpsc::Sender<Call>>, method: &'static str) {
    let callback = move |params: jsonrpsee::types::Params<'static>,
                         calls: std::sync::Arc<mpsc::Sender<Call>>,
                         _: jsonrpsee::Extensions| async move {
        let param: Value = params.one()?;
        let (answer, answered) = oneshot::channel();
        let call = Call {
            method,
            param,
            answer,
        };
        let overloaded = || failed("overloaded");
        calls.try_send(call).map_err(|_| overloaded())?;
        answered.await.map_err(|_| overloaded())?
    };
    module
        .register_async_method(method, callback)
        .expect("each method is registered once");
}

fn failed(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(CODE_FAILED, message, None::<()>)
}

fn refused(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(CODE_REFUSED, message, None::<()>)
}

async fn run(mut calls: mpsc::Receiver<Call>, dispatch: Dispatch) {
    while let Some(call) = calls.recv().await {
        let dispatch = dispatch.clone();
        actix_rt::spawn(async move {
            let outcome = dispatch.call(call.method, call.param).await;
            let _ = call.answer.send(outcome);
        });
    }
}

impl Dispatch {
    async fn call(&self, method: &'static str, param: Value) -> Result<Value, ErrorObjectOwned> {
        match serde_json::from_value::<Sealed>(param.clone()) {
            Ok(request) => self.sealed(method, &request).await,
            Err(_) if method == sync::METHOD && !self.require_token => {
                self.plain(method, &param).await
            }
            Err(_) => {
                self.count("not_sealed");
                Err(refused("calls need the cluster key's seal"))
            }
        }
    }

    async fn sealed(
        &self,
        method: &'static str,
        request: &Sealed,
    ) -> Result<Value, ErrorObjectOwned> {
        let now = SystemTime::now();
        let body = token::open_request(&self.secret, method, request, now).map_err(|err| {
            self.count("refused");
            refused(&err.to_string())
        })?;
        let body = self
            .run(method, request.sender.clone(), body.to_owned())
            .await?;
        let now = SystemTime::now();
        let answer = token::answer(&self.secret, method, request, &self.own, now, body);
        serde_json::to_value(answer).map_err(|err| failed(&err.to_string()))
    }

    async fn plain(&self, method: &'static str, param: &Value) -> Result<Value, ErrorObjectOwned> {
        let body = self.run(method, HostId::new(), param.to_string()).await?;
        serde_json::from_str(&body).map_err(|err| failed(&err.to_string()))
    }

    async fn run(
        &self,
        method: &'static str,
        sender: HostId,
        body: String,
    ) -> Result<String, ErrorObjectOwned> {
        let Some(handler) = self.handlers.get(method) else {
            return Err(failed("no handler"));
        };
        self.count(method);
        let outcome = handler.handle(sender, body).await;
        outcome.map_err(|err| {
            self.count("failed");
            failed(&err.0)
        })
    }

    fn count(&self, code: &str) {
        self.metrics
            .rpc_calls
            .get_or_create(&Label::new(code))
            .inc();
    }
}
