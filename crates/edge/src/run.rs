//! A running entry host: its listeners, its tasks and its shutdown.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::directory::Directory;
use crate::edge::{Edge, Remote};
use crate::forward::Forwarder;
use crate::response::Adapter;
use crate::sabotage::{self, Variant};
use crate::server::{self, Handler};
use crate::settings::Settings;
use crate::{duty, follow, heartbeat, metrics, relay};

/// Between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_millis(700);
/// Part of the grace time that requests may take to end.
const DRAIN_SHARE: f64 = 0.92;
/// Callers that have been told an address may still connect for this long after the host has
/// left the directory; the process stays at least so long, and longer while requests run.
const LINGER_SHARE: f64 = 0.8;
/// Between two looks at the running requests during a shutdown.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// A host that serves.
pub struct Program {
    edge: Rc<Edge>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Program {
    /// Binds all listeners and starts to serve.
    pub fn start(settings: Settings, remote: Remote) -> io::Result<Self> {
        let listen = settings.listen.clone();
        let edge = Edge::new(settings, remote);
        let forwarder: Rc<dyn Handler> = Rc::new(Forwarder::new(edge.clone()));
        let directory: Rc<dyn Handler> = Rc::new(Adapter(Directory::new(edge.clone())));
        let callers = serve(server::bind(listen.front)?, &forwarder);
        let mut tasks = vec![
            serve(server::bind(listen.directory)?, &directory),
            serve(server::bind(listen.ready)?, &directory),
        ];
        if let Some(address) = listen.relay {
            let handler: Rc<dyn Handler> = Rc::new(Adapter(relay::Shelf::new(edge.clone())));
            tasks.push(serve(server::bind(address)?, &handler));
        }
        if let Some(address) = listen.metrics {
            let handler: Rc<dyn Handler> = Rc::new(Adapter(metrics::Exposition::new(edge.clone())));
            tasks.push(serve(server::bind(address)?, &handler));
        }
        tasks.push(actix_rt::spawn(follow::config(edge.clone())));
        tasks.push(actix_rt::spawn(follow::endpoints(edge.clone())));
        tasks.push(actix_rt::spawn(follow::hosts(edge.clone())));
        tasks.push(actix_rt::spawn(heartbeat::run(edge.clone())));
        tasks.push(actix_rt::spawn(sweep(edge.clone())));
        if edge.remote.duties.is_some() {
            tasks.push(actix_rt::spawn(duty::seat::run(edge.clone())));
            tasks.push(actix_rt::spawn(follow::ledger(edge.clone())));
            tasks.push(actix_rt::spawn(duty::usage::run(edge.clone())));
            tasks.push(actix_rt::spawn(duty::fleet::run(edge.clone())));
        }
        Ok(Self {
            edge,
            callers,
            tasks,
        })
    }

    /// State of the host.
    pub fn edge(&self) -> &Rc<Edge> {
        &self.edge
    }

    /// Puts changed settings in force, as far as they can change while the host runs.
    pub fn reload(&self, settings: Settings) {
        let mut known = self.edge.settings.borrow_mut();
        if settings.listen != known.listen {
            tracing::warn!(
                event = "reload_partial",
                field = "listen",
                reason = "needs a restart"
            );
        }
        let listen = known.listen.clone();
        *known = Settings { listen, ..settings };
    }

    /// Ends all tasks at once, as the end of the process would.
    pub fn kill(self) {
        self.callers.abort();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Leaves without cutting a request off, as far as the grace time allows. Returns the number
    /// of requests that were cut off.
    pub async fn close(self) -> usize {
        let edge = &self.edge;
        let began = Instant::now();
        edge.leave();
        let bounds = edge.settings.borrow().bounds.clone();
        tracing::info!(event = "leaving", running = edge.running());
        heartbeat::publish(edge, false).await;
        let limit = match sabotage::is(Variant::HastyStop) {
            true => began,
            false => began + bounds.grace.mul_f64(DRAIN_SHARE),
        };
        let linger = bounds.addresses.min(bounds.grace).mul_f64(LINGER_SHARE);
        while Instant::now() < limit && (began.elapsed() < linger || edge.running() > 0) {
            sleep(DRAIN_STEP).await;
        }
        // From here on nothing new comes; what came last is still finished.
        self.callers.abort();
        heartbeat::publish(edge, false).await;
        while Instant::now() < limit && edge.running() > 0 {
            sleep(DRAIN_STEP).await;
        }
        heartbeat::publish(edge, edge.running() == 0).await;
        for task in &self.tasks {
            task.abort();
        }
        edge.running()
    }
}

fn serve(listener: TcpListener, handler: &Rc<dyn Handler>) -> JoinHandle<()> {
    actix_rt::spawn(server::serve(listener, handler.clone()))
}

async fn sweep(edge: Rc<Edge>) {
    loop {
        sleep(SWEEP).await;
        edge.pool.borrow_mut().sweep();
    }
}
