//! Listeners for callers and operators.
//!
//! The gate runs its own accept loop around the HTTP service of `actix-http`, so that state stays
//! on one thread, refused connections are counted, and a new certificate serves new connections
//! while open ones keep theirs.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Extensions, HttpService, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use actix_tls::accept::rustls_0_23::{Acceptor, AcceptorService, TlsStream};
use agate_model::refusal::Reason;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;

use super::body::Tracked;
use super::timeout::{Deadline, Socket, Stream};
use super::track::Track;
use super::{admin, route};
use crate::activity::{Activity, Phase};
use crate::gate::{Gate, random_id};
use crate::refusal::{Denial, Progress};
use crate::tls;

/// Number of connections beyond the limit that still get an HTTP refusal. Further ones are closed
/// without one.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Number of connections that the kernel queues, which is that of [`TcpListener::bind`].
const BACKLOG: usize = 1024;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Reason why a listener or its HTTP service can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be bound, or the HTTP service can't be built.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The certificate or its key can't be loaded.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

/// HTTP service for accepted connections.
pub trait Connection {
    /// Returns a future that serves `stream` until the connection ends. Failures are logged.
    fn serve(&self, stream: TcpStream) -> LocalBoxFuture<'static, ()>;
}

/// Plain HTTP.
struct Http<S> {
    service: Rc<S>,
    activity: Activity,
    head_timeout: Duration,
    keep_alive: Duration,
}

impl<S> Http<S> {
    /// Starts to track a connection that was just accepted.
    fn track(&self) -> Rc<Track> {
        Track::new(self.activity.clone())
    }

    fn timed<T>(&self, io: T, track: Rc<Track>) -> Stream<T> {
        let deadline = Deadline::new(self.head_timeout, self.keep_alive + self.head_timeout);
        Stream::new(io, deadline, track)
    }
}

impl<S> Connection for Http<S>
where
    S: Service<(Stream<TcpStream>, Option<SocketAddr>)> + 'static,
    S::Error: std::fmt::Debug,
{
    fn serve(&self, stream: TcpStream) -> LocalBoxFuture<'static, ()> {
        let peer = stream.peer_addr().ok();
        let served = self.service.call((self.timed(stream, self.track()), peer));
        Box::pin(async move { log_failure(served.await) })
    }
}

/// HTTP over TLS.
struct Https<S> {
    acceptor: Rc<AcceptorService>,
    http: Rc<Http<S>>,
}

impl<S> Connection for Https<S>
where
    S: Service<(Stream<TlsStream<TcpStream>>, Option<SocketAddr>)> + 'static,
    S::Error: std::fmt::Debug,
{
    fn serve(&self, stream: TcpStream) -> LocalBoxFuture<'static, ()> {
        let peer = stream.peer_addr().ok();
        let accepted = self.acceptor.call(stream);
        let http = self.http.clone();
        let track = http.track();
        Box::pin(async move {
            match accepted.await {
                Ok(stream) => {
                    let stream = http.timed(stream, track);
                    log_failure(http.service.call((stream, peer)).await);
                }
                Err(err) => log_failure::<(), _>(Err(err)),
            }
        })
    }
}

/// Logs the error that ended a connection, at debug level because callers cause most of them.
fn log_failure<T, E: std::fmt::Debug>(result: Result<T, E>) {
    if let Err(err) = result {
        tracing::debug!(event = "connection_failed", error = ?err);
    }
}

/// Builds the service for callers, with TLS if the settings name a certificate.
pub async fn callers(gate: &Rc<Gate>) -> Result<Rc<dyn Connection>, Error> {
    let state = gate.clone();
    let handler = move |request| {
        let gate = state.clone();
        async move { route::handle(gate, request).await }
    };
    let Some(settings) = &gate.settings.tls else {
        return Ok(Rc::new(
            http::<TcpStream, _, _>(gate, gate.activity.clone(), handler).await?,
        ));
    };
    let mut acceptor = Acceptor::new(tls::load(settings)?);
    acceptor.set_handshake_timeout(gate.settings.limits.head_timeout);
    let acceptor = ServiceFactory::<TcpStream>::new_service(&acceptor, ())
        .await
        .map_err(|()| build_error())?;
    Ok(Rc::new(Https {
        acceptor: Rc::new(acceptor),
        http: Rc::new(
            http::<TlsStream<TcpStream>, _, _>(gate, gate.activity.clone(), handler).await?,
        ),
    }))
}

/// Builds the service for operators, in plain HTTP. It serves for as long as the process runs, and a
/// shutdown doesn't wait for its requests.
pub async fn operators(gate: &Rc<Gate>) -> Result<Rc<dyn Connection>, Error> {
    let state = gate.clone();
    let handler = move |request: Request| {
        let response = admin::handle(&state, &request);
        async move { response }
    };
    let activity = Activity::default();
    Ok(Rc::new(
        http::<TcpStream, _, _>(gate, activity, handler).await?,
    ))
}

/// Builds the service for connections beyond the limit. It refuses each request in plain HTTP, also
/// if callers use TLS.
pub async fn refusals(gate: &Rc<Gate>) -> Result<Rc<dyn Connection>, Error> {
    let handler = |_| async {
        let denial = Denial::new(Reason::ConnectionLimit, "too many connections to this host");
        let refusal = Progress::received(false).refuse(denial);
        let mut response = refusal.response(&random_id());
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        response
    };
    Ok(Rc::new(
        http::<TcpStream, _, _>(gate, gate.activity.clone(), handler).await?,
    ))
}

fn build_error() -> Error {
    Error::Io(io::Error::other("the HTTP service could not be built"))
}

/// Builds an HTTP/1.1 service around `handler` with the limits of the settings. Its connections and
/// requests count in `activity`.
async fn http<T, F, A>(
    gate: &Rc<Gate>,
    activity: Activity,
    handler: F,
) -> Result<
    Http<impl Service<(Stream<T>, Option<SocketAddr>), Error: std::fmt::Debug> + 'static>,
    Error,
>
where
    T: AsyncRead + AsyncWrite + Socket + Unpin + 'static,
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let limits = &gate.settings.limits;
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(limits.head_timeout)
        .keep_alive(limits.keep_alive)
        // A caller that closes its sending side counts as disconnected, and its work is cancelled.
        .h1_allow_half_closed(false)
        .on_connect_ext(|io: &Stream<T>, data: &mut Extensions| {
            data.insert(io.deadline());
            data.insert(io.track());
        })
        .h1(fn_service(move |mut request: Request| {
            let busy = request.conn_data::<Rc<Deadline>>().map(Deadline::suspend);
            let track = request.conn_data::<Rc<Track>>().cloned();
            let running = track.map(|track| track.start(&mut request));
            let response = handler(request);
            async move {
                let mut response = response.await;
                let head = response.head_mut();
                if let Some(running) = &running {
                    if running.is_last() {
                        head.set_connection_type(ConnectionType::Close);
                    }
                    if head.connection_type() == ConnectionType::Close {
                        running.set_last();
                    }
                }
                let guards = (busy, running);
                let tracked =
                    response.map_body(|_, body| BoxBody::new(Tracked::new(body, guards, None)));
                Ok::<_, Infallible>(tracked)
            }
        }));
    match factory.new_service(()).await {
        Ok(service) => Ok(Http {
            service: Rc::new(service),
            activity,
            head_timeout: limits.head_timeout,
            keep_alive: limits.keep_alive,
        }),
        Err(()) => Err(build_error()),
    }
}

/// Bound socket whose connections are served once one of the `serve_` functions is called.
pub struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Binds `address` and starts to listen.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Self { socket })
    }

    /// Returns the bound address, which has the assigned port if port 0 was requested.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves operators until the future is dropped.
    pub async fn serve_operators(self, service: Rc<dyn Connection>) {
        loop {
            if let Some(stream) = accept(&self.socket).await {
                actix_rt::spawn(service.serve(stream));
            }
        }
    }

    /// Serves callers until the gate enters [`Phase::Closing`], with those whose connections the
    /// kernel has queued by then, since it resets them when the listener is closed. Each connection
    /// uses the `service` in place when it is accepted, or `refusals` beyond the limit of
    /// connections.
    pub async fn serve_callers(
        self,
        gate: Rc<Gate>,
        service: Rc<RefCell<Rc<dyn Connection>>>,
        refusals: Rc<dyn Connection>,
    ) {
        let closing = gate.activity.reached(Phase::Closing);
        tokio::pin!(closing);
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut closing => break,
                accepted = accept(&self.socket) => accepted,
            };
            if let Some(stream) = accepted {
                serve_caller(&gate, stream, &service, &*refusals);
            }
        }
        let queued = self.accept_queued(|stream| {
            serve_caller(&gate, stream, &service, &*refusals);
        });
        if let Err(err) = queued {
            tracing::warn!(event = "accept_failed", error = %err);
        }
    }

    /// Accepts the connections that the kernel has queued.
    fn accept_queued(self, mut serve: impl FnMut(TcpStream)) -> io::Result<()> {
        let listener = self.socket.into_std()?;
        for _ in 0..BACKLOG {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                Err(err) => return Err(err),
            };
            stream.set_nonblocking(true)?;
            serve(without_delay(TcpStream::from_std(stream)?));
        }
        Ok(())
    }
}

/// Starts to serve a caller's connection, or closes it if too many are open.
fn serve_caller(
    gate: &Rc<Gate>,
    stream: TcpStream,
    service: &RefCell<Rc<dyn Connection>>,
    refusals: &dyn Connection,
) {
    let open = gate.connections.get();
    let limit = gate.settings.limits.connections;
    if open >= limit {
        gate.metrics.refused(Reason::ConnectionLimit);
    }
    if open >= limit + MAX_REFUSED_CONNECTIONS {
        return;
    }
    let connection = if open < limit {
        service.borrow().serve(stream)
    } else {
        refusals.serve(stream)
    };
    let guard = OpenConnection::new(gate.clone());
    actix_rt::spawn(async move {
        connection.await;
        drop(guard);
    });
}

/// Guard that counts a caller's connection in [`Gate::connections`] until it is dropped.
struct OpenConnection(Rc<Gate>);

impl OpenConnection {
    fn new(gate: Rc<Gate>) -> Self {
        gate.connections.set(gate.connections.get() + 1);
        Self(gate)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Accepts a connection, or logs the failure, pauses and returns `None`.
async fn accept(socket: &TcpListener) -> Option<TcpStream> {
    match socket.accept().await {
        Ok((stream, _)) => Some(without_delay(stream)),
        Err(err) => {
            tracing::warn!(event = "accept_failed", error = %err);
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Sets `TCP_NODELAY`. Without it responses are only delayed, not wrong.
fn without_delay(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}
