//! Refusals: why a request was not answered by an endpoint, and what is known of its execution.
//!
//! Checks return a [`Denial`], which says nothing about execution. Only
//! [`Progress`] turns it into a refusal, and it says "not run" only while it holds
//! the [`Unsent`] that sending consumes.

use std::time::Duration;

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode, body::BoxBody};
use agate_model::refusal::{Execution, Reason};
use agate_retry::attempt::{Opening, Resend, Sent, Unconnected, Unsent};
use agate_wire::refusal::Body;

/// Header that tells whether a refused request was executed.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("x-agate-execution");
/// Header with the identity of the request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request goes no further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", .reason.code())]
pub struct Denial {
    /// Code, status and counter.
    pub reason: Reason,
    /// For people.
    pub message: String,
    /// When the caller may try again.
    pub retry_after: Duration,
}

impl Denial {
    /// A denial that suggests another try after a second.
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            retry_after: RETRY_AFTER,
        }
    }

    /// The same with another suggestion.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = delay;
        self
    }
}

/// What is known of a request so far. It can't be copied, and sending consumes it.
#[derive(Debug)]
pub enum Progress {
    /// No byte has reached an endpoint.
    Unsent(Unsent),
    /// It may have been executed.
    Sent(Sent),
}

/// A request on its way into a connection.
#[derive(Debug)]
pub enum Handed {
    /// For the first time.
    First(Opening),
    /// Once more, which only idempotent requests allow.
    Again(Sent, Resend),
}

impl Progress {
    /// A request that was just received.
    pub(crate) fn received(idempotent: bool) -> Self {
        Self::Unsent(Unsent::new(idempotent))
    }

    /// Refuses the request with what is known of its execution.
    pub fn refuse(self, denial: Denial) -> Refusal {
        let execution = match self {
            Self::Unsent(unsent) => unsent.refuse(denial.reason).execution(),
            Self::Sent(sent) => sent.fail(denial.reason).execution(),
        };
        Refusal { denial, execution }
    }

    /// Hands the request to a connection, or gives it back if it may not be sent again.
    pub fn hand_over(self) -> Result<Handed, Progress> {
        match self {
            Self::Unsent(unsent) => Ok(Handed::First(unsent.open())),
            Self::Sent(mut sent) => match sent.resend() {
                Some(again) => Ok(Handed::Again(sent, again)),
                None => Err(Self::Sent(sent)),
            },
        }
    }

    /// Whether a byte may have reached an endpoint.
    pub fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}

impl Handed {
    /// A byte may have been sent.
    pub fn send(self) -> Sent {
        match self {
            Self::First(opening) => opening.send(),
            Self::Again(sent, _) => sent,
        }
    }

    /// No connection was made.
    pub fn fail(self, proof: Unconnected) -> Progress {
        match self {
            Self::First(opening) => Progress::Unsent(opening.fail(proof)),
            Self::Again(sent, _) => Progress::Sent(sent),
        }
    }
}

/// A refused request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    denial: Denial,
    execution: Execution,
}

impl Refusal {
    /// A refusal because of an earlier submission of the same request. It speaks of that one's execution.
    pub fn claimed(denial: Denial) -> Self {
        Self {
            execution: agate_claim::execution(denial.reason),
            denial,
        }
    }

    /// Why.
    pub fn reason(&self) -> Reason {
        self.denial.reason
    }

    /// What is known of the execution.
    pub fn execution(&self) -> Execution {
        self.execution
    }

    /// For people.
    pub fn message(&self) -> &str {
        &self.denial.message
    }

    /// Error body.
    pub fn body(&self, request_id: &str) -> Body {
        Body::new(
            self.denial.reason,
            self.execution,
            &self.denial.message,
            request_id,
        )
    }

    /// HTTP response.
    pub fn response(&self, request_id: &str) -> Response<BoxBody> {
        let status = StatusCode::from_u16(self.denial.reason.status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&self.body(request_id)).unwrap_or_default();
        let mut response = Response::with_body(status, BoxBody::new(body));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(
            EXECUTION_HEADER,
            HeaderValue::from_static(self.execution.as_str()),
        );
        let seconds = self.denial.retry_after.as_secs_f64().ceil().max(1.0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds as u64));
        if let Ok(id) = HeaderValue::from_str(request_id) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        response
    }
}
