//! Tracks the requests of one connection, so that a shutdown neither cuts one nor closes the
//! connection under it.
//!
//! A request counts as running from its first byte until its response is written. The HTTP server
//! can't do that: it closes a connection for a shutdown without regard to what the caller has sent.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::error::PayloadError;
use actix_http::{Payload, Request};
use bytes::Bytes;
use futures_util::Stream;

use crate::activity::{Activity, Guard, Phase};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its caller has connected, and is probably sending the first request.
    Connected,
    /// No byte of the next request has been read.
    Idle,
    /// A request is being read, and its handler has not started.
    Reading,
    /// A handler is running, or its response body is being read.
    Responding,
    /// The response is complete, but not all of it is written.
    Answered,
    /// The last response is written, and the HTTP server closes the connection.
    Closing,
}

/// Stage of a connection, which the count of running requests follows.
#[derive(Debug)]
pub struct Track {
    activity: Activity,
    stage: Cell<Stage>,
    guard: RefCell<Option<Guard>>,
    /// Whether the body of the latest request was read to its end.
    received: Cell<bool>,
    /// Whether the latest response is the last one of the connection.
    last: Cell<bool>,
}

/// Guard of a request whose handler has started. Dropping it states that its response is complete.
#[derive(Debug)]
pub struct Running(Rc<Track>);

impl Track {
    /// Tracks a connection that was just accepted.
    pub fn new(activity: Activity) -> Rc<Self> {
        let guard = activity.start_task();
        Rc::new(Self {
            activity,
            stage: Cell::new(Stage::Connected),
            guard: RefCell::new(Some(guard)),
            received: Cell::new(true),
            last: Cell::new(false),
        })
    }

    /// Returns whether the first byte of the first request has yet to come.
    pub fn is_connected(&self) -> bool {
        self.stage.get() == Stage::Connected
    }

    /// Records that the caller has connected without sending a request.
    pub fn expire(&self) {
        if self.is_connected() {
            self.enter(Stage::Idle);
        }
    }

    /// Returns whether the connection may be closed between two requests.
    pub fn is_idle(&self) -> bool {
        self.stage.get() == Stage::Idle
    }

    /// Returns whether idle connections are to be closed.
    pub fn is_closing(&self) -> bool {
        self.activity.phase() >= Phase::Closing
    }

    /// Waits until idle connections are to be closed.
    pub fn closing(&self) -> impl Future<Output = ()> + use<> {
        self.activity.reached(Phase::Closing)
    }

    /// Records that bytes were read.
    pub fn read(&self) {
        match self.stage.get() {
            Stage::Connected | Stage::Idle | Stage::Answered => self.enter(Stage::Reading),
            Stage::Reading | Stage::Responding | Stage::Closing => {}
        }
    }

    /// Records that the handler of `request` starts.
    pub fn start(self: &Rc<Self>, request: &mut Request) -> Running {
        self.enter(Stage::Responding);
        self.last.set(false);
        let payload = request.take_payload();
        let has_body = !matches!(payload, Payload::None);
        self.received.set(!has_body);
        if has_body {
            *request.payload() = Payload::Stream {
                payload: Box::pin(Body {
                    payload,
                    track: self.clone(),
                }),
            };
        }
        Running(self.clone())
    }

    /// Records that all that the HTTP server had to write is written.
    pub fn flush(&self) {
        if self.stage.get() == Stage::Answered {
            self.enter(if self.last.get() {
                Stage::Closing
            } else {
                Stage::Idle
            });
        }
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        let guard = match stage {
            Stage::Connected | Stage::Closing => Some(self.activity.start_task()),
            Stage::Reading | Stage::Responding | Stage::Answered => {
                Some(self.activity.start_request())
            }
            Stage::Idle => None,
        };
        self.guard.replace(guard);
    }
}

impl Running {
    /// Returns whether the connection must be closed after the response: the gate is closing, or the
    /// caller may still be sending the body.
    pub fn is_last(&self) -> bool {
        self.0.is_closing() || !self.0.received.get()
    }

    /// Records that the connection is closed after the response.
    pub fn set_last(&self) {
        self.0.last.set(true);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.enter(Stage::Answered);
    }
}

/// Request body that records its end.
struct Body {
    payload: Payload,
    track: Rc<Track>,
}

impl Stream for Body {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.payload).poll_next(cx);
        if let Poll::Ready(None) = polled {
            self.track.received.set(true);
        }
        polled
    }
}
