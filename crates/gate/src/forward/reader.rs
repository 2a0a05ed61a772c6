//! The caller's end of a streamed answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_core::Stream;
use tokio::sync::mpsc;

/// Part of an answer on its way to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Bytes, with the number of tokens that they carry.
    Data(Bytes, u64),
    /// The answer ends here.
    End,
}

/// What the caller's connection has taken.
#[derive(Debug, Default)]
pub struct Meter {
    tokens: Cell<u64>,
    ended: Cell<bool>,
}

impl Meter {
    /// Tokens taken.
    pub fn tokens(&self) -> u64 {
        self.tokens.get()
    }

    /// Whether the end was taken.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }
}

/// Stream of bytes for a response body. Dropping it tells the sender that the caller is gone.
pub struct Reader {
    frames: mpsc::Receiver<Frame>,
    meter: Rc<Meter>,
}

impl Reader {
    /// Reads from `frames` and counts in `meter`.
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
