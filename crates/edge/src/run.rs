//! Starts an entry host with its listeners and tasks, reloads its settings, and shuts it down.

use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::directory::Directory;
use crate::edge::{Edge, Phase, Remote};
use crate::forward::Forwarder;
use crate::response::Adapter;
use crate::sabotage::{self, Variant};
use crate::server::{self, Handler, Unanswered};
use crate::settings::Settings;
use crate::{cold, duty, follow, heartbeat, metrics, relay, version};

/// Interval between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(700);
/// Share of the time for which callers keep an address that the process continues to accept
/// connections after the host has left the directory. A caller that is refused later goes elsewhere;
/// what is accepted must have time to end.
const LINGER_SHARE: f64 = 0.8;
/// Interval between two checks for requests in flight during a shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry host.
pub struct Program {
    edge: Rc<Edge>,
    /// Task that accepts connections of callers.
    callers: JoinHandle<()>,
    /// All other tasks.
    tasks: Vec<JoinHandle<()>>,
}

impl Program {
    /// Binds all listeners and starts all tasks. Fails if an address can't be bound.
    pub fn start(settings: Settings, remote: Remote) -> io::Result<Self> {
        let listen = settings.listen.clone();
        let edge = Edge::new(settings, remote);
        let forwarder: Rc<dyn Handler> = Rc::new(Forwarder::new(edge.clone()));
        let directory: Rc<dyn Handler> = Rc::new(Adapter(Directory::new(edge.clone())));
        let callers = {
            let (listener, edge) = (server::bind(listen.front)?, edge.clone());
            actix_rt::spawn(async move {
                server::serve(listener, forwarder, edge.reached(Phase::Closing)).await;
            })
        };
        let mut tasks = vec![
            serve(server::bind(listen.directory)?, &directory),
            serve(server::bind(listen.ready)?, &directory),
        ];
        if let Some(address) = listen.relay {
            let handler: Rc<dyn Handler> = Rc::new(Adapter(relay::Server::new(edge.clone())));
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
        tasks.push(actix_rt::spawn(cold::run(edge.clone())));
        tasks.push(actix_rt::spawn(version::run(edge.clone())));
        if edge.remote.duties.is_some() {
            tasks.push(actix_rt::spawn(duty::lease::run(edge.clone())));
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

    /// Returns the shared state of the host.
    pub fn edge(&self) -> &Rc<Edge> {
        &self.edge
    }

    /// Puts changed settings in force, except the listen addresses and whether the host takes part in the
    /// duties, which need a restart. The addresses in `remote` are up to the caller.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.edge.settings.borrow_mut();
        let has_duties = |settings: &Settings| settings.remote.duties.is_some();
        let unchanged = [
            ("listen", settings.listen == current.listen),
            (
                "remote.duties",
                has_duties(&settings) == has_duties(&current),
            ),
        ];
        for (field, _) in unchanged.into_iter().filter(|(_, same)| !same) {
            tracing::warn!(event = "reload_partial", field, reason = "needs a restart");
        }
        self.edge.memory.resize(settings.machine.size());
        let listen = current.listen.clone();
        *current = Settings { listen, ..settings };
    }

    /// Aborts all tasks at once, as a kill of the process would.
    pub fn kill(self) {
        self.callers.abort();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Drains the host: leaves the directory and waits for requests in flight, as far as the grace
    /// time allows. Returns the number of requests that were cut off.
    pub async fn close(self) -> usize {
        let edge = &self.edge;
        let started = Instant::now();
        let stop = edge.leave();
        let bounds = edge.settings.borrow().bounds.clone();
        tracing::info!(event = "leaving", running = edge.in_flight());
        let deadline = match sabotage::is(Variant::HastyStop) {
            true => started,
            false => stop.drain,
        };
        publish(edge, false, deadline).await;
        let linger = bounds.addresses.min(bounds.grace).mul_f64(LINGER_SHARE);
        sleep_until(deadline.min(started + linger)).await;
        // Requests in flight are still finished, and so are those of callers that have just connected.
        edge.enter(Phase::Closing);
        if let Err(err) = self.callers.await {
            tracing::error!(event = "accept_failed", error = %err);
        }
        publish(edge, false, deadline).await;
        while Instant::now() < deadline && edge.in_flight() > 0 {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        // No request is taken after this look at them, so that none begins while the last heartbeat is
        // written and is cut after it.
        edge.enter(Phase::Sealed);
        publish(edge, edge.in_flight() == 0, stop.exit).await;
        for task in &self.tasks {
            task.abort();
        }
        edge.enter(Phase::Ended);
        let unanswered = |what: Unanswered| metrics::value(&edge.metrics.unanswered, what.code());
        tracing::info!(
            event = "ending",
            running = edge.in_flight(),
            closed_fresh = unanswered(Unanswered::Fresh),
            closed_kept = unanswered(Unanswered::Kept),
        );
        edge.in_flight()
    }
}

/// Publishes a heartbeat of a host that is stopping, as far as the store takes it before `until`.
/// `is_last` marks the incarnation as ended.
async fn publish(edge: &Edge, is_last: bool, until: Instant) {
    let written = timeout_at(until, heartbeat::publish(edge, is_last)).await;
    if written.is_err() {
        tracing::warn!(event = "heartbeat_failed", error = "no time left to stop");
    }
}

/// Starts a task that serves the connections of a listener for as long as the process runs.
fn serve(listener: TcpListener, handler: &Rc<dyn Handler>) -> JoinHandle<()> {
    actix_rt::spawn(server::serve(listener, handler.clone(), pending()))
}

/// Closes idle connections to endpoints until the task is dropped.
async fn sweep(edge: Rc<Edge>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        edge.pool.borrow_mut().sweep();
    }
}
