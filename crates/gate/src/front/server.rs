//! Listeners for callers and operators.
//!
//! The accept loop is the gate's own, around the HTTP service of `actix-http`:
//! state stays on one thread, refused connections are counted, and a new
//! certificate serves new connections without touching the others.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Extensions, HttpService, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use actix_tls::accept::rustls_0_23::{Acceptor, AcceptorService, TlsStream};
use agate_model::refusal::Reason;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;

use super::body::Tracked;
use super::watch::{Watch, Watched};
use super::{admin, route};
use crate::activity::Phase;
use crate::gate::{Gate, random_id};
use crate::refusal::{Denial, Progress};
use crate::tls;

/// Connections beyond the limit that still get a written refusal.
const REFUSED_CONNECTIONS: usize = 64;
/// Pause after a failed accept, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a listener can't serve.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The certificate can't be used.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

/// Serves one connection to its end.
pub trait Connection {
    /// Starts serving `stream`.
    fn serve(&self, stream: TcpStream) -> LocalBoxFuture<'static, ()>;
}

struct Http<S> {
    service: Rc<S>,
    head_timeout: Duration,
    keep_alive: Duration,
}

impl<S> Http<S> {
    fn watch<T>(&self, io: T) -> Watched<T> {
        let watch = Watch::new(self.head_timeout, self.keep_alive + self.head_timeout);
        Watched::new(io, watch)
    }
}

impl<S> Connection for Http<S>
where
    S: Service<(Watched<TcpStream>, Option<SocketAddr>)> + 'static,
    S::Error: std::fmt::Debug,
{
    fn serve(&self, stream: TcpStream) -> LocalBoxFuture<'static, ()> {
        let peer = stream.peer_addr().ok();
        let served = self.service.call((self.watch(stream), peer));
        Box::pin(async move { note(served.await) })
    }
}

struct Https<S> {
    acceptor: Rc<AcceptorService>,
    http: Rc<Http<S>>,
}

impl<S> Connection for Https<S>
where
    S: Service<(Watched<TlsStream<TcpStream>>, Option<SocketAddr>)> + 'static,
    S::Error: std::fmt::Debug,
{
    fn serve(&self, stream: TcpStream) -> LocalBoxFuture<'static, ()> {
        let peer = stream.peer_addr().ok();
        let accepted = self.acceptor.call(stream);
        let http = self.http.clone();
        Box::pin(async move {
            match accepted.await {
                Ok(stream) => note(http.service.call((http.watch(stream), peer)).await),
                Err(err) => note::<(), _>(Err(err)),
            }
        })
    }
}

fn note<T, E: std::fmt::Debug>(result: Result<T, E>) {
    if let Err(err) = result {
        tracing::debug!(event = "connection_failed", error = ?err);
    }
}

/// Builds the service for callers, with TLS if there is a certificate.
pub async fn callers(gate: &Rc<Gate>) -> Result<Rc<dyn Connection>, Error> {
    let state = gate.clone();
    let handler = move |request| {
        let gate = state.clone();
        async move { route::handle(gate, request).await }
    };
    let Some(settings) = &gate.settings.tls else {
        return Ok(Rc::new(http::<TcpStream, _, _>(gate, handler).await?));
    };
    let mut acceptor = Acceptor::new(tls::load(settings)?);
    acceptor.set_handshake_timeout(gate.settings.limits.head_timeout);
    let acceptor = ServiceFactory::<TcpStream>::new_service(&acceptor, ())
        .await
        .map_err(|()| unbuilt())?;
    Ok(Rc::new(Https {
        acceptor: Rc::new(acceptor),
        http: Rc::new(http::<TlsStream<TcpStream>, _, _>(gate, handler).await?),
    }))
}

/// Builds the service for operators.
pub async fn operators(gate: &Rc<Gate>) -> Result<Rc<dyn Connection>, Error> {
    let state = gate.clone();
    let handler = move |request: Request| {
        let response = admin::handle(&state, &request);
        async move { response }
    };
    Ok(Rc::new(http::<TcpStream, _, _>(gate, handler).await?))
}

/// Builds the service for connections beyond the limit. They are refused in plain HTTP.
pub async fn refusals(gate: &Rc<Gate>) -> Result<Rc<dyn Connection>, Error> {
    let handler = |_| async {
        let denial = Denial::new(Reason::ConnectionLimit, "too many connections to this host");
        let refusal = Progress::received(false).refuse(denial);
        let mut response = refusal.response(&random_id());
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
        response
    };
    Ok(Rc::new(http::<TcpStream, _, _>(gate, handler).await?))
}

fn unbuilt() -> Error {
    Error::Io(io::Error::other("the HTTP service could not be built"))
}

async fn http<T, F, A>(
    gate: &Rc<Gate>,
    handler: F,
) -> Result<
    Http<impl Service<(Watched<T>, Option<SocketAddr>), Error: std::fmt::Debug> + 'static>,
    Error,
>
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let limits = &gate.settings.limits;
    let activity = gate.activity.clone();
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(limits.head_timeout)
        .keep_alive(limits.keep_alive)
        // A caller that closes its side has gone away: its work is cancelled.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || activity.reached(Phase::Closing))
        .on_connect_ext(|io: &Watched<T>, data: &mut Extensions| {
            data.insert(io.watch());
        })
        .h1(fn_service(move |request: Request| {
            let busy = request.conn_data::<Rc<Watch>>().map(Watch::begin);
            let answer = handler(request);
            async move {
                let response = answer.await;
                let held = response.map_body(|_, it| BoxBody::new(Tracked::new(it, busy, None)));
                Ok::<_, Infallible>(held)
            }
        }));
    match factory.new_service(()).await {
        Ok(service) => Ok(Http {
            service: Rc::new(service),
            head_timeout: limits.head_timeout,
            keep_alive: limits.keep_alive,
        }),
        Err(()) => Err(unbuilt()),
    }
}

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Binds `address`.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Self { socket })
    }

    /// Address in use; differs from the one asked for if that had port 0.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves operators until the task is dropped.
    pub async fn serve_operators(self, service: Rc<dyn Connection>) {
        loop {
            if let Some(stream) = accept(&self.socket).await {
                actix_rt::spawn(service.serve(stream));
            }
        }
    }

    /// Serves callers until the gate closes.
    pub async fn serve_callers(
        self,
        gate: Rc<Gate>,
        service: Rc<RefCell<Rc<dyn Connection>>>,
        refusing: Rc<dyn Connection>,
    ) {
        let closing = gate.activity.reached(Phase::Closing);
        tokio::pin!(closing);
        loop {
            let accepted = tokio::select! {
                () = &mut closing => return,
                accepted = accept(&self.socket) => accepted,
            };
            let Some(stream) = accepted else { continue };
            let open = gate.connections.get();
            let limit = gate.settings.limits.connections;
            if open >= limit {
                gate.metrics.refused(Reason::ConnectionLimit);
            }
            if open >= limit + REFUSED_CONNECTIONS {
                continue;
            }
            let serving = if open < limit {
                service.borrow().serve(stream)
            } else {
                refusing.serve(stream)
            };
            let counted = Counted::new(gate.clone());
            actix_rt::spawn(async move {
                serving.await;
                drop(counted);
            });
        }
    }
}

struct Counted(Rc<Gate>);

impl Counted {
    fn new(gate: Rc<Gate>) -> Self {
        gate.connections.set(gate.connections.get() + 1);
        Self(gate)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn accept(socket: &TcpListener) -> Option<TcpStream> {
    match socket.accept().await {
        Ok((stream, _)) => {
            // Without it answers are only later, not wrong.
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(err) => {
            tracing::warn!(event = "accept_failed", error = %err);
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
