//! HTTP client, request builders and polling functions for the tests.

use std::net::SocketAddr;
use std::time::Duration;

use agate_fake::engine::stream::Script;
use agate_fake::server::Options;
use agate_wire::engine::{Chunk, Completion, Message};
use agate_wire::fault::Faults;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

pub(crate) fn options() -> Options {
    Options {
        listen: ANY_PORT,
        idle: Duration::from_secs(5),
        seed: 7,
    }
}

/// Status and complete body of a response.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("response body parses as the expected type")
    }
}

pub(crate) struct Client {
    client: awc::Client,
    address: SocketAddr,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = awc::Client::builder()
            .timeout(Duration::from_secs(20))
            .disable_redirects()
            .finish();
        Self { client, address }
    }

    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Reply, String> {
        let method = method.parse().expect("method is valid");
        let mut request = self
            .client
            .request(method, format!("http://{}{path}", self.address))
            .force_close();
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request
            .send_body(body)
            .await
            .map_err(|err| err.to_string())?;
        let status = response.status().as_u16();
        let body = response.body().limit(1 << 24).await;
        let body = body.map_err(|err| err.to_string())?.to_vec();
        Ok(Reply { status, body })
    }

    pub(crate) async fn get(&self, path: &str) -> Reply {
        let reply = self.send("GET", path, &[], Vec::new()).await;
        reply.expect("request gets a response")
    }

    pub(crate) async fn post<T: Serialize>(&self, path: &str, body: &T) -> Reply {
        self.try_post(path, body)
            .await
            .expect("request gets a response")
    }

    pub(crate) async fn try_post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Reply, String> {
        let body = serde_json::to_vec(body).expect("body serialises");
        self.send("POST", path, &[("idempotency-key", "k")], body)
            .await
    }

    pub(crate) async fn set_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).expect("faults serialise");
        let reply = self.send("PUT", "/admin/faults", &[], body).await;
        assert_eq!(reply.expect("admin request gets a response").status, 200);
    }
}

pub(crate) fn completion(text: &str, tokens: u32, stream: bool) -> Completion {
    Completion {
        model: "prism".to_owned(),
        messages: vec![Message {
            role: "user".to_owned(),
            content: text.to_owned(),
        }],
        stream,
        max_tokens: Some(tokens),
    }
}

pub(crate) fn expected_text(completion: &Completion) -> String {
    Script::new(completion, 0).text()
}

/// One chunk of an event stream: its id and its text.
pub(crate) struct Event {
    pub(crate) offset: usize,
    pub(crate) text: String,
}

/// Returns the chunks of an event stream, and whether it ends with the end marker.
pub(crate) fn events(body: &[u8]) -> (Vec<Event>, bool) {
    let body = String::from_utf8_lossy(body);
    let mut events = Vec::new();
    for event in body.split("\n\n") {
        let Some((id, data)) = event.split_once("\ndata: ") else {
            continue;
        };
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            continue;
        };
        events.push(Event {
            offset: id
                .trim_start_matches("id: ")
                .parse()
                .expect("id is an offset"),
            text: chunk.choices[0].delta.content.clone().unwrap_or_default(),
        });
    }
    (events, body.ends_with("data: [DONE]\n\n"))
}

/// Sends a completion and reads its event stream until it ends or the connection is closed.
pub(crate) async fn read_stream(
    address: SocketAddr,
    request_id: &str,
    completion: &Completion,
    priority: &str,
) -> Vec<u8> {
    use futures_util::StreamExt as _;
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let result = client
        .post(format!("http://{address}/v1/chat/completions"))
        .force_close()
        .insert_header(("x-request-id", request_id))
        .insert_header(("x-agate-priority", priority))
        .send_json(completion)
        .await;
    let mut response = result.expect("stream starts");
    let mut body = Vec::new();
    while let Some(Ok(chunk)) = response.next().await {
        body.extend_from_slice(&chunk);
    }
    body
}

/// Polls until a condition holds, for at most ten seconds.
pub(crate) async fn until(mut condition: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition does not hold after 10 s");
}

/// Polls a path until the response meets a condition, for at most ten seconds.
pub(crate) async fn until_response<T: DeserializeOwned>(
    client: &Client,
    path: &str,
    condition: impl Fn(&T) -> bool,
) -> T {
    for _ in 0..500 {
        let response = client.get(path).await.json();
        if condition(&response) {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("response of {path} does not meet the condition after 10 s");
}
