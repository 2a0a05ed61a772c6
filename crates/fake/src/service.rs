//! Stand-in for a plain service that accepts any method and path and echoes the request.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::http::{Reply, Request, digest};
use crate::server::{Handler, Options, Server, Shared};

/// Settings of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address, idle timeout and seed of the listener.
    pub server: Options,
    /// Time between the arrival of a request and its response.
    pub delay: Duration,
}

/// Response body of the service: the request as it was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Number of this execution, counted from 1.
    pub execution: u64,
    /// HTTP method as sent.
    pub method: String,
    /// Path as received, with percent signs still encoded.
    pub path: String,
    /// Query string without the question mark; empty if there is none.
    pub query: String,
    /// SHA-256 of the request body, in hexadecimal digits.
    pub body_digest: String,
}

/// A running service; [`Running::close`] stops it.
#[derive(Debug)]
pub struct Running {
    /// Address that it listens on, with the actual port.
    pub address: SocketAddr,
    /// Ledger and faults, which tests may read and set directly.
    pub shared: Rc<Shared>,
    service: Rc<Service>,
    server: Server,
}

#[derive(Debug)]
struct Service {
    delay: Duration,
    executions: Cell<u64>,
}

/// Starts a service on the current runtime; fails if the address cannot be bound.
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
    /// Returns the number of requests whose execution has started.
    pub fn executions(&self) -> u64 {
        self.service.executions.get()
    }

    /// Stops the service and closes its open connections.
    pub fn close(self) {
        self.server.close();
    }
}

impl Handler for Service {
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            self.executions.set(self.executions.get() + 1);
            let execution = self.executions.get();
            if !self.delay.is_zero() {
                tokio::time::sleep(self.delay).await;
            }
            Reply::json(&Echo {
                execution,
                body_digest: digest(&request.body),
                method: request.method,
                path: request.path,
                query: request.query,
            })
        })
    }
}
