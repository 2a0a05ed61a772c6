//! Files of live load.

use std::net::SocketAddr;
use std::time::Duration;

use agate_model::finding::Report;
use agate_settings::file::Check;
use serde::Deserialize;

fn yes() -> bool {
    true
}

fn get() -> String {
    "GET".to_owned()
}

/// Live load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time over which requests arrive.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Entry hosts that are asked for `/v1/addresses`.
    #[serde(default)]
    pub gates: Vec<SocketAddr>,
    /// Requests.
    pub calls: Vec<Call>,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Name in the results; also sent as `x-agate-class` if `send_class` is set.
    pub class: String,
    /// Whether the class is named to the entry host.
    #[serde(default)]
    pub send_class: bool,
    /// Key of the caller; not sent to endpoints.
    #[serde(default)]
    pub key: Option<String>,
    /// Requests per second.
    pub rate: f64,
    /// Endpoints that serve it, for the baseline.
    #[serde(default)]
    pub endpoints: Vec<SocketAddr>,
    /// From arrival to the first token, or to the answer of a plain call.
    #[serde(with = "humantime_serde")]
    pub first_token: Duration,
    /// Longest mean gap between tokens.
    #[serde(with = "humantime_serde")]
    pub between_tokens: Duration,
    /// From arrival to the whole answer.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// What is called.
    pub what: What,
}

/// A model call or a plain call.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// `POST /v1/chat/completions`.
    Model {
        /// Model.
        model: String,
        /// Prompt, in words.
        prompt_words: usize,
        /// Longest answer, in tokens.
        max_tokens: u32,
        /// Whether the answer is streamed.
        #[serde(default = "yes")]
        stream: bool,
    },
    /// A plain HTTP call.
    Plain {
        /// Method.
        #[serde(default = "get")]
        method: String,
        /// Path and query.
        path: String,
        /// Body.
        #[serde(default)]
        body: String,
        /// Whether each request carries an `idempotency-key` of its own.
        #[serde(default)]
        idempotency_key: bool,
    },
}

impl Check for Plan {
    fn check(&self, report: &mut Report) {
        if self.gates.is_empty() && self.calls.iter().all(|call| call.endpoints.is_empty()) {
            report.push("gates", "name entry hosts, or endpoints of the calls");
        }
        for (n, call) in self.calls.iter().enumerate() {
            if call.rate <= 0.0 {
                report.push(format!("calls[{n}].rate"), "must be above 0");
            }
        }
    }
}
