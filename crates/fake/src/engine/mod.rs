//! Stand-in for a model engine: continuous batching, prefix cache, resumable
//! streams, orders.
//!
//! The answer is a function of the request alone, see [`stream::Script`].

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

use crate::http::{Answer, Request};
use crate::server::{Handle, Options, Server, Shared};

/// Priority of requests without `x-agate-priority`.
const DEFAULT_PRIORITY: u8 = 2;

/// Size of a model's weights.
pub const MODEL_BYTES: u64 = 1 << 30;

/// Bytes per second that the weight store gives by default.
pub const WEIGHT_RATE: u64 = 2 << 30;

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listener.
    pub server: Options,
    /// Requests in the batch at most.
    pub slots: usize,
    /// Duration of a decoding step for an empty batch.
    pub step: Duration,
    /// Added to a step for each request in the batch.
    pub step_per_request: Duration,
    /// Added to a step for every thousand tokens in the batch.
    pub step_per_kilotoken: Duration,
    /// Prefill of one token that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// Answer length of requests without `max_tokens`; the mean of a choice by request.
    pub mean_tokens: u32,
    /// Prefix blocks that fit into memory.
    pub cache_blocks: usize,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age of cache events.
    pub event_lag: Duration,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// How long a stream may be resumed after its end.
    pub keep: Duration,
    /// How long an answer goes on without a reader.
    pub orphan_limit: Duration,
    /// Models loaded at start; every model is accepted if there are none.
    pub models: Vec<LoadedModel>,
    /// Time to load a model once its weights are there.
    pub load_time: Duration,
    /// Where weights come from.
    pub weights: Rc<weights::Store>,
    /// Reaction to orders with an old fencing number.
    pub fencing: Fencing,
}

impl Settings {
    /// Defaults for an address and a seed.
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
            keep: Duration::from_secs(20),
            orphan_limit: Duration::from_secs(10),
            models: Vec::new(),
            load_time: Duration::from_millis(500),
            weights: Rc::new(weights::Store::new(MODEL_BYTES, WEIGHT_RATE)),
            fencing: Fencing::Checked,
        }
    }
}

/// A running engine.
pub struct Running {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Ledger and faults.
    pub shared: Rc<Shared>,
    engine: Rc<Engine>,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) shared: Rc<Shared>,
    pub(crate) batch: RefCell<batch::Batch>,
    pub(crate) work: tokio::sync::Notify,
    pub(crate) cache: RefCell<cache::Cache>,
    pub(crate) streams: RefCell<stream::Streams>,
    pub(crate) orders: RefCell<orders::Orders>,
    pub(crate) reports: RefCell<batch::Reports>,
    booting: Cell<bool>,
}

/// Starts an engine on the current runtime.
pub fn start(settings: &Settings) -> io::Result<Running> {
    let shared = Shared::new(&settings.server);
    let engine = Rc::new(Engine {
        shared: shared.clone(),
        batch: RefCell::default(),
        work: tokio::sync::Notify::new(),
        cache: RefCell::new(cache::Cache::new(settings)),
        streams: RefCell::default(),
        orders: RefCell::new(orders::Orders::new(settings)),
        reports: RefCell::default(),
        booting: Cell::new(false),
        settings: settings.clone(),
    });
    let server = Server::start(&settings.server, shared.clone(), engine.clone())?;
    let tasks = vec![
        tokio::task::spawn_local(batch::run(engine.clone())),
        tokio::task::spawn_local(batch::report(engine.clone())),
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
    /// Orders received so far.
    pub fn orders(&self) -> Vec<orders::Received> {
        self.engine.orders.borrow().received().to_vec()
    }

    /// Answer tokens generated so far, wasted ones included.
    pub fn generated(&self) -> u64 {
        self.engine.batch.borrow().generated()
    }

    /// While it boots, an engine refuses every request.
    pub fn set_booting(&self, booting: bool) {
        self.engine.booting.set(booting);
    }

    /// Stops the engine at once; open connections are closed.
    pub fn close(self) {
        self.server.close();
        for task in self.tasks {
            task.abort();
        }
    }
}

impl Engine {
    async fn answer(self: Rc<Self>, request: Request) -> Answer {
        if self.booting.get() {
            return Answer::error(503, "booting");
        }
        match (request.method.as_str(), request.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.complete(&request).await,
            ("GET", ["v1", "streams", id]) => self.resume(&request, id),
            ("DELETE", ["v1", "streams", id]) => self.cancel(id),
            ("GET", ["load"]) => Answer::json(&self.reports.borrow().load(self.settings.load_lag)),
            ("GET", ["cache", "events"]) => {
                let after = request.parameter("after").and_then(|it| it.parse().ok());
                Answer::json(&self.cache.borrow().events(after.unwrap_or(0)))
            }
            ("GET", ["cache", "blocks", hash]) => match self.cache.borrow_mut().export(hash) {
                Some(block) => Answer::bytes(200, "application/octet-stream", block),
                None => Answer::not_found(),
            },
            ("POST", ["cache", "blocks", hash]) => {
                self.cache.borrow_mut().import(hash);
                Answer::bytes(204, "application/octet-stream", Bytes::new())
            }
            ("POST", ["orders"]) => self.orders.borrow_mut().receive(&request),
            _ => Answer::not_found(),
        }
    }

    async fn complete(self: Rc<Self>, request: &Request) -> Answer {
        let completion: Completion = match request.json() {
            Ok(completion) => completion,
            Err(refusal) => return refusal,
        };
        {
            let orders = self.orders.borrow();
            if orders.is_draining() {
                return Answer::error(503, "draining");
            }
            if !orders.has(&completion.model) {
                return Answer::error(404, "model is not loaded");
            }
        }
        let priority = request.header("x-agate-priority");
        let priority = priority.and_then(|it| it.parse().ok());
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
        self.work.notify_one();
        if completion.stream {
            return Answer::events(self.reader(stream, 0, request.connection));
        }
        self.whole(stream, request.connection).await
    }

    fn resume(self: Rc<Self>, request: &Request, id: &str) -> Answer {
        let offset = request.parameter("offset").and_then(|it| it.parse().ok());
        let found = self.streams.borrow().get(id);
        match found {
            Some(stream) => {
                let reader = self.reader(stream, offset.unwrap_or(0), request.connection);
                let mut answer = Answer::events(reader);
                answer.outcome = Some(crate::ledger::Outcome::Completed);
                answer
            }
            None => Answer::not_found(),
        }
    }

    fn cancel(&self, id: &str) -> Answer {
        match self.streams.borrow().get(id) {
            Some(stream) => {
                stream.cancel(&self.shared);
                self.work.notify_one();
                Answer::json(&())
            }
            None => Answer::not_found(),
        }
    }
}

impl Handle for Engine {
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer> {
        Box::pin(self.answer(request))
    }

    fn admin(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer> {
        Box::pin(async move {
            match (request.method.as_str(), request.segments().as_slice()) {
                ("GET", ["admin", "orders"]) => Answer::json(&self.orders.borrow().received()),
                _ => Answer::not_found(),
            }
        })
    }
}
