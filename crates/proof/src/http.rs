//! HTTP requests with a timeout and a limit on the response body.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one request, from connecting to the response head.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Limit on the size of a response body, in bytes.
const BODY_BYTES: usize = 64 << 20;

/// A response whose body has been read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Value of the header `x-agate-execution`; `None` if it is absent or not text.
    pub execution: Option<String>,
    /// Body, as sent by the server without decompression.
    pub body: Vec<u8>,
}

impl Response {
    /// Decodes the body as JSON; panics with the status and the body if it is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|err| {
            let text = String::from_utf8_lossy(&self.body);
            panic!(
                "status {}: body does not decode as JSON ({err}): {text}",
                self.status
            )
        })
    }
}

/// A request that can be sent several times.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path, with the query if there is one.
    pub path: String,
    /// Names and values of the headers, in the order in which they are sent.
    pub headers: Vec<(String, String)>,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header; headers of the same name stay.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the body to the JSON form of `body` and adds its content type.
    pub fn json<T: Serialize>(mut self, body: &T) -> Self {
        self.body = serde_json::to_vec(body).expect("body serialises to JSON");
        self.header("content-type", "application/json")
    }

    /// Returns this request as one of `client`, without its body.
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

    /// Sends the request over a new connection and reads the whole response; the error says
    /// why there was none.
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
            execution: execution
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body: body.to_vec(),
        })
    }
}

/// Returns a client that follows no redirects.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(TIMEOUT)
        .disable_redirects()
        .finish()
}
