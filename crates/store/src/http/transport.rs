//! Connections on which a truncated response differs from a complete one, and which a request that was
//! given up does not outlive.
//!
//! The HTTP client treats the end of a connection as the end of a body, whatever length was
//! announced. Here the end of a connection is an error, so that only a body that is complete by its
//! own framing ends without an error.
//!
//! A regular close leaves unsent bytes to the kernel, which delivers them after an interruption of the
//! network. A connection that is dropped before a byte of the response has come is reset instead.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Error of a connection that served a call before, and that ended before a byte of the response to the
/// next one came. The peer may have closed it for being idle while the request was on its way.
#[derive(Debug, thiserror::Error)]
#[error("connection closed before a response: {0}")]
pub struct Stale(io::Error);

/// A TCP connection on which the end of input is an error.
#[derive(Debug)]
pub struct StrictStream {
    stream: TcpStream,
    /// Whether bytes were written and none was read since.
    is_unanswered: bool,
    /// Whether a byte was ever read.
    is_used: bool,
}

impl From<TcpStream> for StrictStream {
    fn from(stream: TcpStream) -> Self {
        Self {
            stream,
            is_unanswered: false,
            is_used: false,
        }
    }
}

impl StrictStream {
    /// Wraps an error in [`Stale`] if it is one; the kind stays the same.
    fn mark(&self, error: io::Error) -> io::Error {
        if self.is_used && self.is_unanswered {
            return io::Error::new(error.kind(), Stale(error));
        }
        error
    }
}

impl Drop for StrictStream {
    fn drop(&mut self) {
        if self.is_unanswered {
            // This fails only for a connection that is gone already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.remaining();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if let Poll::Ready(Err(err)) = polled {
            return Poll::Ready(Err(self.mark(err)));
        }
        if polled.is_pending() || before == 0 {
            return polled;
        }
        if buffer.remaining() == before {
            let end = io::ErrorKind::UnexpectedEof.into();
            return Poll::Ready(Err(self.mark(end)));
        }
        self.is_unanswered = false;
        self.is_used = true;
        polled
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.is_unanswered |= matches!(polled, Poll::Ready(Ok(1..)));
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Opens TCP connections as [`StrictStream`]s.
#[derive(Clone)]
pub struct Connector {
    tcp: ConnectorService,
    timeout: Duration,
}

impl Connector {
    /// Creates a connector whose connection attempts time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            tcp: ConnectorService::default(),
            timeout,
        }
    }
}

impl Service<ConnectInfo<Uri>> for Connector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, ConnectError>>;

    actix_service::always_ready!();

    fn call(&self, request: ConnectInfo<Uri>) -> Self::Future {
        let connecting = tokio::time::timeout(self.timeout, self.tcp.call(request));
        Box::pin(async move {
            let unreachable = |_| ConnectError::Io(io::ErrorKind::HostUnreachable.into());
            let connected = connecting.await.map_err(unreachable)?;
            let (stream, uri) = connected?.into_parts();
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, StrictStream::from(stream)))
        })
    }
}
