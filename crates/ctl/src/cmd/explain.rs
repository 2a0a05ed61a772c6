//! `agatectl explain`: shows how a gate would handle a request.

use std::time::Duration;

use bpaf::Bpaf;

use crate::config::print;
use crate::error::Error;

/// Timeout of the request to the gate.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Tell why a request would be admitted or refused, and where it would go
///
///
/// It asks the gate of one host, on its admin address. Nothing is sent to an endpoint.
///
///
/// Examples: `agatectl explain --gate 127.0.0.1:7441 --key-id night-shift-1 --model prism-8b`,
/// `agatectl explain --gate 127.0.0.1:7441 --key-id night-shift-1 --path /spindles/7`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("explain"))]
pub struct Args {
    /// Admin address of the gate
    #[bpaf(long, env("AGATE_GATE_ADMIN"), argument("IP:PORT"))]
    gate: String,
    /// Public name of the caller's key
    #[bpaf(long, argument("ID"), optional)]
    key_id: Option<String>,
    /// Model that the request names
    #[bpaf(long, argument("MODEL"), optional)]
    model: Option<String>,
    /// Path of a plain call
    #[bpaf(long, argument("PATH"), optional)]
    path: Option<String>,
    /// Class that the request names
    #[bpaf(long, argument("CLASS"), optional)]
    class: Option<String>,
    /// Method of a plain call
    #[bpaf(long, argument("METHOD"), fallback("POST".to_owned()), display_fallback)]
    method: String,
}

impl Args {
    /// Requests the explanation from the gate and prints it as JSON.
    pub async fn run(self) -> Result<(), Error> {
        let unreachable = |err: String| Error::Unreachable(format!("{}: {err}", self.gate));
        let http = awc::Client::builder()
            .disable_redirects()
            .timeout(TIMEOUT)
            .finish();
        let request = http
            .get(format!("http://{}/explain", self.gate))
            .query(&self.query())
            .map_err(|err| Error::Response(err.to_string()))?;
        let mut response = request
            .send()
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        let body = response
            .body()
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        let value: serde_json::Value =
            serde_json::from_slice(&body).map_err(|err| Error::Response(err.to_string()))?;
        let text =
            serde_json::to_string_pretty(&value).map_err(|err| Error::Response(err.to_string()))?;
        print(&format!("{text}\n"))
    }

    fn query(&self) -> Vec<(&'static str, String)> {
        let optional = [
            ("key_id", &self.key_id),
            ("model", &self.model),
            ("path", &self.path),
            ("class", &self.class),
        ];
        let given = optional
            .into_iter()
            .filter_map(|(name, value)| value.clone().map(|value| (name, value)));
        given.chain([("method", self.method.clone())]).collect()
    }
}
