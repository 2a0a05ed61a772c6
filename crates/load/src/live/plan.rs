//! Settings file of live load.

use std::net::SocketAddr;
use std::time::Duration;

use agate_model::finding::Report;
use agate_settings::file::Check;
use serde::Deserialize;

/// Default of settings that are on unless turned off.
fn yes() -> bool {
    true
}

/// Default of [`RequestKind::Plain::method`].
fn get() -> String {
    "GET".to_owned()
}

/// Load of `agate-load run` and `agate-load baseline`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the arrival times.
    pub seed: u64,
    /// Time over which requests arrive, from the start.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Entry hosts that are first requested for `/v1/addresses`.
    #[serde(default)]
    pub gates: Vec<SocketAddr>,
    /// Kinds of requests, all sent in parallel.
    pub calls: Vec<Call>,
}

/// Requests of one kind, with their rate and targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Name in the results, where calls of the same class are added up; also sent as
    /// `x-agate-class` if `send_class` is set.
    pub class: String,
    /// Whether the class is sent to the entry host.
    #[serde(default)]
    pub send_class: bool,
    /// API key of the caller; `None` sends no `authorization` header. Never sent to endpoints.
    #[serde(default)]
    pub key: Option<String>,
    /// Mean requests per second; must be above 0.
    pub rate: f64,
    /// Endpoints that `agate-load baseline` calls in round-robin order.
    #[serde(default)]
    pub endpoints: Vec<SocketAddr>,
    /// Target for the time from arrival to the first token, or to the response of a plain call.
    #[serde(with = "humantime_serde")]
    pub first_token: Duration,
    /// Target for the mean time between tokens.
    #[serde(with = "humantime_serde")]
    pub between_tokens: Duration,
    /// Time from arrival to the whole response after which the request is given up.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Request to send.
    pub what: RequestKind,
}

/// Content of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RequestKind {
    /// Chat completion, `POST /v1/chat/completions`.
    Model {
        /// Name of the model.
        model: String,
        /// Length of the prompt in words.
        prompt_words: usize,
        /// Limit on the response in tokens.
        max_tokens: u32,
        /// Whether the response is streamed as server-sent events.
        #[serde(default = "yes")]
        stream: bool,
    },
    /// Request to a plain HTTP service.
    Plain {
        /// HTTP method; `GET` by default and if it is not a valid method.
        #[serde(default = "get")]
        method: String,
        /// Path and query of the URL.
        path: String,
        /// Request body; empty by default.
        #[serde(default)]
        body: String,
        /// Whether each request carries a unique `idempotency-key`.
        #[serde(default)]
        idempotency_key: bool,
    },
}

impl Check for Plan {
    fn check(&self, report: &mut Report) {
        if self.gates.is_empty() && self.calls.iter().all(|call| call.endpoints.is_empty()) {
            report.push(
                "gates",
                "must name at least one entry host, unless the calls name endpoints",
            );
        }
        for (n, call) in self.calls.iter().enumerate() {
            if call.rate <= 0.0 {
                report.push(format!("calls[{n}].rate"), "must be above 0");
            }
        }
    }
}
