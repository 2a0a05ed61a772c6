//! Byte stream of one connection, with timeouts for its request heads.
//!
//! The HTTP server bounds the time for the first request head of a connection only. Without this
//! module a caller could hold its connection for ever by sending only part of a second one.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_tls::accept::rustls_0_23::TlsStream;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use super::track::Track;

/// Time within which a caller sends the first byte of its request once it is connected. A shutdown
/// waits for it.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time by which a connection must have sent its next request head; unset while a request runs.
#[derive(Debug)]
pub struct Deadline {
    due: Cell<Option<Instant>>,
    between: Duration,
}

/// Guard of a running request. No deadline applies to the connection until the guard is dropped.
#[derive(Debug)]
pub struct Guard(Rc<Deadline>);

impl Deadline {
    /// Starts the deadline of a new connection. It has `first` for its first request head, and
    /// `between` from the end of a response to the next request head.
    pub fn new(first: Duration, between: Duration) -> Rc<Self> {
        Rc::new(Self {
            due: Cell::new(Some(Instant::now() + first)),
            between,
        })
    }

    /// Suspends the deadline when a request head has arrived. Dropping the guard sets the next one.
    pub fn suspend(self: &Rc<Self>) -> Guard {
        self.due.set(None);
        Guard(self.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.due.set(Some(Instant::now() + self.0.between));
    }
}

/// Byte stream over a socket.
pub trait Socket {
    /// Returns the socket.
    fn socket(&self) -> &TcpStream;

    /// Returns whether the kernel holds bytes, also if the runtime has not noticed them yet.
    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(self.socket()).peek(&mut byte);
        matches!(peeked, Ok(1..))
    }
}

impl Socket for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }
}

impl Socket for TlsStream<TcpStream> {
    fn socket(&self) -> &TcpStream {
        self.get_ref().0
    }
}

/// Byte stream whose reads fail with `TimedOut` once the next request head is overdue, and end
/// between two requests once the gate closes.
pub struct Stream<T> {
    io: T,
    deadline: Rc<Deadline>,
    timer: RefCell<Pin<Box<Sleep>>>,
    track: Rc<Track>,
    first_byte: Pin<Box<Sleep>>,
    closing: LocalBoxFuture<'static, ()>,
}

impl<T> Stream<T> {
    /// Applies `deadline` to reads from `io`, and tells `track` of what is read and written.
    pub fn new(io: T, deadline: Rc<Deadline>, track: Rc<Track>) -> Self {
        Self {
            io,
            deadline,
            timer: RefCell::new(Box::pin(tokio::time::sleep(Duration::ZERO))),
            first_byte: Box::pin(tokio::time::sleep(FIRST_BYTE_TIMEOUT)),
            closing: Box::pin(track.closing()),
            track,
        }
    }

    /// Returns the stage of this connection, which the HTTP handler changes.
    pub fn track(&self) -> Rc<Track> {
        self.track.clone()
    }

    /// Returns the deadline of this connection, which the HTTP handler suspends.
    pub fn deadline(&self) -> Rc<Deadline> {
        self.deadline.clone()
    }

    /// Returns whether the deadline has passed, and otherwise registers a wakeup for it.
    fn is_overdue(&self, cx: &mut Context<'_>) -> bool {
        let Some(due) = self.deadline.due.get() else {
            return false;
        };
        let mut timer = self.timer.borrow_mut();
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        timer.as_mut().poll(cx).is_ready()
    }
}

impl<T: Socket> Stream<T> {
    /// Returns whether the connection is to be closed between two requests, and otherwise registers
    /// a wakeup for that.
    fn has_ended(&mut self, cx: &mut Context<'_>) -> bool {
        if self.track.is_connected() && self.first_byte.as_mut().poll(cx).is_ready() {
            self.track.expire();
        }
        let is_closing = self.track.is_closing() || self.closing.as_mut().poll(cx).is_ready();
        is_closing && self.track.is_idle() && !self.io.has_unread()
    }
}

impl<T: AsyncRead + Socket + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.track.read();
        }
        if polled.is_pending() && self.is_overdue(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        if polled.is_pending() && self.has_ended(cx) {
            return Poll::Ready(Ok(()));
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        // The HTTP server flushes only once it has written all that it had to write.
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.track.flush();
            if self.track.is_idle() && self.track.is_closing() {
                // It reads before it writes, so without a wakeup it would not see the end.
                cx.waker().wake_by_ref();
            }
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
