//! Client of the resource API. A request is sent to each server in turn until one serves it. A
//! change carries the same idempotency key in all attempts, so that it is made at most once.

use std::time::Duration;

use agate_model::id::Version;
use agate_wire::api::{Apply, Failure, KeyIssued, KeyRequest, Listing, Outcome, State};
use agate_wire::api::{Status, Usage, Watch};
use agate_wire::change::Resource;
use awc::http::{Method, StatusCode};
use rand::Rng as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::error::Error;

/// Timeout of one attempt, in addition to the wait of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a pending change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP client with the servers of one deployment and the operator's credential.
pub struct Client {
    servers: Vec<String>,
    credential: String,
    http: awc::Client,
}

/// One API call, which may take several attempts.
struct Call<'a> {
    method: Method,
    path: &'a str,
    body: Option<Vec<u8>>,
    idempotency_key: Option<String>,
    if_match: Option<Version>,
    wait: Duration,
}

impl<'a> Call<'a> {
    fn get(path: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            body: None,
            idempotency_key: None,
            if_match: None,
            wait: Duration::ZERO,
        }
    }

    fn change(method: Method, path: &'a str) -> Self {
        Self {
            method,
            idempotency_key: Some(idempotency_key()),
            ..Self::get(path)
        }
    }

    fn with_body<T: Serialize>(mut self, body: &T) -> Result<Self, Error> {
        let body = serde_json::to_vec(body).map_err(|err| Error::Response(err.to_string()))?;
        self.body = Some(body);
        Ok(self)
    }
}

/// Returns a random idempotency key.
fn idempotency_key() -> String {
    let bytes: [u8; 16] = rand::rng().random();
    hex::encode(bytes)
}

impl Client {
    /// Creates a client that tries `servers`, given as `IP:PORT`, in order.
    pub fn new(servers: Vec<String>, credential: String) -> Self {
        let http = awc::Client::builder()
            .disable_redirects()
            .timeout(CALL_TIMEOUT)
            .finish();
        Self {
            servers,
            credential,
            http,
        }
    }

    /// Lists all resources, or those of one kind.
    pub async fn list(&self, kind: Option<&str>) -> Result<Listing, Error> {
        let path = match kind {
            Some(kind) => format!("/api/v1/resources?kind={kind}"),
            None => "/api/v1/resources".to_owned(),
        };
        self.call(Call::get(&path)).await
    }

    /// Returns one resource. Fails with code `not_found` if it does not exist.
    pub async fn get(&self, kind: &str, id: &str) -> Result<Resource, Error> {
        let path = format!("/api/v1/resources/{kind}/{id}");
        self.call(Call::get(&path)).await
    }

    /// Applies several edits as one change.
    pub async fn apply(&self, apply: &Apply) -> Result<Outcome, Error> {
        let call = Call::change(Method::POST, "/api/v1/apply").with_body(apply)?;
        self.call(call).await
    }

    /// Deletes a resource. Fails with a conflict if it does not have the expected version, if one
    /// is given.
    pub async fn delete(
        &self,
        kind: &str,
        id: &str,
        expected: Option<Version>,
    ) -> Result<Outcome, Error> {
        let path = format!("/api/v1/resources/{kind}/{id}");
        let mut call = Call::change(Method::DELETE, &path);
        call.if_match = expected;
        self.call(call).await
    }

    /// Issues a key for an account. The returned secret cannot be read again.
    pub async fn grant(&self, account: &str, request: &KeyRequest) -> Result<KeyIssued, Error> {
        let path = format!("/api/v1/keys/{account}");
        let call = Call::change(Method::POST, &path).with_body(request)?;
        self.call(call).await
    }

    /// Withdraws the key with this public name.
    pub async fn withdraw(&self, id: &str) -> Result<Outcome, Error> {
        let path = format!("/api/v1/keys/{id}");
        self.call(Call::change(Method::DELETE, &path)).await
    }

    /// Declares that the known incarnation of a host has ended for good.
    pub async fn declare_ended(&self, host: &str) -> Result<Outcome, Error> {
        let path = format!("/api/v1/witnesses/{host}/ended");
        self.call(Call::change(Method::POST, &path)).await
    }

    /// Returns the state of hosts, lease and endpoints.
    pub async fn status(&self) -> Result<Status, Error> {
        self.call(Call::get("/api/v1/status")).await
    }

    /// Returns the usage of the window that starts at this time, in seconds since the Unix epoch,
    /// or of the open window if none is given.
    pub async fn usage(&self, window: Option<u64>) -> Result<Usage, Error> {
        let path = match window {
            Some(window) => format!("/api/v1/usage?window={window}"),
            None => "/api/v1/usage".to_owned(),
        };
        self.call(Call::get(&path)).await
    }

    /// Returns the changes after version `from`. Waits up to `wait` for the first one (long poll).
    pub async fn watch(&self, from: Version, wait: Duration) -> Result<Watch, Error> {
        let path = format!("/api/v1/watch?from={from}&wait={}", wait.as_secs());
        let mut call = Call::get(&path);
        call.wait = wait;
        self.call(call).await
    }

    /// Polls until a change is in force. Fails with [`Error::Pending`] after `timeout`. Returns at
    /// once for a dry run.
    pub async fn await_accepted(
        &self,
        mut outcome: Outcome,
        timeout: Duration,
    ) -> Result<Outcome, Error> {
        let deadline = Instant::now() + timeout;
        let path = format!("/api/v1/changes/{}", outcome.version);
        while outcome.state == State::Pending && !outcome.dry_run {
            if Instant::now() >= deadline {
                return Err(Error::Pending(outcome.version));
            }
            sleep(POLL_INTERVAL).await;
            outcome = self.call(Call::get(&path)).await?;
        }
        Ok(outcome)
    }

    async fn call<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, Error> {
        let mut last_error = Error::Unreachable("no server address is given".to_owned());
        for server in &self.servers {
            match self.attempt(server, &call).await {
                Ok(value) => return Ok(value),
                Err(err @ Error::Unreachable(_)) => last_error = err,
                Err(Error::Refused(failure)) if is_retryable(&failure) => {
                    last_error = Error::Refused(failure);
                }
                Err(err) => return Err(err),
            }
        }
        Err(last_error)
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        server: &str,
        call: &Call<'_>,
    ) -> Result<T, Error> {
        let url = format!("http://{server}{}", call.path);
        let mut request = self
            .http
            .request(call.method.clone(), url)
            .timeout(CALL_TIMEOUT + call.wait)
            .insert_header(("authorization", format!("Bearer {}", self.credential)))
            .insert_header(("content-type", "application/json"));
        if let Some(key) = &call.idempotency_key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        if let Some(version) = call.if_match {
            request = request.insert_header(("if-match", format!("\"{version}\"")));
        }
        let mut response = request
            .send_body(call.body.clone().unwrap_or_default())
            .await
            .map_err(|err| Error::Unreachable(format!("{server}: {err}")))?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|err| Error::Unreachable(format!("{server}: {err}")))?;
        decode(response.status(), &body)
    }
}

/// Returns whether another server may serve a request that one server refused.
fn is_retryable(failure: &Failure) -> bool {
    matches!(
        failure.code.as_str(),
        "store_unavailable" | "outcome_unknown" | "internal"
    )
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|err| Error::Response(err.to_string()));
    }
    match serde_json::from_slice::<Failure>(body) {
        Ok(failure) => Err(Error::Refused(Box::new(failure))),
        Err(_) => Err(Error::Response(format!(
            "status {status} without a description of the failure"
        ))),
    }
}
