//! Error bodies in the form that OpenAI clients expect.

use agate_model::refusal::{Execution, Reason};
use serde::{Deserialize, Serialize};

/// Error body, serialised as `{"error": {...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Reason of the refusal and its details.
    pub error: Error,
}

/// Details of one refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Group of the reason: `invalid_request_error`, `authentication_error`, `rate_limit_error` or
    /// `server_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Stable code of the reason, see [`Reason::code`].
    pub code: String,
    /// Description of the error for people.
    pub message: String,
    /// Whether the request was executed: `not run` or `unknown`.
    pub execution: String,
    /// Identity of the request, as in the logs.
    pub request_id: String,
}

impl Body {
    /// Returns the error body for a refused request.
    pub fn new(
        reason: Reason,
        execution: Execution,
        message: impl Into<String>,
        request_id: impl Into<String>,
    ) -> Self {
        let kind = match reason.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        Self {
            error: Error {
                kind: kind.to_owned(),
                code: reason.code().to_owned(),
                message: message.into(),
                execution: execution.as_str().to_owned(),
                request_id: request_id.into(),
            },
        }
    }
}
