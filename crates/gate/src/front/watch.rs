//! Time limits between the requests of one connection.
//!
//! The HTTP server bounds the time for the first request head of a connection
//! only. A caller that sends the beginning of a second one could hold its connection for ever.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Time at which a connection must have sent its next request head.
#[derive(Debug)]
pub struct Watch {
    due: Cell<Option<Instant>>,
    between: Duration,
}

/// A request in progress; its connection may stay silent meanwhile.
#[derive(Debug)]
pub struct Busy(Rc<Watch>);

impl Watch {
    /// A new connection: `first` for its first request head, `between` from one
    /// answer to the next request head.
    pub fn new(first: Duration, between: Duration) -> Rc<Self> {
        Rc::new(Self {
            due: Cell::new(Some(Instant::now() + first)),
            between,
        })
    }

    /// A request head has arrived.
    pub fn begin(self: &Rc<Self>) -> Busy {
        self.due.set(None);
        Busy(self.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.due.set(Some(Instant::now() + self.0.between));
    }
}

/// A connection that fails when its next request head is overdue.
#[derive(Debug)]
pub struct Watched<T> {
    io: T,
    watch: Rc<Watch>,
    timer: RefCell<Pin<Box<Sleep>>>,
}

impl<T> Watched<T> {
    /// Watches `io`.
    pub fn new(io: T, watch: Rc<Watch>) -> Self {
        Self {
            io,
            watch,
            timer: RefCell::new(Box::pin(tokio::time::sleep(Duration::ZERO))),
        }
    }

    /// The connection's limits.
    pub fn watch(&self) -> Rc<Watch> {
        self.watch.clone()
    }

    fn is_overdue(&self, cx: &mut Context<'_>) -> bool {
        let Some(due) = self.watch.due.get() else {
            return false;
        };
        let mut timer = self.timer.borrow_mut();
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        timer.as_mut().poll(cx).is_ready()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
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

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
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
