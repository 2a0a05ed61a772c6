//! Error bodies in the form that OpenAI clients expect.

use agate_model::refusal::{Execution, Reason};
use serde::{Deserialize, Serialize};

/// `{"error": {...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Error,
}

/// One refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Group: `invalid_request_error`, `authentication_error`, `rate_limit_error` or `server_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// See [`Reason::code`].
    pub code: String,
    /// For people.
    pub message: String,
    /// `not run` or `unknown`.
    pub execution: String,
    /// Identity of the request, as in the logs.
    pub request_id: String,
}

impl Body {
    /// Body for a refusal.
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
