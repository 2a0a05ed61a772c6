//! Responses of this host's own interfaces: addresses, readiness, metrics, tables for other hosts.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use agate_memory::{Budget, Size};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::config::Limits;
use crate::edge::InFlight;
use crate::server::{End, Handler, Incoming, ResponseWriter, Unanswered};

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status of the response, 200 by default.
    pub status: StatusCode,
    /// Headers other than those that the codec sets.
    pub headers: HeaderMap,
    /// Complete body, empty if there is none.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without headers and body.
    pub fn bare(status: StatusCode) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }
}

/// Produces complete responses.
pub trait Responder {
    /// Returns the response to one request.
    fn respond<'a>(&'a self, incoming: &'a Incoming) -> LocalBoxFuture<'a, Response>;

    /// Returns the budget that holds the connections and their bytes; by default one that bounds nothing.
    fn memory(&self) -> Rc<Budget> {
        Budget::new(Size::UNBOUNDED)
    }

    /// Returns whether connections are to be closed after the current request.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Adapts a [`Responder`] to a [`Handler`] with default limits.
#[derive(Debug)]
pub struct Adapter<S>(pub S);

impl<S: Responder> Handler for Adapter<S> {
    fn handle<'a>(
        &'a self,
        incoming: Incoming,
        writer: &'a mut ResponseWriter<'_>,
    ) -> LocalBoxFuture<'a, End> {
        Box::pin(async move {
            let response = self.0.respond(&incoming).await;
            match writer
                .send(response.status, response.headers, response.body)
                .await
            {
                Ok(()) => End::Complete,
                Err(_) => End::Aborted,
            }
        })
    }

    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn memory(&self) -> Rc<Budget> {
        self.0.memory()
    }

    fn is_closing(&self) -> bool {
        self.0.is_closing()
    }

    fn closing(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(std::future::pending())
    }

    fn last_call(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(std::future::pending())
    }

    fn track(&self) -> Option<InFlight> {
        None
    }

    fn rejected(&self, status: StatusCode, fault: &str) {
        tracing::info!(
            event = "question_unreadable",
            status = status.as_u16(),
            fault
        );
    }

    fn unanswered(&self, _what: Unanswered) {}
}
