//! Answers and failures.

use actix_http::StatusCode;
use agate_model::finding::Report;
use agate_wire::api;
use serde::Serialize;

use crate::config::commit;

/// A successful answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Media type.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
    /// Entity tag, without quotation marks.
    pub etag: Option<String>,
}

impl Answer {
    /// A JSON answer.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self {
            content_type: "application/json",
            body: serde_json::to_vec(value).expect("answers are valid JSON"),
            etag: None,
        }
    }

    /// A text answer.
    pub fn text(content_type: &'static str, text: String) -> Self {
        Self {
            content_type,
            body: text.into_bytes(),
            etag: None,
        }
    }
}

/// A failed request.
#[derive(Clone, Debug, Default)]
pub struct Failure {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: api::Failure,
}

impl Failure {
    /// A failure with a code and a message.
    pub fn new(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        let body = api::Failure {
            code: code.to_owned(),
            message: message.into(),
            ..api::Failure::default()
        };
        Self { status, body }
    }

    /// The request cannot be understood.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// There is nothing of this name.
    pub fn not_found(name: impl std::fmt::Display) -> Self {
        let message = format!("{name} does not exist");
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    /// Faults of the contents.
    pub fn invalid(report: Report) -> Self {
        let message = format!("{} faults found", report.findings.len());
        let mut failure = Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message);
        failure.body.findings = report.findings.into_iter().map(Into::into).collect();
        failure
    }
}

impl From<commit::Failure> for Failure {
    fn from(failure: commit::Failure) -> Self {
        let message = failure.to_string();
        match failure {
            commit::Failure::Invalid(report) => Self::invalid(report),
            commit::Failure::Conflict(conflicts) => {
                let mut failure = Self::new(StatusCode::CONFLICT, "conflict", message);
                failure.body.conflicts = conflicts;
                failure
            }
            commit::Failure::NonceReused => {
                Self::new(StatusCode::CONFLICT, "nonce_reused", message)
            }
            commit::Failure::Forbidden(_) => Self::new(StatusCode::FORBIDDEN, "forbidden", message),
            commit::Failure::NotFound(_) => Self::new(StatusCode::NOT_FOUND, "not_found", message),
            commit::Failure::Unchanged => Self::new(StatusCode::CONFLICT, "unchanged", message),
            commit::Failure::Unavailable(_) => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "store_unavailable",
                format!("{message}; nothing was changed"),
            ),
            commit::Failure::Unknown(_) => Self::new(
                StatusCode::GATEWAY_TIMEOUT,
                "outcome_unknown",
                format!("{message}; repeat the request with the same Idempotency-Key"),
            ),
        }
    }
}
