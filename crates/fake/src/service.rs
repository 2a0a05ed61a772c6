//! Stand-in for a plain service that answers any method and path.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::http::{Answer, Request, digest};
use crate::server::{Handle, Options, Server, Shared};

/// Options of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Listener.
    pub server: Options,
    /// Time that one execution takes.
    pub delay: Duration,
}

/// What the service answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Number of this execution, from 1.
    pub execution: u64,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query.
    pub query: String,
    /// SHA-256 of the body, in hexadecimal digits.
    pub body_digest: String,
}

/// A running service.
#[derive(Debug)]
pub struct Running {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Ledger and faults.
    pub shared: Rc<Shared>,
    service: Rc<Service>,
    server: Server,
}

#[derive(Debug)]
struct Service {
    delay: Duration,
    executions: Cell<u64>,
}

/// Starts a service on the current runtime.
pub fn start(settings: &Settings) -> io::Result<Running> {
    let shared = Shared::new(&settings.server);
    let service = Rc::new(Service {
        delay: settings.delay,
        executions: Cell::new(0),
    });
    let server = Server::start(&settings.server, shared.clone(), service.clone())?;
    Ok(Running {
        address: server.address,
        shared,
        service,
        server,
    })
}

impl Running {
    /// Executions so far.
    pub fn executions(&self) -> u64 {
        self.service.executions.get()
    }

    /// Stops the service; open connections are closed.
    pub fn close(self) {
        self.server.close();
    }
}

impl Handle for Service {
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer> {
        Box::pin(async move {
            self.executions.set(self.executions.get() + 1);
            let execution = self.executions.get();
            if !self.delay.is_zero() {
                tokio::time::sleep(self.delay).await;
            }
            Answer::json(&Echo {
                execution,
                body_digest: digest(&request.body),
                method: request.method,
                path: request.path,
                query: request.query,
            })
        })
    }
}
