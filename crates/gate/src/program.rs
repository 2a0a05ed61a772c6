//! Starts and shuts down a gate: its listeners and background tasks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::time::timeout;

use crate::activity::Phase;
use crate::front::server::{self, Connection, Listener};
use crate::gate::Gate;
use crate::load;
use crate::permits;
use crate::sync::{Steer, Syncer};

/// Time that a shutdown waits for a control process to acknowledge the last usage counters.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Share of the drain timeout that is left for writing final responses to requests that have none.
const ENDING_SHARE: f64 = 0.05;
/// Pause after a round in which no control process took the usage counters.
const HANDOVER_PAUSE: Duration = Duration::from_millis(100);

/// Work and usage that are lost when the process ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Number of requests that were still running.
    pub requests: usize,
    /// Number of usage counters that no control process has acknowledged.
    pub counters: usize,
}

impl Loss {
    /// Returns whether nothing is lost.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Running gate with its listeners and background tasks.
pub struct Program {
    gate: Rc<Gate>,
    steer: Rc<dyn Steer>,
    /// Service for new connections of callers, which a reload replaces.
    service: Rc<RefCell<Rc<dyn Connection>>>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    caller_task: JoinHandle<()>,
    operator_task: JoinHandle<()>,
    sync_task: JoinHandle<()>,
    permit_task: JoinHandle<()>,
    load_task: JoinHandle<()>,
}

impl Program {
    /// Binds both listeners and starts all tasks. Fails if an address or the certificate can't be
    /// used.
    pub async fn start(gate: Rc<Gate>, steer: Rc<dyn Steer>) -> Result<Self, server::Error> {
        let caller_listener = Listener::bind(gate.settings.listen).await?;
        let operator_listener = Listener::bind(gate.settings.admin).await?;
        let service = Rc::new(RefCell::new(server::callers(&gate).await?));
        let refusals = server::refusals(&gate).await?;
        let operator_service = server::operators(&gate).await?;
        let mut syncer = Syncer::new(gate.clone(), steer.clone());
        Ok(Self {
            caller_address: caller_listener.address()?,
            operator_address: operator_listener.address()?,
            caller_task: actix_rt::spawn(caller_listener.serve_callers(
                gate.clone(),
                service.clone(),
                refusals,
            )),
            operator_task: actix_rt::spawn(operator_listener.serve_operators(operator_service)),
            sync_task: actix_rt::spawn(async move { syncer.run().await }),
            permit_task: actix_rt::spawn(permits::run(gate.clone(), steer.clone())),
            load_task: actix_rt::spawn(load::run(gate.clone())),
            service,
            steer,
            gate,
        })
    }

    /// Returns the bound address for callers, with the assigned port.
    pub fn address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address for operators, with the assigned port.
    pub fn admin(&self) -> SocketAddr {
        self.operator_address
    }

    /// Reads the certificate again for new connections. Open connections keep the one they started
    /// with. On an error the previous certificate stays in use.
    pub async fn reload(&self) -> Result<(), server::Error> {
        let service = server::callers(&self.gate).await?;
        *self.service.borrow_mut() = service;
        Ok(())
    }

    /// Shuts down gracefully. The gate serves until callers no longer use its address, then stops
    /// accepting, lets running requests finish within the drain timeout, and hands over its usage.
    /// Returns what was not finished.
    pub async fn close(self) -> Loss {
        let gate = &self.gate;
        gate.activity.enter(Phase::Leaving);
        tracing::info!(event = "leaving", running = gate.activity.running());
        // Callers may keep using this address for as long as they may keep the list of entry hosts.
        tokio::time::sleep(gate.settings.keep_addresses).await;
        gate.activity.enter(Phase::Closing);
        tracing::info!(event = "closing", running = gate.activity.running());
        if let Err(err) = self.caller_task.await {
            tracing::error!(event = "accept_failed", error = %err);
        }
        let drain = gate.settings.drain_timeout;
        let ending = drain.mul_f64(ENDING_SHARE);
        if timeout(drain - ending, gate.activity.idle()).await.is_err() {
            tracing::warn!(event = "ending", running = gate.activity.running());
        }
        // No request is admitted after the look at them, so that none runs or adds usage while the
        // usage is handed over.
        gate.activity.enter(Phase::Ending);
        // Counts from here, so that a process that runs late still writes the final responses.
        let _ = timeout(ending, gate.activity.idle()).await;
        self.sync_task.abort();
        self.permit_task.abort();
        let loss = Loss {
            requests: gate.activity.running(),
            counters: hand_over(gate, self.steer.clone()).await,
        };
        self.load_task.abort();
        self.operator_task.abort();
        loss
    }

    /// Returns what is lost if the process ends now.
    pub fn loss(gate: &Gate) -> Loss {
        Loss {
            requests: gate.activity.running(),
            counters: gate.usage.borrow().changed().len(),
        }
    }
}

/// Sends usage to control processes until all of it is acknowledged or [`HANDOVER_TIMEOUT`] passes.
/// Returns the number of counters that are left.
async fn hand_over(gate: &Rc<Gate>, steer: Rc<dyn Steer>) -> usize {
    let mut syncer = Syncer::new(gate.clone(), steer);
    let handover = async {
        while !gate.usage.borrow().is_settled() {
            if !syncer.round().await {
                tokio::time::sleep(HANDOVER_PAUSE).await;
            }
        }
    };
    let _ = timeout(HANDOVER_TIMEOUT, handover).await;
    gate.usage.borrow().changed().len()
}
