//! The receiving end of a streamed response, read by the caller's connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_core::Stream;
use tokio::sync::mpsc;

/// A part of the response that is buffered for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Bytes of the body, and the number of tokens in them.
    Data(Bytes, u64),
    /// End of the response, also after an error event.
    End,
}

/// Counts what the caller's connection has read.
#[derive(Debug, Default)]
pub struct Meter {
    tokens: Cell<u64>,
    ended: Cell<bool>,
}

impl Meter {
    /// Returns the number of tokens read.
    pub fn tokens(&self) -> u64 {
        self.tokens.get()
    }

    /// Returns whether the end was read.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }
}

/// Byte stream of a response body. Dropping it closes the channel, by which the sender learns that
/// the caller has disconnected.
pub struct Reader {
    frames: mpsc::Receiver<Frame>,
    meter: Rc<Meter>,
}

impl Reader {
    /// Creates a stream that reads from `frames` and counts in `meter`.
    pub fn new(frames: mpsc::Receiver<Frame>, meter: Rc<Meter>) -> Self {
        Self { frames, meter }
    }
}

impl Stream for Reader {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.frames.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Frame::Data(bytes, tokens))) => {
                self.meter.tokens.set(self.meter.tokens.get() + tokens);
                Poll::Ready(Some(Ok(bytes)))
            }
            Poll::Ready(Some(Frame::End)) => {
                self.meter.ended.set(true);
                Poll::Ready(None)
            }
            Poll::Ready(None) => Poll::Ready(None),
        }
    }
}
