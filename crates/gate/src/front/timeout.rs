//! Timeouts for the request heads of one connection.
//!
//! The HTTP server bounds the time for the first request head of a connection only. Without this
//! module a caller could hold its connection for ever by sending only part of a second one.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

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

/// Byte stream whose reads fail with `TimedOut` once the next request head is overdue.
#[derive(Debug)]
pub struct Stream<T> {
    io: T,
    deadline: Rc<Deadline>,
    timer: RefCell<Pin<Box<Sleep>>>,
}

impl<T> Stream<T> {
    /// Applies `deadline` to reads from `io`.
    pub fn new(io: T, deadline: Rc<Deadline>) -> Self {
        Self {
            io,
            deadline,
            timer: RefCell::new(Box::pin(tokio::time::sleep(Duration::ZERO))),
        }
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

impl<T: AsyncRead + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(cx, buffer);
        if polled.is_pending() && self.is_overdue(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
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
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
