//! HTTP calls with explicit time limits.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest call.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Largest body.
const BODY_BYTES: usize = 64 << 20;

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Header `x-agate-execution`.
    pub execution: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|err| {
            let text = String::from_utf8_lossy(&self.body);
            panic!("status {}, {err}: {text}", self.status)
        })
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Receiver.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without headers and body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets a JSON body.
    pub fn json<T: Serialize>(mut self, body: &T) -> Self {
        self.body = serde_json::to_vec(body).expect("body serialises to JSON");
        self.header("content-type", "application/json")
    }

    /// Builds the request of a client.
    pub fn build(&self, client: &awc::Client) -> awc::ClientRequest {
        let url = format!("http://{}{}", self.address, self.path);
        let mut request = client
            .request(self.method.clone(), url)
            .no_decompress()
            .timeout(TIMEOUT);
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        request
    }

    /// Sends it over a new connection.
    pub async fn send(&self) -> Result<Response, String> {
        let client = client();
        let request = self.build(&client).force_close();
        let sent = request.send_body(self.body.clone()).await;
        let mut response = sent.map_err(|err| err.to_string())?;
        let body = response.body().limit(BODY_BYTES).await;
        let body = body.map_err(|err| err.to_string())?;
        let execution = response.headers().get("x-agate-execution");
        Ok(Response {
            status: response.status().as_u16(),
            execution: execution.and_then(|it| it.to_str().ok()).map(str::to_owned),
            body: body.to_vec(),
        })
    }
}

/// A client without redirects.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(TIMEOUT)
        .disable_redirects()
        .finish()
}
