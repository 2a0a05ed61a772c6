//! Connections on which a truncated response differs from a complete one.
//!
//! The HTTP client treats the end of a connection as the end of a body, whatever length was
//! announced. Here the end of a connection is an error, so that only a body that is complete by its
//! own framing ends without an error.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::Uri;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::tcp::TcpConnectorService;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP connection on which the end of input is an error.
#[derive(Debug)]
pub struct StrictStream(TcpStream);

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.remaining();
        let polled = Pin::new(&mut self.0).poll_read(cx, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) && before > 0 && buffer.remaining() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        polled
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}

/// Opens TCP connections as [`StrictStream`]s.
#[derive(Clone, Debug)]
pub struct Connector {
    tcp: TcpConnectorService,
    timeout: Duration,
}

impl Connector {
    /// Creates a connector whose connection attempts time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            tcp: TcpConnectorService::default(),
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
            Ok(Connection::new(uri, StrictStream(stream)))
        })
    }
}
