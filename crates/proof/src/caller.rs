//! Callers: chat completions, whole and streamed, and plain calls.

use std::net::SocketAddr;

use agate_wire::engine::{Chunk, Completion, Message};
use awc::http::Method;
use futures_util::StreamExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::http::{Request, Response, client};

/// Model that the tests ask for.
pub const MODEL: &str = "prism-8b";

/// What a caller has received of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Streamed {
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Header `x-agate-execution`.
    pub execution: Option<String>,
    /// Text so far.
    pub text: String,
    /// Whether the end marker came.
    pub whole: bool,
    /// Body of a refusal, or of an error event in the stream.
    pub error: Option<String>,
}

/// A chat completion with one message.
pub fn completion(text: &str, tokens: u32, stream: bool) -> Completion {
    Completion {
        model: MODEL.to_owned(),
        messages: vec![Message {
            role: "user".to_owned(),
            content: text.to_owned(),
        }],
        stream,
        max_tokens: Some(tokens),
    }
}

/// Text that the engines answer to a completion.
pub fn expected(completion: &Completion) -> String {
    agate_fake::engine::stream::Script::new(completion, 0).text()
}

/// A chat completion request with a key.
pub fn chat(gate: SocketAddr, key: &str, completion: &Completion) -> Request {
    Request::new(Method::POST, gate, "/v1/chat/completions")
        .header("authorization", format!("Bearer {key}"))
        .json(completion)
}

/// A booking, which may not be repeated.
pub fn booking(gate: SocketAddr, key: &str, name: &str) -> Request {
    Request::new(Method::POST, gate, format!("/spindles/{name}"))
        .header("authorization", format!("Bearer {key}"))
        .json(&name)
}

/// Asks for the models, which needs a valid key and a current configuration.
pub fn models(gate: SocketAddr, key: &str) -> Request {
    Request::new(Method::GET, gate, "/v1/models").header("authorization", format!("Bearer {key}"))
}

/// Sends a streamed completion and reads it to its end; `seen` is called with each state.
pub async fn stream(request: &Request, mut seen: impl FnMut(&Streamed)) -> Streamed {
    let client = client();
    let mut streamed = Streamed::default();
    let sent = request
        .build(&client)
        .force_close()
        .send_body(request.body.clone())
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(err) => {
            streamed.error = Some(err.to_string());
            return streamed;
        }
    };
    streamed.status = response.status().as_u16();
    let execution = response.headers().get("x-agate-execution");
    streamed.execution = execution.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let mut buffer = Vec::new();
    while let Some(Ok(part)) = response.next().await {
        buffer.extend_from_slice(&part);
        if streamed.status != 200 {
            continue;
        }
        while let Some(end) = buffer.windows(2).position(|it| it == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            streamed.take(&String::from_utf8_lossy(&event));
        }
        seen(&streamed);
    }
    if streamed.status != 200 {
        streamed.error = Some(String::from_utf8_lossy(&buffer).into_owned());
    }
    streamed
}

impl Streamed {
    fn take(&mut self, event: &str) {
        let lines = event.lines().filter_map(|it| it.strip_prefix("data: "));
        let data: String = lines.collect();
        if data == "[DONE]" {
            self.whole = true;
        } else if let Ok(chunk) = serde_json::from_str::<Chunk>(&data) {
            let choice = chunk.choices.into_iter().next();
            let text = choice.and_then(|it| it.delta.content);
            self.text.push_str(&text.unwrap_or_default());
        } else if !data.is_empty() {
            self.error = Some(data);
        }
    }
}

/// One connection that stays open between requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Connects to a gate.
    pub async fn open(gate: SocketAddr) -> Self {
        let stream = TcpStream::connect(gate)
            .await
            .expect("gate accepts connections");
        Self { stream }
    }

    /// Asks for the models and answers the status; `None` if the connection has ended.
    pub async fn models(&mut self, key: &str) -> Option<u16> {
        let request =
            format!("GET /v1/models HTTP/1.1\r\nhost: gate\r\nauthorization: Bearer {key}\r\n\r\n");
        self.stream.write_all(request.as_bytes()).await.ok()?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let length = head
            .lines()
            .find_map(|it| it.strip_prefix("content-length: "))
            .map_or(0, |it| it.parse().unwrap_or(0));
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await.ok()?;
        head.split(' ').nth(1)?.parse().ok()
    }
}

/// Code of a refusal body.
pub fn code(response: &Response) -> String {
    let body: serde_json::Value = response.json();
    body["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
