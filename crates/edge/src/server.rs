//! HTTP/1.1 server for the connections of callers.

mod writer;

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{Request, StatusCode};
use agate_memory::{Budget, Purpose, Share, Shortage, Standing};
use bytes::{Bytes, BytesMut};
use futures_util::future::{FutureExt as _, LocalBoxFuture};
use tokio::io::AsyncReadExt as _;
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::Decoder as _;

use crate::client::set_socket_options;
use crate::config::Limits;
use crate::edge::InFlight;

pub use self::writer::ResponseWriter;

/// Pause after a connection could not be accepted, for example because no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// `Retry-After` in seconds of a request that was refused before it was complete: the host has memory again by
/// then, or callers are not sent to it any more.
const REJECTED_RETRY_AFTER: &str = "1.00";
/// Bytes of pipelined requests that are buffered while one is handled.
const READ_AHEAD: usize = 64 << 10;
/// Connections not yet accepted that the kernel queues.
const BACKLOG: u32 = 1024;
/// Time within which a caller sends the first byte of its request once it is connected. A stop waits for it.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that was received completely.
#[derive(Debug)]
pub struct Incoming {
    /// Method, target and headers.
    pub request: Request,
    /// Complete body, empty if there is none.
    pub body: Bytes,
    /// When the head was complete; deadlines count from here.
    pub arrival: Instant,
}

/// Whether the caller received the whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The response was written completely.
    Complete,
    /// The response is incomplete, so the connection has to be closed.
    Aborted,
}

/// What was read from a connection, since its last response, when it ends without another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// Nothing at all since it was accepted.
    Fresh,
    /// Nothing since it carried a response.
    Kept,
    /// A part of a request.
    Partial,
}

impl Unanswered {
    /// Returns the code in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Kept => "kept",
            Self::Partial => "partial",
        }
    }
}

/// Responds to the requests of a listener.
pub trait Handler {
    /// Responds to one request. The future is dropped if the caller disconnects.
    fn handle<'a>(
        &'a self,
        incoming: Incoming,
        writer: &'a mut ResponseWriter<'_>,
    ) -> LocalBoxFuture<'a, End>;

    /// Returns the limits on size and time of requests.
    fn limits(&self) -> Limits;

    /// Returns the budget that holds the connections of the listener and their bytes.
    fn memory(&self) -> Rc<Budget>;

    /// Returns whether connections are to be closed after the current request.
    fn is_closing(&self) -> bool;

    /// Waits until idle connections are to be closed.
    fn closing(&self) -> LocalBoxFuture<'_, ()>;

    /// Waits until requests that are not complete yet are refused.
    fn last_call(&self) -> LocalBoxFuture<'_, ()>;

    /// Counts a request as in flight until the guard is dropped: from the moment at which its caller has
    /// connected, or has begun to send it, to the end of its response. `None` if a stop does not wait for
    /// these requests.
    fn track(&self) -> Option<InFlight>;

    /// Records that a request was rejected while it was read, for example as malformed or too
    /// large.
    fn rejected(&self, status: StatusCode, fault: &str);

    /// Records that this process ended a connection without a response to what was read from it.
    fn unanswered(&self, what: Unanswered);
}

/// A request that is being read. Dropping it means that the process ends before the request is complete.
struct Reading<'a> {
    handler: &'a dyn Handler,
    is_closed: bool,
}

impl<'a> Reading<'a> {
    fn new(handler: &'a dyn Handler) -> Self {
        Self {
            handler,
            is_closed: false,
        }
    }

    /// Ends the reading, because the request is complete, rejected, or broken off by its caller.
    fn close(mut self) {
        self.is_closed = true;
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        if !self.is_closed {
            self.handler.unanswered(Unanswered::Partial);
        }
    }
}

/// Binds a listening socket to an IPv4 address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves connections until `stop`. It keeps accepting during a shutdown before that, so that
/// a caller that is just connecting gets a response instead of a reset.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    stop: impl Future<Output = ()>,
) {
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn(stream, &handler);
                if handler.memory().is_full() {
                    // A connection that was asked to yield closes before the next one is accepted.
                    yield_now().await;
                }
            }
            Err(err) => {
                tracing::warn!(event = "accept_failed", error = %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(err) = accept_queued(listener, &handler) {
        tracing::warn!(event = "accept_failed", error = %err);
    }
}

/// Accepts the connections that the kernel has queued, since it resets them when the listener is closed.
fn accept_queued(listener: TcpListener, handler: &Rc<dyn Handler>) -> io::Result<()> {
    let listener = listener.into_std()?;
    for _ in 0..BACKLOG {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
            Err(err) => return Err(err),
        };
        stream.set_nonblocking(true)?;
        spawn(TcpStream::from_std(stream)?, handler);
    }
    Ok(())
}

/// Starts a task that serves a connection, or closes it if too many are open.
fn spawn(stream: TcpStream, handler: &Rc<dyn Handler>) {
    let Some(share) = handler.memory().admit(Instant::now()) else {
        tracing::debug!(event = "connection_refused", reason = "too many are open");
        return;
    };
    set_socket_options(&stream);
    let handler = handler.clone();
    let in_flight = handler.track();
    let connection = Connection::new(stream, share);
    actix_rt::spawn(async move { connection.run(&*handler, in_flight).await });
}

/// A caller's connection.
struct Connection {
    stream: TcpStream,
    read_buffer: BytesMut,
    codec: Codec,
    /// What the connection holds of the memory.
    share: Rc<Share>,
}

/// Result of reading the next request.
enum Next {
    Request(Box<Incoming>),
    /// The request was rejected with this status; the text describes the fault.
    Refused(StatusCode, String),
    /// The caller closed the connection.
    Closed,
}

impl Connection {
    fn new(stream: TcpStream, share: Share) -> Self {
        Self {
            stream,
            read_buffer: BytesMut::new(),
            codec: Codec::default(),
            share: Rc::new(share),
        }
    }

    /// Serves requests until the connection ends. `connected` counts the first one as in flight before its
    /// first byte.
    async fn run(mut self, handler: &dyn Handler, connected: Option<InFlight>) {
        let mut has_request = self.wait_first(handler, connected).await;
        while has_request && self.serve_request(handler).await {
            if self.read_buffer.is_empty() {
                self.free_buffer();
                self.share.set(Standing::Idle, Instant::now());
                has_request = self.wait_next(handler, Unanswered::Kept).await;
            }
        }
    }

    /// Reads a request and responds to it. Returns whether the connection can be reused.
    async fn serve_request(&mut self, handler: &dyn Handler) -> bool {
        let _in_flight = handler.track();
        let reading = Reading::new(handler);
        let share = self.share.clone();
        share.set(Standing::Reading, Instant::now());
        let next = tokio::select! {
            biased;
            next = self.read_request(handler.limits()) => next,
            () = share.asked() => {
                let (status, fault) = short();
                Next::Refused(status, fault)
            }
            () = handler.last_call() => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Next::Refused(status, "the host stops".to_owned())
            }
        };
        reading.close();
        match next {
            Next::Request(incoming) => {
                share.set(Standing::Running, Instant::now());
                let is_reusable = self.respond(*incoming, handler).await;
                share.give(Purpose::Bodies, usize::MAX);
                share.give(Purpose::Responses, usize::MAX);
                is_reusable
            }
            Next::Refused(status, fault) => {
                handler.rejected(status, &fault);
                self.reject(handler, status).await;
                false
            }
            Next::Closed => false,
        }
    }

    /// Waits for the first byte of the first request. A stop waits as well, while a caller that has just
    /// connected may still be sending it.
    async fn wait_first(&mut self, handler: &dyn Handler, connected: Option<InFlight>) -> bool {
        let share = self.share.clone();
        let read = async {
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.read_buffer) => Some(matches!(read, Ok(1..))),
                () = share.asked() => None,
            }
        };
        if let Ok(Some(read)) = timeout(FIRST_BYTE_TIMEOUT, read).await {
            return read;
        }
        drop(connected);
        self.wait_next(handler, Unanswered::Fresh).await
    }

    /// Waits for the first byte of the next request. Returns false if the connection was closed, was idle
    /// for too long, or is to be closed; `idle` is what it is until then.
    async fn wait_next(&mut self, handler: &dyn Handler, idle: Unanswered) -> bool {
        let share = self.share.clone();
        let wait = async {
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.read_buffer) => return matches!(read, Ok(1..)),
                () = handler.closing() => {}
                () = share.asked() => {}
            }
            if has_unread(&self.stream) {
                let read = self.stream.read_buf(&mut self.read_buffer).await;
                return matches!(read, Ok(1..));
            }
            handler.unanswered(idle);
            false
        };
        let limit = handler.limits().idle_timeout;
        timeout(limit, wait).await.unwrap_or(false)
    }

    /// Reads a request of which at least one byte has come.
    async fn read_request(&mut self, limits: Limits) -> Next {
        let start = Instant::now();
        let head = timeout_at(start + limits.head_timeout, self.read_head(limits)).await;
        let request = match head {
            Ok(Ok(Some(request))) => request,
            Ok(Ok(None)) => return Next::Closed,
            Ok(Err((status, fault))) => return Next::Refused(status, fault),
            Err(_) => return Next::Refused(StatusCode::REQUEST_TIMEOUT, "slow head".to_owned()),
        };
        let arrival = Instant::now();
        let announced = announced_length(&request);
        let body = self.read_body(limits, announced);
        match timeout_at(arrival + limits.idle_timeout, body).await {
            Ok(Ok(Some(body))) => Next::Request(Box::new(Incoming {
                request,
                body,
                arrival,
            })),
            Ok(Ok(None)) => Next::Closed,
            Ok(Err((status, fault))) => Next::Refused(status, fault),
            Err(_) => Next::Refused(StatusCode::REQUEST_TIMEOUT, "slow body".to_owned()),
        }
    }

    async fn read_head(&mut self, limits: Limits) -> Result<Option<Request>, (StatusCode, String)> {
        loop {
            let size = self.read_buffer.len();
            match self.codec.decode(&mut self.read_buffer) {
                Ok(Some(Message::Item(request))) => return Ok(Some(request)),
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) if size > limits.head_bytes => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err((status, "the head is too long".to_owned()));
                }
                Ok(None) => {
                    if !self.read_more().await? {
                        return Ok(None);
                    }
                }
                Err(err) => return Err((StatusCode::BAD_REQUEST, err.to_string())),
            }
        }
    }

    /// Reads what has come into the buffer, whose growth is taken from the memory. Returns false if the caller
    /// closed the connection.
    async fn read_more(&mut self) -> Result<bool, (StatusCode, String)> {
        if !matches!(self.stream.read_buf(&mut self.read_buffer).await, Ok(1..)) {
            return Ok(false);
        }
        let taken = take_buffer(&self.share, &self.read_buffer).await;
        taken.map_err(|Shortage| short())?;
        Ok(true)
    }

    /// Frees the buffer of a connection that is idle or rejected.
    fn free_buffer(&mut self) {
        self.read_buffer = BytesMut::new();
        self.share.give(Purpose::Heads, usize::MAX);
    }

    /// Reads a body; `announced` is its length if the head states one.
    async fn read_body(
        &mut self,
        limits: Limits,
        announced: Option<usize>,
    ) -> Result<Option<Bytes>, (StatusCode, String)> {
        if announced.is_some_and(|length| length > limits.body_bytes) {
            return Err(too_long());
        }
        let mut body = BytesMut::with_capacity(announced.unwrap_or(0));
        let mut taken = 0;
        if self.codec.message_type() == actix_http::h1::MessageType::None {
            return Ok(Some(Bytes::new()));
        }
        loop {
            match self.codec.decode(&mut self.read_buffer) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    let length = body.len() + bytes.len();
                    if length > limits.body_bytes {
                        return Err(too_long());
                    }
                    if length > body.capacity() {
                        let capacity = length.max(2 * body.capacity()).min(limits.body_bytes);
                        body.reserve(capacity - body.len());
                    }
                    // An announced body occupies what has come of it, any other one what is reserved.
                    let held = announced.map_or(body.capacity(), |_| length);
                    if held > taken {
                        let more = held - taken;
                        let result = self.share.take(Purpose::Bodies, more, Instant::now());
                        result.await.map_err(|Shortage| short())?;
                        taken = held;
                    }
                    body.extend_from_slice(&bytes);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(Some(body.freeze())),
                Ok(Some(Message::Item(_))) => {
                    return Err((StatusCode::BAD_REQUEST, "a head within a body".to_owned()));
                }
                Ok(None) => {
                    if !self.read_more().await? {
                        return Ok(None);
                    }
                }
                Err(err) => return Err((StatusCode::BAD_REQUEST, err.to_string())),
            }
        }
    }

    /// Responds to a request. Returns whether the connection can be reused.
    async fn respond(&mut self, incoming: Incoming, handler: &dyn Handler) -> bool {
        let has_next = Cell::new(!self.read_buffer.is_empty());
        let (mut reader, writer) = self.stream.split();
        let mut writer = ResponseWriter {
            writer,
            codec: &mut self.codec,
            write_buffer: BytesMut::new(),
            handler,
            share: &self.share,
            has_next: &has_next,
            is_closing: false,
            is_started: false,
        };
        let handled = AssertUnwindSafe(handler.handle(incoming, &mut writer)).catch_unwind();
        let end = tokio::select! {
            biased;
            end = handled => end,
            () = closed_by_caller(&mut reader, &mut self.read_buffer, &self.share, &has_next) => Ok(End::Aborted),
        };
        let end = match end {
            Ok(end) => end,
            Err(_) if writer.is_started() => End::Aborted,
            // What was half encoded is not sent. The request may have run, so no status that denies it fits.
            Err(_) => {
                writer.write_buffer.clear();
                writer.close_after();
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                match writer.send(status, HeaderMap::new(), Bytes::new()).await {
                    Ok(()) => End::Complete,
                    Err(_) => End::Aborted,
                }
            }
        };
        let is_closing = writer.is_closing;
        end == End::Complete && !is_closing && self.codec.keep_alive()
    }

    async fn reject(&mut self, handler: &dyn Handler, status: StatusCode) {
        // What was read is not needed any more, however long the caller takes to read the response.
        self.free_buffer();
        self.share.give(Purpose::Bodies, usize::MAX);
        let mut headers = HeaderMap::new();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let wait = HeaderValue::from_static(REJECTED_RETRY_AFTER);
            headers.insert(RETRY_AFTER, wait);
        }
        let (_, writer) = self.stream.split();
        let mut writer = ResponseWriter {
            writer,
            codec: &mut self.codec,
            write_buffer: BytesMut::new(),
            handler,
            share: &self.share,
            has_next: &Cell::new(false),
            is_closing: true,
            is_started: false,
        };
        let _ = writer.send(status, headers, Bytes::new()).await;
    }
}

/// Takes the growth of a buffer for received bytes from the memory.
async fn take_buffer(share: &Share, buffer: &BytesMut) -> Result<(), Shortage> {
    let grown = buffer.capacity().saturating_sub(share.held(Purpose::Heads));
    if grown == 0 {
        return Ok(());
    }
    share.take(Purpose::Heads, grown, Instant::now()).await
}

/// Returns the length of a body that its head states.
fn announced_length(request: &Request) -> Option<usize> {
    let value = request.head().headers.get(CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the refusal of a body beyond the limit.
fn too_long() -> (StatusCode, String) {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    (status, "the body is too long".to_owned())
}

/// Returns the refusal of an incomplete request for which no memory is left.
fn short() -> (StatusCode, String) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    (status, "no memory is left".to_owned())
}

/// Returns whether the kernel holds bytes of a connection, also if the runtime has not noticed them yet.
fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Ok(1..))
}

/// Waits until the caller closes its side, and buffers pipelined requests meanwhile as far as the memory goes.
async fn closed_by_caller(
    reader: &mut ReadHalf<'_>,
    read_buffer: &mut BytesMut,
    share: &Share,
    has_next: &Cell<bool>,
) {
    loop {
        let is_short = take_buffer(share, read_buffer).await.is_err();
        if is_short || read_buffer.len() >= READ_AHEAD {
            std::future::pending::<()>().await;
        }
        match reader.read_buf(read_buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => has_next.set(true),
        }
    }
}
