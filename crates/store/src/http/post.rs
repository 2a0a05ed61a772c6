//! POST requests over a new connection, with a last check before the first byte is written.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::call::{self, Response};
use super::transport::StrictStream;
use crate::error::Error;

/// POST request that is sent at most once, over a connection of its own.
pub struct Post<'a> {
    /// Address of the receiver; also the authority of the URL.
    pub address: SocketAddr,
    /// Path of the URL, starting with a slash.
    pub path: &'a str,
    /// Headers in addition to those that describe the body.
    pub headers: &'a [(&'a str, String)],
    /// Bearer token that authenticates the sender; `None` sends no `authorization` header.
    pub credential: Option<&'a str>,
    /// Body, in JSON.
    pub body: Bytes,
}

impl Post<'_> {
    /// Connects, sends the request and reads the response within `deadline`. `may_send` is checked
    /// until the first byte is written; if it returns false, nothing is sent. Every failure before
    /// the first byte is [`Error::Unreached`].
    pub async fn send(
        self,
        deadline: Duration,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Response, Error> {
        let expiry = Instant::now() + deadline;
        let stream = connect(self.address, expiry).await?;
        let written = Rc::new(Cell::new(false));
        let client = client_over(TrackedStream {
            stream: stream.into(),
            written: Rc::clone(&written),
        });
        let mut request = client
            .post(format!("http://{}{}", self.address, self.path))
            .force_close()
            .no_decompress()
            .content_type("application/json")
            .timeout(deadline);
        for (name, value) in self.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        if let Some(credential) = self.credential {
            request = request.bearer_auth(credential);
        }
        let call = guard(call::send(request, self.body), &written, may_send);
        let outcome = timeout_at(expiry, call).await;
        match outcome {
            Ok(Err(err)) if !written.get() => Err(Error::Unreached(err.to_string())),
            Ok(outcome) => outcome,
            Err(_) if !written.get() => Err(Error::Unreached("deadline passed".to_owned())),
            Err(_) => Err(Error::Unknown("deadline passed".to_owned())),
        }
    }
}

/// Opens a connection, or fails at the time `expiry`.
async fn connect(address: SocketAddr, expiry: Instant) -> Result<TcpStream, Error> {
    match timeout_at(expiry, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) => Err(Error::Unreached(err.to_string())),
        Err(_) => Err(Error::Unreached("timeout while connecting".to_owned())),
    }
}

/// Calls `may_send` before each poll of `call` until the first byte is written, and fails the call
/// once it returns false.
async fn guard<F>(call: F, written: &Cell<bool>, may_send: &dyn Fn() -> bool) -> F::Output
where
    F: Future<Output = Result<Response, Error>>,
{
    let mut call = pin!(call);
    poll_fn(|cx| {
        if !written.get() && !may_send() {
            return Poll::Ready(Err(Error::Unreached("no longer allowed".to_owned())));
        }
        call.as_mut().poll(cx)
    })
    .await
}

/// Creates a client whose only connection is `stream`.
fn client_over(stream: TrackedStream) -> awc::Client {
    let slot = Rc::new(RefCell::new(Some(stream)));
    let connector = fn_service(move |info: ConnectInfo<Uri>| {
        let stream = slot.borrow_mut().take();
        async move {
            let stream = stream.ok_or(ConnectError::Unresolved)?;
            Ok::<_, ConnectError>(Connection::new(info.request().clone(), stream))
        }
    });
    awc::Client::builder()
        .connector(awc::Connector::new().connector(connector))
        .disable_redirects()
        .finish()
}

/// Connection that records whether a byte may have been written.
#[derive(Debug)]
struct TrackedStream {
    stream: StrictStream,
    /// Set once a write of at least one byte has completed or failed.
    written: Rc<Cell<bool>>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        if !buf.is_empty() {
            self.written.set(true);
        }
        Poll::Ready(outcome)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for TrackedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
