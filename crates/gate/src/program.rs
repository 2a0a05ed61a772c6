//! A running gate: its listeners, its sync task and its shutdown.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;

use crate::activity::Phase;
use crate::front::server::{self, Connection, Listener};
use crate::gate::Gate;
use crate::load;
use crate::sync::{Steer, Syncer};

/// Time for the last usage to be taken over by a control process.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between attempts to hand usage over.
const HANDOVER_PAUSE: Duration = Duration::from_millis(100);

/// Work that a shutdown could not finish.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Requests that were cut off.
    pub requests: usize,
    /// Usage counters that no control process took over.
    pub counters: usize,
}

impl Loss {
    /// Whether nothing was lost.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// A gate that serves.
pub struct Program {
    gate: Rc<Gate>,
    steer: Rc<dyn Steer>,
    service: Rc<RefCell<Rc<dyn Connection>>>,
    listen: SocketAddr,
    admin: SocketAddr,
    callers: JoinHandle<()>,
    operators: JoinHandle<()>,
    sync: JoinHandle<()>,
    load: JoinHandle<()>,
}

impl Program {
    /// Binds both listeners and starts to serve.
    pub async fn start(gate: Rc<Gate>, steer: Rc<dyn Steer>) -> Result<Self, server::Error> {
        let callers = Listener::bind(gate.settings.listen).await?;
        let operators = Listener::bind(gate.settings.admin).await?;
        let service = Rc::new(RefCell::new(server::callers(&gate).await?));
        let refusing = server::refusals(&gate).await?;
        let admin = server::operators(&gate).await?;
        let mut syncer = Syncer::new(gate.clone(), steer.clone());
        Ok(Self {
            listen: callers.address()?,
            admin: operators.address()?,
            callers: actix_rt::spawn(callers.serve_callers(
                gate.clone(),
                service.clone(),
                refusing,
            )),
            operators: actix_rt::spawn(operators.serve_operators(admin)),
            sync: actix_rt::spawn(async move { syncer.run().await }),
            load: actix_rt::spawn(load::run(gate.clone())),
            service,
            steer,
            gate,
        })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Reads the certificate again. Connections that are open keep the one they began
    /// with, and a certificate that can't be used changes nothing.
    pub async fn reload(&self) -> Result<(), server::Error> {
        let service = server::callers(&self.gate).await?;
        *self.service.borrow_mut() = service;
        Ok(())
    }

    /// Shuts down without cutting a request off, as far as the drain timeout allows.
    pub async fn close(self) -> Loss {
        let gate = &self.gate;
        gate.activity.enter(Phase::Leaving);
        tracing::info!(event = "leaving", running = gate.activity.running());
        // Callers may still use the addresses that they were told.
        tokio::time::sleep(gate.settings.keep_addresses).await;
        gate.activity.enter(Phase::Closing);
        tracing::info!(event = "closing", running = gate.activity.running());
        let _ = self.callers.await;
        let _ = tokio::time::timeout(gate.settings.drain_timeout, gate.activity.idle()).await;
        self.sync.abort();
        let loss = Loss {
            requests: gate.activity.running(),
            counters: hand_over(gate, self.steer.clone()).await,
        };
        self.load.abort();
        self.operators.abort();
        loss
    }

    /// What would be lost if the program ended now.
    pub fn loss(gate: &Gate) -> Loss {
        Loss {
            requests: gate.activity.running(),
            counters: gate.usage.borrow().changed().len(),
        }
    }
}

async fn hand_over(gate: &Rc<Gate>, steer: Rc<dyn Steer>) -> usize {
    let mut syncer = Syncer::new(gate.clone(), steer);
    let handover = async {
        while !gate.usage.borrow().is_settled() {
            if !syncer.round().await {
                tokio::time::sleep(HANDOVER_PAUSE).await;
            }
        }
    };
    let _ = tokio::time::timeout(HANDOVER_TIMEOUT, handover).await;
    gate.usage.borrow().changed().len()
}
