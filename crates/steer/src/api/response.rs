//! Bodies of successful and failed responses.

use actix_http::StatusCode;
use agate_model::finding::Report;
use agate_wire::api;
use serde::Serialize;

use crate::config::commit;

/// Response with status 200.
#[derive(Clone, Debug)]
pub struct Response {
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Contents, in the form that the content type names.
    pub body: Vec<u8>,
    /// Entity tag, without quotation marks; `None` if the response has no `ETag` header.
    pub etag: Option<String>,
}

impl Response {
    /// Returns a response with `value` as JSON and without an entity tag.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self {
            content_type: "application/json",
            body: serde_json::to_vec(value).expect("response bodies serialize to JSON"),
            etag: None,
        }
    }

    /// Returns a response with a text of the given media type and without an entity tag.
    pub fn text(content_type: &'static str, text: String) -> Self {
        Self {
            content_type,
            body: text.into_bytes(),
            etag: None,
        }
    }
}

/// Response to a request that failed.
#[derive(Clone, Debug, Default)]
pub struct Failure {
    /// HTTP status that tells the kind of failure.
    pub status: StatusCode,
    /// Error code and message, with findings or conflicts where there are any.
    pub body: api::Failure,
}

impl Failure {
    /// Returns a failure with a stable code and a message for people.
    pub fn new(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        let body = api::Failure {
            code: code.to_owned(),
            message: message.into(),
            ..api::Failure::default()
        };
        Self { status, body }
    }

    /// Returns status 400, for a request that can't be parsed.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// Returns status 404, for a resource, version or path that doesn't exist.
    pub fn not_found(name: impl std::fmt::Display) -> Self {
        let message = format!("{name} does not exist");
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    /// Returns status 422 with all findings, for a resource or configuration that isn't valid.
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
