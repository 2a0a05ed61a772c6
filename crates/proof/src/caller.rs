//! Requests of callers: chat completions, streamed or not, and requests to plain services.

use std::net::SocketAddr;

use agate_wire::engine::{Chunk, Completion, Message};
use awc::http::Method;
use futures_util::StreamExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::http::{Request, Response, client};

/// Id of the model that chat completions name.
pub const MODEL: &str = "prism-8b";

/// The part of a streamed response that a caller has received so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    /// Status code; 0 if there was no response.
    pub status: u16,
    /// Value of the header `x-agate-execution`; `None` if it is absent or not text.
    pub execution: Option<String>,
    /// Content of all chunks, concatenated.
    pub text: String,
    /// Whether the end marker `[DONE]` has arrived.
    pub is_complete: bool,
    /// Body of a response other than 200, data of an error event in the stream, or reason why
    /// there was no response; `None` otherwise.
    pub error: Option<String>,
}

/// Returns the body of a chat completion with one user message and at most `tokens` tokens of
/// response.
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

/// Returns the text with which the engine stand-ins respond to a completion.
pub fn expected_text(completion: &Completion) -> String {
    agate_fake::engine::stream::Script::new(completion, 0).text()
}

/// Returns a request for a chat completion, authorized by `key`.
pub fn chat(gate: SocketAddr, key: &str, completion: &Completion) -> Request {
    Request::new(Method::POST, gate, "/v1/chat/completions")
        .header("authorization", format!("Bearer {key}"))
        .json(completion)
}

/// Returns a request of a class that is not idempotent, which the gate must not retry once it
/// may have run.
pub fn booking(gate: SocketAddr, key: &str, name: &str) -> Request {
    Request::new(Method::POST, gate, format!("/spindles/{name}"))
        .header("authorization", format!("Bearer {key}"))
        .json(&name)
}

/// Returns a request for the list of models, which a gate serves only with a valid key and a
/// current configuration.
pub fn models(gate: SocketAddr, key: &str) -> Request {
    Request::new(Method::GET, gate, "/v1/models").header("authorization", format!("Bearer {key}"))
}

/// Sends a streamed completion and reads the response to its end; calls `observe` after each
/// part of a 200 response.
pub async fn stream(request: &Request, mut observe: impl FnMut(&Transcript)) -> Transcript {
    let client = client();
    let mut transcript = Transcript::default();
    let sent = request
        .build(&client)
        .force_close()
        .send_body(request.body.clone())
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(err) => {
            transcript.error = Some(err.to_string());
            return transcript;
        }
    };
    transcript.status = response.status().as_u16();
    let execution = response.headers().get("x-agate-execution");
    transcript.execution = execution
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let mut buffer = Vec::new();
    while let Some(Ok(bytes)) = response.next().await {
        buffer.extend_from_slice(&bytes);
        if transcript.status != 200 {
            continue;
        }
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            transcript.add_event(&String::from_utf8_lossy(&event));
        }
        observe(&transcript);
    }
    if transcript.status != 200 {
        transcript.error = Some(String::from_utf8_lossy(&buffer).into_owned());
    }
    transcript
}

impl Transcript {
    /// Adds one server-sent event with the lines that start with `data: `.
    fn add_event(&mut self, event: &str) {
        let lines = event.lines().filter_map(|line| line.strip_prefix("data: "));
        let data: String = lines.collect();
        if data == "[DONE]" {
            self.is_complete = true;
        } else if let Ok(chunk) = serde_json::from_str::<Chunk>(&data) {
            let choice = chunk.choices.into_iter().next();
            let text = choice.and_then(|choice| choice.delta.content);
            self.text.push_str(&text.unwrap_or_default());
        } else if !data.is_empty() {
            self.error = Some(data);
        }
    }
}

/// A connection to a gate that stays open between requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Connects to the gate at this address.
    pub async fn open(gate: SocketAddr) -> Self {
        let stream = TcpStream::connect(gate)
            .await
            .expect("gate accepts connections");
        Self { stream }
    }

    /// Requests the list of models and returns the status code of the response; `None` if the
    /// connection has been closed.
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
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |value| value.parse().unwrap_or(0));
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await.ok()?;
        head.split(' ').nth(1)?.parse().ok()
    }
}

/// Returns the error code in the body of a refusal; empty if the body has none.
pub fn error_code(response: &Response) -> String {
    let body: serde_json::Value = response.json();
    body["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
