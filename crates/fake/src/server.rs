//! HTTP listener of all stand-ins: tracks connections, records requests, injects faults and
//! serves the admin paths.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, HttpService, Response};
use actix_service::{IntoServiceFactory as _, Service as _, ServiceFactory as _, fn_service};
use agate_wire::fault::Faults;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use futures_util::future::LocalBoxFuture;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinHandle};

use crate::faults::{self, Effect};
use crate::http::{self, Reply, Request};
use crate::ledger::{Count, Entry, Header, Ledger, Outcome, unix_ms};

/// Largest accepted request body, in bytes; a connection with a larger one is closed.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Bytes of a connection's first request that are peeked at to recognise an admin path.
const PEEK_BYTES: usize = 16;

/// Settings of a stand-in's listener and random number generators.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Time without a complete request after which a connection is closed.
    pub idle: Duration,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Request handler of a stand-in.
pub trait Handler {
    /// Handles a request to a path outside `/admin`.
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply>;

    /// Handles a request to a path below `/admin` that the listener does not serve itself;
    /// returns 404 by default.
    fn admin(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Reply> {
        drop(request);
        Box::pin(async { Reply::not_found() })
    }
}

/// State that a stand-in shares with its listener.
#[derive(Debug)]
pub struct Shared {
    /// Requests received so far, except those to admin paths.
    pub ledger: RefCell<Ledger>,
    /// Faults that apply to new requests.
    pub faults: RefCell<faults::Set>,
    /// Open connections, by address of the peer.
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    accepted: Cell<u64>,
    idle: Duration,
}

#[derive(Debug)]
struct Connection {
    id: u64,
    connected_ms: u64,
    /// Task that serves the connection; `None` until it is spawned.
    task: Option<AbortHandle>,
}

/// A running listener; [`Server::close`] stops it.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on, with the actual port.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    accept: JoinHandle<()>,
}

impl Shared {
    /// Creates the state of a listener with no faults and an empty ledger.
    pub fn new(options: &Options) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::default(),
            faults: RefCell::new(faults::Set::new(options.seed)),
            connections: RefCell::default(),
            accepted: Cell::new(0),
            idle: options.idle,
        })
    }

    /// Closes a connection without a response; does nothing if it is not open.
    pub fn abort(&self, connection: u64) {
        let connections = self.connections.borrow();
        let found = connections.values().find(|open| open.id == connection);
        if let Some(task) = found.and_then(|open| open.task.as_ref()) {
            task.abort();
        }
    }

    /// Closes all connections but one.
    fn abort_others(&self, connection: u64) {
        let connections = self.connections.borrow();
        for task in connections
            .values()
            .filter(|open| open.id != connection)
            .filter_map(|open| open.task.as_ref())
        {
            task.abort();
        }
    }

    fn is_cut(&self) -> bool {
        self.faults.borrow().global().cut
    }
}

impl Server {
    /// Binds the address and accepts connections on the current runtime.
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start<H: Handler + 'static>(
        options: &Options,
        shared: Rc<Shared>,
        handler: Rc<H>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(options.listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let accept = tokio::task::spawn_local(accept(listener, shared.clone(), handler));
        Ok(Self {
            address,
            shared,
            accept,
        })
    }

    /// Stops listening and closes every connection.
    pub fn close(self) {
        self.accept.abort();
        for connection in self.shared.connections.borrow().values() {
            if let Some(task) = &connection.task {
                task.abort();
            }
        }
    }
}

async fn accept<H: Handler + 'static>(listener: TcpListener, shared: Rc<Shared>, handler: Rc<H>) {
    let (state, idle) = (shared.clone(), shared.idle);
    let service = HttpService::build()
        .keep_alive(idle)
        .client_request_timeout(idle)
        .client_disconnect_timeout(Duration::from_millis(1))
        .h1(fn_service(move |request| {
            let (shared, handler) = (state.clone(), handler.clone());
            async move { Ok::<_, actix_http::Error>(serve(shared, handler, request).await) }
        }))
        .tcp()
        .into_factory()
        .new_service(())
        .await;
    let Ok(service) = service else {
        tracing::error!(
            event = "service_failed",
            "HTTP service of the listener could not be created"
        );
        return;
    };
    let service = Rc::new(service);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let id = shared.accepted.get();
        shared.accepted.set(id + 1);
        let connection = Connection {
            id,
            connected_ms: unix_ms(),
            task: None,
        };
        shared.connections.borrow_mut().insert(peer, connection);
        let (service, state) = (service.clone(), shared.clone());
        let task = tokio::task::spawn_local(async move {
            let _guard = Guard {
                shared: state.clone(),
                peer,
                id,
            };
            if state.is_cut() && !is_admin(&stream, state.idle).await {
                return;
            }
            let _ = service.call(stream).await;
        });
        if let Some(connection) = shared.connections.borrow_mut().get_mut(&peer) {
            connection.task = Some(task.abort_handle());
        }
    }
}

/// Removes the connection from the open ones when its task ends.
struct Guard {
    shared: Rc<Shared>,
    peer: SocketAddr,
    id: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut connections = self.shared.connections.borrow_mut();
        if connections
            .get(&self.peer)
            .is_some_and(|open| open.id == self.id)
        {
            connections.remove(&self.peer);
        }
    }
}

/// Reports whether the first request of a connection is for an admin path, without consuming it.
async fn is_admin(stream: &TcpStream, timeout: Duration) -> bool {
    let mut head = [0; PEEK_BYTES];
    let peeked = tokio::time::timeout(timeout, stream.peek(&mut head)).await;
    let Ok(Ok(length)) = peeked else {
        return false;
    };
    let text = String::from_utf8_lossy(&head[..length]).into_owned();
    text.split(' ')
        .nth(1)
        .is_some_and(|path| path.starts_with("/admin"))
}

async fn serve<H: Handler>(
    shared: Rc<Shared>,
    handler: Rc<H>,
    mut incoming: actix_http::Request,
) -> Response<BoxBody> {
    let (id, connected_ms) = connection_of(&shared, &incoming);
    let Some(body) = read_body(&shared, &mut incoming).await else {
        return close_connection(&shared, id).await;
    };
    let mut request = Request {
        sequence: 0,
        connection: id,
        method: incoming.method().to_string(),
        path: incoming.path().to_owned(),
        query: incoming.uri().query().unwrap_or_default().to_owned(),
        headers: incoming.headers().clone(),
        body,
    };
    if request.path.starts_with("/admin") {
        return admin(&shared, handler, request).await.response;
    }
    request.sequence = record(&shared, &request, connected_ms);
    carry_out(shared, handler, request).await
}

/// Handles a recorded request under the fault drawn for it and records its outcome.
async fn carry_out<H: Handler>(
    shared: Rc<Shared>,
    handler: Rc<H>,
    request: Request,
) -> Response<BoxBody> {
    let (id, sequence) = (request.connection, request.sequence);
    let effect = shared.faults.borrow_mut().draw(&request.path);
    let delay = shared.faults.borrow().for_path(&request.path).delay_ms;
    match effect {
        Effect::Cut | Effect::Freeze => {
            shared
                .ledger
                .borrow_mut()
                .finish(sequence, Outcome::Refused);
            if effect == Effect::Freeze {
                wait_while_frozen(&shared, &request.path).await;
            }
            return close_connection(&shared, id).await;
        }
        Effect::Error => {
            shared
                .ledger
                .borrow_mut()
                .finish(sequence, Outcome::Refused);
            sleep_ms(delay).await;
            return Reply::error(503, "fault on request").response;
        }
        Effect::None | Effect::LoseResponse => {}
    }
    let reply = handler.call(request).await;
    if let Some(outcome) = reply.outcome {
        shared.ledger.borrow_mut().finish(sequence, outcome);
    }
    sleep_ms(delay).await;
    if effect == Effect::LoseResponse {
        if let Some(entry) = shared.ledger.borrow_mut().entry_mut(sequence) {
            entry.answer_lost = true;
        }
        return close_connection(&shared, id).await;
    }
    reply.response
}

async fn admin<H: Handler>(shared: &Rc<Shared>, handler: Rc<H>, request: Request) -> Reply {
    match (request.method.as_str(), request.segments().as_slice()) {
        ("GET", ["admin", "ledger"]) => match request.parameter("contains") {
            Some(text) => Reply::json(&Count {
                count: shared.ledger.borrow().count(&text),
            }),
            None => Reply::json(&shared.ledger.borrow().entries().collect::<Vec<_>>()),
        },
        ("GET", ["admin", "faults"]) => Reply::json(shared.faults.borrow().global()),
        ("PUT", ["admin", "faults"]) => set_faults(shared, None, &request),
        ("PUT", ["admin", "faults", interface]) => set_faults(shared, Some(interface), &request),
        _ => handler.admin(request).await,
    }
}

fn set_faults(shared: &Shared, interface: Option<&str>, request: &Request) -> Reply {
    let faults: Faults = match request.json() {
        Ok(faults) => faults,
        Err(refusal) => return refusal,
    };
    let cut = faults.cut && interface.is_none();
    shared.faults.borrow_mut().set(interface, faults);
    if cut {
        shared.abort_others(request.connection);
    }
    Reply::json(&())
}

/// Returns the number of the request's connection and the time at which it was accepted.
fn connection_of(shared: &Shared, incoming: &actix_http::Request) -> (u64, u64) {
    let connections = shared.connections.borrow();
    incoming
        .peer_addr()
        .and_then(|peer| connections.get(&peer))
        .map_or((u64::MAX, 0), |open| (open.id, open.connected_ms))
}

/// Reads the request body; `None` if it exceeds [`BODY_LIMIT`], is cut off, or stalls for the
/// idle timeout.
async fn read_body(shared: &Shared, incoming: &mut actix_http::Request) -> Option<Bytes> {
    let mut payload = incoming.take_payload();
    let mut body = BytesMut::new();
    loop {
        match tokio::time::timeout(shared.idle, payload.next()).await {
            Ok(Some(Ok(chunk))) if body.len() + chunk.len() <= BODY_LIMIT => {
                body.extend_from_slice(&chunk);
            }
            Ok(None) => return Some(body.freeze()),
            _ => return None,
        }
    }
}

/// Adds a request to the ledger and returns its sequence number.
fn record(shared: &Shared, request: &Request, connected_ms: u64) -> u64 {
    let headers = request
        .headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        })
        .collect();
    let recorded_body = &request.body[..request.body.len().min(crate::ledger::BODY_BYTES)];
    shared.ledger.borrow_mut().record(Entry {
        sequence: 0,
        at_ms: unix_ms(),
        connection: request.connection,
        connected_ms,
        method: request.method.clone(),
        path: request.path.clone(),
        query: request.query.clone(),
        headers,
        body_digest: http::digest(&request.body),
        body: String::from_utf8_lossy(recorded_body).into_owned(),
        outcome: Outcome::Received,
        answer_lost: false,
    })
}

/// Waits until the fault `frozen` of the path is lifted.
async fn wait_while_frozen(shared: &Shared, path: &str) {
    while shared.faults.borrow().for_path(path).frozen {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Closes the connection that the calling task serves; never returns.
async fn close_connection(shared: &Shared, connection: u64) -> Response<BoxBody> {
    shared.abort(connection);
    std::future::pending().await
}

async fn sleep_ms(delay: u64) {
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
}
