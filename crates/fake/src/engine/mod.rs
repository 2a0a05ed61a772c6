//! Stand-in for a model engine: continuous batching, prefix cache, resumable
//! streams, orders.
//!
//! The response depends on the request alone, see [`stream::Script`].

pub mod batch;
pub mod cache;
pub mod orders;
pub mod stream;
pub mod weights;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_wire::engine::{Completion, LoadedModel};
use agate_wire::manifest::Fencing;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::task::JoinHandle;

use crate::http::{Reply, Request};
use crate::server::{Handler, Options, Server, Shared};

/// Priority of requests without `x-agate-priority`.
const DEFAULT_PRIORITY: u8 = 2;

/// Size of a model's weights, in bytes.
pub const MODEL_BYTES: u64 = 1 << 30;

/// Bytes per second that the weight store serves by default.
pub const WEIGHT_RATE: u64 = 2 << 30;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address, idle timeout and seed of the listener; the seed also selects lost events.
    pub server: Options,
    /// Largest number of requests in the batch.
    pub slots: usize,
    /// Duration of a decoding step, before the shares of the requests in the batch.
    pub step: Duration,
    /// Time added to a step for each request in the batch.
    pub step_per_request: Duration,
    /// Time added to a step for every thousand tokens in the batch.
    pub step_per_kilotoken: Duration,
    /// Prefill time of one prompt token that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// Mean response length, in tokens, of requests without `max_tokens`; a hash of the request
    /// chooses the length.
    pub mean_tokens: u32,
    /// Largest number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load reports when they are returned.
    pub load_lag: Duration,
    /// Age of cache events before they are returned.
    pub event_lag: Duration,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Time for which a stream may be resumed after its end.
    pub retention: Duration,
    /// Time without a reader after which generation is cancelled.
    pub orphan_limit: Duration,
    /// Models loaded at start; if there are none, every model is accepted until an unload order.
    pub models: Vec<LoadedModel>,
    /// Time to load a model once its weights are downloaded.
    pub load_time: Duration,
    /// Store that the weights are downloaded from; engines may share it.
    pub weights: Rc<weights::Store>,
    /// Whether orders with an epoch below the highest seen are refused.
    pub fencing: Fencing,
}

impl Settings {
    /// Returns the defaults for an address and a seed, with a weight store of their own.
    pub fn new(listen: SocketAddr, seed: u64) -> Self {
        Self {
            server: Options {
                listen,
                idle: Duration::from_secs(5),
                seed,
            },
            slots: 8,
            step: Duration::from_millis(10),
            step_per_request: Duration::from_micros(500),
            step_per_kilotoken: Duration::from_micros(500),
            prefill_per_token: Duration::from_micros(50),
            mean_tokens: 32,
            cache_blocks: 4096,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_loss: 0.02,
            retention: Duration::from_secs(20),
            orphan_limit: Duration::from_secs(10),
            models: Vec::new(),
            load_time: Duration::from_millis(500),
            weights: Rc::new(weights::Store::new(MODEL_BYTES, WEIGHT_RATE)),
            fencing: Fencing::Checked,
        }
    }
}

/// A running engine; [`Running::close`] stops it.
pub struct Running {
    /// Address that it listens on, with the actual port.
    pub address: SocketAddr,
    /// Ledger and faults, which tests may read and set directly.
    pub shared: Rc<Shared>,
    engine: Rc<Engine>,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) shared: Rc<Shared>,
    pub(crate) batch: RefCell<batch::Batch>,
    /// Wakes the idle batch loop after a new request or a cancellation.
    pub(crate) work_available: tokio::sync::Notify,
    pub(crate) cache: RefCell<cache::Cache>,
    pub(crate) streams: RefCell<stream::Streams>,
    pub(crate) orders: RefCell<orders::Orders>,
    pub(crate) load_history: RefCell<batch::History>,
    /// Whether every request is refused with status 503; set by the platform.
    booting: Cell<bool>,
}

/// Starts an engine on the current runtime; fails if the address cannot be bound.
pub fn start(settings: &Settings) -> io::Result<Running> {
    let shared = Shared::new(&settings.server);
    let engine = Rc::new(Engine {
        shared: shared.clone(),
        batch: RefCell::default(),
        work_available: tokio::sync::Notify::new(),
        cache: RefCell::new(cache::Cache::new(settings)),
        streams: RefCell::default(),
        orders: RefCell::new(orders::Orders::new(settings)),
        load_history: RefCell::default(),
        booting: Cell::new(false),
        settings: settings.clone(),
    });
    let server = Server::start(&settings.server, shared.clone(), engine.clone())?;
    let tasks = vec![
        tokio::task::spawn_local(batch::run(engine.clone())),
        tokio::task::spawn_local(batch::sample_load(engine.clone())),
    ];
    Ok(Running {
        address: server.address,
        shared,
        engine,
        server,
        tasks,
    })
}

impl Running {
    /// Returns the orders received so far, refused ones included.
    pub fn orders(&self) -> Vec<orders::Received> {
        self.engine.orders.borrow().received().to_vec()
    }

    /// Returns the response tokens generated so far, those of cancelled requests included.
    pub fn generated(&self) -> u64 {
        self.engine.batch.borrow().generated()
    }

    /// Sets whether the engine is booting and refuses every request with status 503.
    pub fn set_booting(&self, booting: bool) {
        self.engine.booting.set(booting);
    }

    /// Stops the engine at once and closes its open connections.
    pub fn close(self) {
        self.server.close();
        for task in self.tasks {
            task.abort();
        }
    }
}

impl Engine {
    async fn respond(self: Rc<Self>, request: Request) -> Reply {
        if self.booting.get() {
            return Reply::error(503, "booting");
        }
        match (request.method.as_str(), request.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.complete(&request).await,
            ("GET", ["v1", "streams", id]) => self.resume(&request, id),
            ("DELETE", ["v1", "streams", id]) => self.cancel(id),
            ("GET", ["load"]) => {
                Reply::json(&self.load_history.borrow().load(self.settings.load_lag))
            }
            ("GET", ["cache", "events"]) => {
                let after = request
                    .parameter("after")
                    .and_then(|text| text.parse().ok());
                Reply::json(&self.cache.borrow().events(after.unwrap_or(0)))
            }
            ("GET", ["cache", "blocks", hash]) => match self.cache.borrow_mut().export(hash) {
                Some(block) => Reply::bytes(200, "application/octet-stream", block),
                None => Reply::not_found(),
            },
            ("POST", ["cache", "blocks", hash]) => {
                self.cache.borrow_mut().import(hash);
                Reply::bytes(204, "application/octet-stream", Bytes::new())
            }
            ("POST", ["orders"]) => self.orders.borrow_mut().receive(&request),
            _ => Reply::not_found(),
        }
    }

    /// Queues a completion and returns its stream, or its complete response once generated.
    async fn complete(self: Rc<Self>, request: &Request) -> Reply {
        let completion: Completion = match request.json() {
            Ok(completion) => completion,
            Err(refusal) => return refusal,
        };
        {
            let orders = self.orders.borrow();
            if orders.is_draining() {
                return Reply::error(503, "draining");
            }
            if !orders.serves(&completion.model) {
                return Reply::error(404, "model is not loaded");
            }
        }
        let priority = request.header("x-agate-priority");
        let priority = priority.and_then(|text| text.parse().ok());
        let id = request.header("x-request-id").map(str::to_owned);
        let id = id.unwrap_or_else(|| format!("local-{}", request.sequence));
        let script = stream::Script::new(&completion, self.settings.mean_tokens);
        let stream = stream::Stream::new(id, request.sequence, script);
        self.streams.borrow_mut().insert(stream.clone());
        let prompt = batch::Prompt::new(&completion);
        let priority = priority.unwrap_or(DEFAULT_PRIORITY);
        self.batch
            .borrow_mut()
            .enqueue(stream.clone(), prompt, priority);
        self.work_available.notify_one();
        if completion.stream {
            return Reply::events(self.event_body(stream, 0, request.connection));
        }
        self.complete_response(stream, request.connection).await
    }

    /// Streams the events of an earlier request from the query parameter `offset` on.
    fn resume(self: Rc<Self>, request: &Request, id: &str) -> Reply {
        let offset = request
            .parameter("offset")
            .and_then(|text| text.parse().ok());
        let found = self.streams.borrow().get(id);
        match found {
            Some(stream) => {
                let body = self.event_body(stream, offset.unwrap_or(0), request.connection);
                let mut reply = Reply::events(body);
                reply.outcome = Some(crate::ledger::Outcome::Completed);
                reply
            }
            None => Reply::not_found(),
        }
    }

    fn cancel(&self, id: &str) -> Reply {
        match self.streams.borrow().get(id) {
            Some(stream) => {
                stream.cancel(&self.shared);
                self.work_available.notify_one();
                Reply::json(&())
            }
            None => Reply::not_found(),
        }
    }
}

impl Handler for Engine {
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        Box::pin(self.respond(request))
    }

    fn admin(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            match (request.method.as_str(), request.segments().as_slice()) {
                ("GET", ["admin", "orders"]) => Reply::json(&self.orders.borrow().received()),
                _ => Reply::not_found(),
            }
        })
    }
}
