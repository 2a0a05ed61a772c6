//! JSON-RPC server. Its callbacks run on any thread and send each call through a channel to the
//! thread that holds the state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_member::seal::{self, Sealed};
use agate_member::secret::Secret;
use agate_model::id::HostId;
use agate_wire::{permit, sync};
use futures_util::future::LocalBoxFuture;
use jsonrpsee::server::{
    ServerBuilder, ServerConfig, ServerHandle, StopHandle, serve_with_graceful_shutdown,
    stop_channel,
};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{Methods, RpcModule};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::metrics::{Label, Metrics};

/// Largest request or response, in bytes.
pub const MESSAGE_BYTES: u32 = 64 << 20;

/// Capacity of the queue of calls for the state's thread; calls beyond it fail as overloaded.
const QUEUE_CALLS: usize = 1024;

/// Maximum number of open connections.
const CONNECTION_LIMIT: u32 = 4096;

/// Pause after a failed accept, so that a lasting error doesn't cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Methods that the gate of this host may call without a seal.
const OWN_GATE_METHODS: [&str; 2] = [sync::METHOD, permit::METHOD];

/// JSON-RPC error code of a call that is not, or not validly, sealed.
const CODE_REFUSED: i32 = -32001;
/// JSON-RPC error code of a call whose handler failed or couldn't be reached.
const CODE_FAILED: i32 = -32002;

/// Message of a handler's error, which is returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Failure(pub String);

/// Serves one method. Bodies are JSON.
pub trait Handler {
    /// Returns the response's body for a call from `sender`, which is empty for an unsealed call.
    fn handle(&self, sender: HostId, body: String) -> LocalBoxFuture<'_, Result<String, Failure>>;
}

/// Handlers by method name.
pub type Handlers = BTreeMap<&'static str, Rc<dyn Handler>>;

/// Whether a connection comes from this host, judged by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A process on this host, by loopback or by the host's own address.
    Local,
    /// A process on any other host.
    Remote,
}

/// The registered methods for each origin of a connection.
struct Modules {
    local: Methods,
    remote: Methods,
}

/// A call that is queued for the state's thread, with the channel for its response.
struct Call {
    method: &'static str,
    origin: Origin,
    param: Value,
    response: oneshot::Sender<Result<Value, ErrorObjectOwned>>,
}

/// A bound server. It accepts connections at once, and handles calls after [`Server::serve`].
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
    accepting: actix_rt::task::JoinHandle<()>,
    calls: Option<mpsc::Receiver<Call>>,
}

/// Checks the seals of calls and dispatches them to handlers.
#[derive(Clone)]
pub struct Dispatch {
    /// Id of this host, which is named as the sender of responses.
    pub own: HostId,
    /// Cluster key, which seals calls and responses.
    pub secret: Secret,
    /// Whether gates on this host must seal their calls; those on other hosts always must.
    pub require_token: bool,
    /// Handlers of the methods that were bound.
    pub handlers: Rc<Handlers>,
    /// Counters of calls, by method or refusal.
    pub metrics: Rc<Metrics>,
}

impl Server {
    /// Binds `address` and registers the methods. Calls are queued until [`Server::serve`].
    pub async fn bind(
        address: SocketAddr,
        methods: impl IntoIterator<Item = &'static str>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let methods: Vec<&'static str> = methods.into_iter().collect();
        let (sender, calls) = mpsc::channel(QUEUE_CALLS);
        let modules = Modules {
            local: module(&sender, &methods, Origin::Local),
            remote: module(&sender, &methods, Origin::Remote),
        };
        let (stop, handle) = stop_channel();
        let accepting = actix_rt::spawn(accept(listener, modules, stop));
        Ok(Self {
            address,
            handle,
            accepting,
            calls: Some(calls),
        })
    }

    /// Starts a task that handles calls until the server is closed.
    ///
    /// # Panics
    ///
    /// Panics if it is called twice.
    pub fn serve(&mut self, dispatch: Dispatch) -> actix_rt::task::JoinHandle<()> {
        let calls = self.calls.take().expect("serve is called once");
        actix_rt::spawn(run(calls, dispatch))
    }

    /// Stops listening and ends all connections.
    pub async fn close(self) {
        self.accepting.abort();
        let _ = self.handle.stop();
        let _ = self.accepting.await;
    }
}

async fn accept(listener: TcpListener, modules: Modules, stop: StopHandle) {
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTION_LIMIT)
        .max_request_body_size(MESSAGE_BYTES)
        .max_response_body_size(MESSAGE_BYTES)
        .build();
    let builder = ServerBuilder::new().set_config(config).to_service_builder();
    loop {
        let (stream, origin) = match accept_one(&listener).await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!(event = "accept_failed", error = %err);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let methods = match origin {
            Origin::Local => modules.local.clone(),
            Origin::Remote => modules.remote.clone(),
        };
        let service = builder.clone().build(methods, stop.clone());
        let stopped = stop.clone().shutdown();
        tokio::spawn(async move {
            let served = serve_with_graceful_shutdown(stream, service, stopped).await;
            if let Err(err) = served {
                tracing::debug!(event = "rpc_connection_failed", error = %err);
            }
        });
    }
}

async fn accept_one(listener: &TcpListener) -> std::io::Result<(TcpStream, Origin)> {
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    let is_local = peer.ip().is_loopback() || peer.ip() == stream.local_addr()?.ip();
    let origin = if is_local {
        Origin::Local
    } else {
        Origin::Remote
    };
    Ok((stream, origin))
}

fn module(sender: &mpsc::Sender<Call>, methods: &[&'static str], origin: Origin) -> Methods {
    let mut module = RpcModule::new(sender.clone());
    for method in methods {
        register(&mut module, method, origin);
    }
    module.into()
}

fn register(module: &mut RpcModule<mpsc::Sender<Call>>, method: &'static str, origin: Origin) {
    let callback = move |params: jsonrpsee::types::Params<'static>,
                         calls: std::sync::Arc<mpsc::Sender<Call>>,
                         _: jsonrpsee::Extensions| async move {
        let param: Value = params.one()?;
        let (response, received) = oneshot::channel();
        let call = Call {
            method,
            origin,
            param,
            response,
        };
        let overloaded = || failed("overloaded");
        calls.try_send(call).map_err(|_| overloaded())?;
        received.await.map_err(|_| overloaded())?
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
            let outcome = dispatch.call(call.method, call.origin, call.param).await;
            let _ = call.response.send(outcome);
        });
    }
}

impl Dispatch {
    async fn call(
        &self,
        method: &'static str,
        origin: Origin,
        param: Value,
    ) -> Result<Value, ErrorObjectOwned> {
        if let Ok(request) = serde_json::from_value::<Sealed>(param.clone()) {
            return self.sealed(method, &request).await;
        }
        let is_own_gate = OWN_GATE_METHODS.contains(&method) && origin == Origin::Local;
        if is_own_gate && !self.require_token {
            return self.plain(method, &param).await;
        }
        self.count("not_sealed");
        Err(refused("calls need the cluster key's seal"))
    }

    async fn sealed(
        &self,
        method: &'static str,
        request: &Sealed,
    ) -> Result<Value, ErrorObjectOwned> {
        let now = SystemTime::now();
        let body = seal::open_request(&self.secret, method, request, now).map_err(|err| {
            self.count("refused");
            refused(&err.to_string())
        })?;
        let body = self
            .run(method, request.sender.clone(), body.to_owned())
            .await?;
        let now = SystemTime::now();
        let response = seal::response(&self.secret, method, request, &self.own, now, body);
        serde_json::to_value(response).map_err(|err| failed(&err.to_string()))
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
