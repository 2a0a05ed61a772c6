//! Client of the resource API. A request is tried at each server in turn; a
//! change carries one idempotency key for all tries, so it is made at most once.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const PENDING_POLL: Duration = Duration::from_millis(200);
const ANSWER_BYTES: usize = 64 << 20;

/// Client of one deployment.
pub struct Client {
    servers: Vec<String>,
    credential: String,
    http: awc::Client,
}

/// One API call.
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
            idempotency_key: Some(nonce()),
            ..Self::get(path)
        }
    }

    fn with_body<T: Serialize>(mut self, body: &T) -> Result<Self, Error> {
        let body = serde_json::to_vec(body).map_err(|err| Error::Answer(err.to_string()))?;
        self.body = Some(body);
        Ok(self)
    }
}

fn nonce() -> String {
    let bytes: [u8; 16] = rand::rng().random();
    hex::encode(bytes)
}

impl Client {
    /// A client that tries `servers` in order.
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

    /// Resources, of one kind if given.
    pub async fn list(&self, kind: Option<&str>) -> Result<Listing, Error> {
        let path = match kind {
            Some(kind) => format!("/api/v1/resources?kind={kind}"),
            None => "/api/v1/resources".to_owned(),
        };
        self.call(Call::get(&path)).await
    }

    /// One resource.
    pub async fn get(&self, kind: &str, id: &str) -> Result<Resource, Error> {
        let path = format!("/api/v1/resources/{kind}/{id}");
        self.call(Call::get(&path)).await
    }

    /// Applies several edits together.
    pub async fn apply(&self, apply: &Apply) -> Result<Outcome, Error> {
        let call = Call::change(Method::POST, "/api/v1/apply").with_body(apply)?;
        self.call(call).await
    }

    /// Deletes a resource, if it has the expected version.
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

    /// Makes a key.
    pub async fn grant(&self, account: &str, request: &KeyRequest) -> Result<KeyIssued, Error> {
        let path = format!("/api/v1/keys/{account}");
        let call = Call::change(Method::POST, &path).with_body(request)?;
        self.call(call).await
    }

    /// Withdraws a key.
    pub async fn withdraw(&self, id: &str) -> Result<Outcome, Error> {
        let path = format!("/api/v1/keys/{id}");
        self.call(Call::change(Method::DELETE, &path)).await
    }

    /// Declares that the known run of a host has ended for good.
    pub async fn declare_ended(&self, host: &str) -> Result<Outcome, Error> {
        let path = format!("/api/v1/witnesses/{host}/ended");
        self.call(Call::change(Method::POST, &path)).await
    }

    /// State of the system.
    pub async fn status(&self) -> Result<Status, Error> {
        self.call(Call::get("/api/v1/status")).await
    }

    /// Usage of a window; the open one if not given.
    pub async fn usage(&self, window: Option<u64>) -> Result<Usage, Error> {
        let path = match window {
            Some(window) => format!("/api/v1/usage?window={window}"),
            None => "/api/v1/usage".to_owned(),
        };
        self.call(Call::get(&path)).await
    }

    /// Changes above `from`, waiting for the first up to `wait`.
    pub async fn watch(&self, from: Version, wait: Duration) -> Result<Watch, Error> {
        let path = format!("/api/v1/watch?from={from}&wait={}", wait.as_secs());
        let mut call = Call::get(&path);
        call.wait = wait;
        self.call(call).await
    }

    /// Waits until a change is in force, at most `timeout`.
    pub async fn await_accepted(
        &self,
        mut outcome: Outcome,
        timeout: Duration,
    ) -> Result<Outcome, Error> {
        let end = Instant::now() + timeout;
        let path = format!("/api/v1/changes/{}", outcome.version);
        while outcome.state == State::Pending && !outcome.dry_run {
            if Instant::now() >= end {
                return Err(Error::Pending(outcome.version));
            }
            sleep(PENDING_POLL).await;
            outcome = self.call(Call::get(&path)).await?;
        }
        Ok(outcome)
    }

    async fn call<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, Error> {
        let mut last = Error::Unreached("no server is given".to_owned());
        for server in &self.servers {
            match self.call_at(server, &call).await {
                Ok(value) => return Ok(value),
                Err(err @ Error::Unreached(_)) => last = err,
                Err(Error::Refused(failure)) if is_worth_another(&failure) => {
                    last = Error::Refused(failure);
                }
                Err(err) => return Err(err),
            }
        }
        Err(last)
    }

    async fn call_at<T: DeserializeOwned>(
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
            .map_err(|err| Error::Unreached(format!("{server}: {err}")))?;
        let body = response
            .body()
            .limit(ANSWER_BYTES)
            .await
            .map_err(|err| Error::Unreached(format!("{server}: {err}")))?;
        decode(response.status(), &body)
    }
}

fn is_worth_another(failure: &Failure) -> bool {
    matches!(
        failure.code.as_str(),
        "store_unavailable" | "outcome_unknown" | "internal"
    )
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|err| Error::Answer(err.to_string()));
    }
    match serde_json::from_slice::<Failure>(body) {
        Ok(failure) => Err(Error::Refused(Box::new(failure))),
        Err(_) => Err(Error::Answer(format!("status {status}"))),
    }
}
