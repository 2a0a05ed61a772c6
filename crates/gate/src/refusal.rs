//! Refusals: why a request got no response from an endpoint, and what is known of its execution.
//!
//! Checks return a [`Denial`], which carries no execution state. Only [`Progress`] turns it into
//! a [`Refusal`], and the refusal reports "not run" only while [`Progress`] holds the [`Unsent`]
//! that sending consumes.

use std::time::Duration;

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode, body::BoxBody};
use agate_model::refusal::{Execution, Reason};
use agate_retry::attempt::{Opening, Resend, Sent, Unconnected, Unsent};
use agate_wire::refusal::Body;

/// Response header that states whether a refused request was executed.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("x-agate-execution");
/// Header that carries the request ID.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Retry delay of a denial that sets no other.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for refusing a request, without a statement on its execution.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", .reason.code())]
pub struct Denial {
    /// Reason, which determines the error code, the HTTP status and the counter.
    pub reason: Reason,
    /// Human-readable description for the caller.
    pub message: String,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl Denial {
    /// Creates a denial that suggests a retry after one second.
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            retry_after: RETRY_AFTER,
        }
    }

    /// Replaces the suggested retry delay.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = delay;
        self
    }
}

/// Whether a request may have reached an endpoint. It can't be copied, and sending consumes it.
#[derive(Debug)]
pub enum Progress {
    /// No byte has reached an endpoint.
    Unsent(Unsent),
    /// The request may have been executed.
    Sent(Sent),
}

/// The right to send a request on one connection.
#[derive(Debug)]
pub enum SendPermit {
    /// The first send of the request.
    First(Opening),
    /// A later send, which only idempotent requests allow.
    Resend(Sent, Resend),
}

impl Progress {
    /// Creates the progress of a request that was just received.
    pub(crate) fn received(idempotent: bool) -> Self {
        Self::Unsent(Unsent::new(idempotent))
    }

    /// Refuses the request and states what is known of its execution.
    pub fn refuse(self, denial: Denial) -> Refusal {
        let execution = match self {
            Self::Unsent(unsent) => unsent.refuse(denial.reason).execution(),
            Self::Sent(sent) => sent.fail(denial.reason).execution(),
        };
        Refusal { denial, execution }
    }

    /// Returns the right to send the request, or the unchanged progress if it may not be sent
    /// again.
    pub fn permit_send(self) -> Result<SendPermit, Progress> {
        match self {
            Self::Unsent(unsent) => Ok(SendPermit::First(unsent.open())),
            Self::Sent(mut sent) => match sent.resend() {
                Some(resend) => Ok(SendPermit::Resend(sent, resend)),
                None => Err(Self::Sent(sent)),
            },
        }
    }

    /// Returns whether a byte may have reached an endpoint.
    pub fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}

impl SendPermit {
    /// Records that a byte may have been sent.
    pub fn send(self) -> Sent {
        match self {
            Self::First(opening) => opening.send(),
            Self::Resend(sent, _) => sent,
        }
    }

    /// Records that no connection was made; a first send stays unsent.
    pub fn fail(self, proof: Unconnected) -> Progress {
        match self {
            Self::First(opening) => Progress::Unsent(opening.fail(proof)),
            Self::Resend(sent, _) => Progress::Sent(sent),
        }
    }
}

/// A denial together with what is known of the execution of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    denial: Denial,
    execution: Execution,
}

impl Refusal {
    /// Creates a refusal because of an earlier submission of the same request. Its execution state
    /// is that of the earlier submission.
    pub fn claimed(denial: Denial) -> Self {
        Self {
            execution: agate_claim::execution(denial.reason),
            denial,
        }
    }

    /// Creates a refusal of a request that is given up while it may be running.
    pub fn given_up(denial: Denial) -> Self {
        Self {
            execution: Execution::Unknown,
            denial,
        }
    }

    /// Returns the reason of the denial.
    pub fn reason(&self) -> Reason {
        self.denial.reason
    }

    /// Returns what is known of the execution.
    pub fn execution(&self) -> Execution {
        self.execution
    }

    /// Returns the human-readable description for the caller.
    pub fn message(&self) -> &str {
        &self.denial.message
    }

    /// Returns the JSON error body.
    pub fn body(&self, request_id: &str) -> Body {
        Body::new(
            self.denial.reason,
            self.execution,
            &self.denial.message,
            request_id,
        )
    }

    /// Returns the HTTP response, whose headers carry the execution state, the retry delay rounded
    /// up to seconds, at least one, and the request ID.
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
