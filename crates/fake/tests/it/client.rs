//! HTTP client and small helpers of the tests.

use std::net::SocketAddr;
use std::time::Duration;

use agate_fake::engine::stream::Script;
use agate_fake::server::Options;
use agate_wire::engine::{Chunk, Completion, Message};
use agate_wire::fault::Faults;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

pub(crate) fn options() -> Options {
    Options {
        listen: ANY,
        idle: Duration::from_secs(5),
        seed: 7,
    }
}

/// Status and body.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("body has the wire form")
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
        let mut response = request.send_body(body).await.map_err(|it| it.to_string())?;
        let status = response.status().as_u16();
        let body = response.body().limit(1 << 24).await;
        let body = body.map_err(|it| it.to_string())?.to_vec();
        Ok(Reply { status, body })
    }

    pub(crate) async fn get(&self, path: &str) -> Reply {
        let reply = self.send("GET", path, &[], Vec::new()).await;
        reply.expect("request is answered")
    }

    pub(crate) async fn post<T: Serialize>(&self, path: &str, body: &T) -> Reply {
        self.try_post(path, body)
            .await
            .expect("request is answered")
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
        assert_eq!(reply.expect("admin paths answer").status, 200);
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

pub(crate) fn expected(completion: &Completion) -> String {
    Script::new(completion, 0).text()
}

/// One event of an answer.
pub(crate) struct Event {
    pub(crate) offset: usize,
    pub(crate) text: String,
}

/// Chunks of an event stream, and whether it ended with the end marker.
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

/// Reads an event stream until it ends or breaks off.
pub(crate) async fn read_stream(
    address: SocketAddr,
    request: &str,
    completion: &Completion,
    priority: &str,
) -> Vec<u8> {
    use futures_util::StreamExt as _;
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let sent = client
        .post(format!("http://{address}/v1/chat/completions"))
        .force_close()
        .insert_header(("x-request-id", request))
        .insert_header(("x-agate-priority", priority))
        .send_json(completion)
        .await;
    let mut response = sent.expect("stream begins");
    let mut body = Vec::new();
    while let Some(Ok(part)) = response.next().await {
        body.extend_from_slice(&part);
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

/// Polls an interface until its answer meets a condition, for at most ten seconds.
pub(crate) async fn until_answer<T: DeserializeOwned>(
    client: &Client,
    path: &str,
    condition: impl Fn(&T) -> bool,
) -> T {
    for _ in 0..500 {
        let answer = client.get(path).await.json();
        if condition(&answer) {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} does not meet the condition after 10 s");
}
