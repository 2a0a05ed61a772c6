//! Listener shared by all stand-ins: connections, ledger, faults, admin paths.

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
use crate::http::{self, Answer, Request};
use crate::ledger::{Count, Entry, Header, Ledger, Outcome, wall_ms};

/// Largest accepted body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Bytes that tell an admin request from others.
const PEEK_BYTES: usize = 16;

/// Options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// A connection without a complete request for this long is closed.
    pub idle: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What a stand-in does with requests.
pub trait Handle {
    /// A request of the served interface.
    fn call(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer>;

    /// A request to a path below `/admin`.
    fn admin(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, Answer> {
        drop(request);
        Box::pin(async { Answer::not_found() })
    }
}

/// State that a stand-in shares with its listener.
#[derive(Debug)]
pub struct Shared {
    /// Requests received.
    pub ledger: RefCell<Ledger>,
    /// Faults in force.
    pub faults: RefCell<faults::Set>,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    accepted: Cell<u64>,
    idle: Duration,
}

#[derive(Debug)]
struct Connection {
    id: u64,
    connected_ms: u64,
    task: Option<AbortHandle>,
}

/// A running listener.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    accept: JoinHandle<()>,
}

impl Shared {
    /// State for a listener with these options.
    pub fn new(options: &Options) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::default(),
            faults: RefCell::new(faults::Set::new(options.seed)),
            connections: RefCell::default(),
            accepted: Cell::new(0),
            idle: options.idle,
        })
    }

    /// Closes a connection without an answer.
    pub fn abort(&self, connection: u64) {
        let connections = self.connections.borrow();
        let found = connections.values().find(|it| it.id == connection);
        if let Some(task) = found.and_then(|it| it.task.as_ref()) {
            task.abort();
        }
    }

    fn abort_others(&self, connection: u64) {
        let connections = self.connections.borrow();
        for task in connections
            .values()
            .filter(|it| it.id != connection)
            .filter_map(|it| it.task.as_ref())
        {
            task.abort();
        }
    }

    fn is_cut(&self) -> bool {
        self.faults.borrow().whole().cut
    }
}

impl Server {
    /// Binds the address and starts to accept.
    pub fn start<H: Handle + 'static>(
        options: &Options,
        shared: Rc<Shared>,
        handle: Rc<H>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(options.listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let accept = tokio::task::spawn_local(accept(listener, shared.clone(), handle));
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

async fn accept<H: Handle + 'static>(listener: TcpListener, shared: Rc<Shared>, handle: Rc<H>) {
    let (state, idle) = (shared.clone(), shared.idle);
    let service = HttpService::build()
        .keep_alive(idle)
        .client_request_timeout(idle)
        .client_disconnect_timeout(Duration::from_millis(1))
        .h1(fn_service(move |request| {
            let (shared, handle) = (state.clone(), handle.clone());
            async move { Ok::<_, actix_http::Error>(serve(shared, handle, request).await) }
        }))
        .tcp()
        .into_factory()
        .new_service(())
        .await;
    let Ok(service) = service else {
        tracing::error!(event = "service_failed", "listener has no service");
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
            connected_ms: wall_ms(),
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

/// Removes the connection when its task ends.
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
            .is_some_and(|it| it.id == self.id)
        {
            connections.remove(&self.peer);
        }
    }
}

async fn is_admin(stream: &TcpStream, wait: Duration) -> bool {
    let mut head = [0; PEEK_BYTES];
    let peeked = tokio::time::timeout(wait, stream.peek(&mut head)).await;
    let Ok(Ok(length)) = peeked else {
        return false;
    };
    let text = String::from_utf8_lossy(&head[..length]).into_owned();
    text.split(' ')
        .nth(1)
        .is_some_and(|it| it.starts_with("/admin"))
}

async fn serve<H: Handle>(
    shared: Rc<Shared>,
    handle: Rc<H>,
    mut raw: actix_http::Request,
) -> Response<BoxBody> {
    let (id, connected_ms) = connection_of(&shared, &raw);
    let Some(body) = read_body(&shared, &mut raw).await else {
        return abandon(&shared, id).await;
    };
    let mut request = Request {
        sequence: 0,
        connection: id,
        method: raw.method().to_string(),
        path: raw.path().to_owned(),
        query: raw.uri().query().unwrap_or_default().to_owned(),
        headers: raw.headers().clone(),
        body,
    };
    if request.path.starts_with("/admin") {
        return admin(&shared, handle, request).await.response;
    }
    request.sequence = record(&shared, &request, connected_ms);
    carry_out(shared, handle, request).await
}

async fn carry_out<H: Handle>(
    shared: Rc<Shared>,
    handle: Rc<H>,
    request: Request,
) -> Response<BoxBody> {
    let (id, sequence) = (request.connection, request.sequence);
    let effect = shared.faults.borrow_mut().draw(&request.path);
    let delay = shared.faults.borrow().of(&request.path).delay_ms;
    match effect {
        Effect::Cut | Effect::Freeze => {
            shared
                .ledger
                .borrow_mut()
                .finish(sequence, Outcome::Refused);
            if effect == Effect::Freeze {
                thaw(&shared, &request.path).await;
            }
            return abandon(&shared, id).await;
        }
        Effect::Error => {
            shared
                .ledger
                .borrow_mut()
                .finish(sequence, Outcome::Refused);
            sleep_ms(delay).await;
            return Answer::error(503, "fault on request").response;
        }
        Effect::None | Effect::LoseAnswer => {}
    }
    let answer = handle.call(request).await;
    if let Some(outcome) = answer.outcome {
        shared.ledger.borrow_mut().finish(sequence, outcome);
    }
    sleep_ms(delay).await;
    if effect == Effect::LoseAnswer {
        if let Some(entry) = shared.ledger.borrow_mut().entry_mut(sequence) {
            entry.answer_lost = true;
        }
        return abandon(&shared, id).await;
    }
    answer.response
}

async fn admin<H: Handle>(shared: &Rc<Shared>, handle: Rc<H>, request: Request) -> Answer {
    match (request.method.as_str(), request.segments().as_slice()) {
        ("GET", ["admin", "ledger"]) => match request.parameter("contains") {
            Some(text) => Answer::json(&Count {
                count: shared.ledger.borrow().count(&text),
            }),
            None => Answer::json(&shared.ledger.borrow().entries().collect::<Vec<_>>()),
        },
        ("GET", ["admin", "faults"]) => Answer::json(shared.faults.borrow().whole()),
        ("PUT", ["admin", "faults"]) => set_faults(shared, None, &request),
        ("PUT", ["admin", "faults", interface]) => set_faults(shared, Some(interface), &request),
        _ => handle.admin(request).await,
    }
}

fn set_faults(shared: &Shared, interface: Option<&str>, request: &Request) -> Answer {
    let faults: Faults = match request.json() {
        Ok(faults) => faults,
        Err(refusal) => return refusal,
    };
    let cut = faults.cut && interface.is_none();
    shared.faults.borrow_mut().set(interface, faults);
    if cut {
        shared.abort_others(request.connection);
    }
    Answer::json(&())
}

fn connection_of(shared: &Shared, raw: &actix_http::Request) -> (u64, u64) {
    let connections = shared.connections.borrow();
    raw.peer_addr()
        .and_then(|peer| connections.get(&peer))
        .map_or((u64::MAX, 0), |it| (it.id, it.connected_ms))
}

/// The whole body, or `None` if it is too large, broken off or too slow.
async fn read_body(shared: &Shared, raw: &mut actix_http::Request) -> Option<Bytes> {
    let mut payload = raw.take_payload();
    let mut body = BytesMut::new();
    loop {
        match tokio::time::timeout(shared.idle, payload.next()).await {
            Ok(Some(Ok(part))) if body.len() + part.len() <= BODY_LIMIT => {
                body.extend_from_slice(&part);
            }
            Ok(None) => return Some(body.freeze()),
            _ => return None,
        }
    }
}

fn record(shared: &Shared, request: &Request, connected_ms: u64) -> u64 {
    let headers = request
        .headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        })
        .collect();
    let kept = &request.body[..request.body.len().min(crate::ledger::BODY_BYTES)];
    shared.ledger.borrow_mut().record(Entry {
        sequence: 0,
        at_ms: wall_ms(),
        connection: request.connection,
        connected_ms,
        method: request.method.clone(),
        path: request.path.clone(),
        query: request.query.clone(),
        headers,
        body_digest: http::digest(&request.body),
        body: String::from_utf8_lossy(kept).into_owned(),
        outcome: Outcome::Received,
        answer_lost: false,
    })
}

/// Waits until the interface is no longer frozen.
async fn thaw(shared: &Shared, path: &str) {
    while shared.faults.borrow().of(path).frozen {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Closes the connection that the caller runs on; does not return.
async fn abandon(shared: &Shared, connection: u64) -> Response<BoxBody> {
    shared.abort(connection);
    std::future::pending().await
}

async fn sleep_ms(delay: u64) {
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
}
