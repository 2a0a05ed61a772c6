//! Generated responses: their text, their progress, and the event streams that read them.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody};
use agate_model::key::Digest;
use agate_wire::engine::{Choice, Chunk, Completion, Delta, Usage};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Engine;
use super::cache::{TOKEN_BYTES, prompt};
use crate::http::Reply;
use crate::ledger::{self, Outcome};
use crate::server::Shared;

/// Predetermined response to a request, which depends on the request alone. Tests compute it to
/// check what they receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// Name of the model, as requested.
    pub model: String,
    /// Part of every token that distinguishes responses to different requests: 8 hexadecimal
    /// digits of a hash of model and prompt.
    pub tag: String,
    /// Number of response tokens, at least 1.
    pub tokens: usize,
    /// Number of prompt tokens, for the usage.
    pub prompt_tokens: u64,
    /// Whether `max_tokens` sets the length.
    is_limited: bool,
}

impl Script {
    /// Creates the response to a request. `max_tokens` sets the length; otherwise a hash of the
    /// request chooses it between half of and one and a half of `mean_tokens`.
    pub fn new(completion: &Completion, mean_tokens: u32) -> Self {
        let prompt = prompt(completion);
        let input = format!("{}\n{prompt}", completion.model);
        let digest = Digest::of(input.as_bytes()).0;
        let choice = u32::from_le_bytes([digest[4], digest[5], digest[6], digest[7]]);
        let tokens = match completion.max_tokens {
            Some(limit) => limit,
            None => mean_tokens / 2 + choice % (mean_tokens + 1),
        };
        Self {
            model: completion.model.clone(),
            tag: digest[..4]
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect(),
            tokens: usize::try_from(tokens.max(1)).unwrap_or(usize::MAX),
            prompt_tokens: prompt.len().div_ceil(TOKEN_BYTES) as u64,
            is_limited: completion.max_tokens.is_some(),
        }
    }

    /// Returns the text of the token with this index, counted from 0.
    pub fn token(&self, index: usize) -> String {
        format!("{}-{index} ", self.tag)
    }

    /// Returns the complete text of the response.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Returns the number of chunks: one for each token, and a last one with the usage.
    pub fn chunks(&self) -> usize {
        self.tokens + 1
    }

    fn usage(&self) -> Usage {
        let completion_tokens = self.tokens as u64;
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens: self.prompt_tokens + completion_tokens,
        }
    }

    fn finish_reason(&self) -> String {
        if self.is_limited { "length" } else { "stop" }.to_owned()
    }

    /// Returns a chunk; the last one carries the finish reason and the usage.
    fn chunk(&self, id: &str, index: usize) -> Chunk {
        let is_last = index == self.tokens;
        let delta = Delta {
            role: (index == 0).then(|| "assistant".to_owned()),
            content: (!is_last).then(|| self.token(index)),
        };
        Chunk {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            created: ledger::unix_ms() / 1000,
            model: self.model.clone(),
            choices: vec![Choice {
                index: 0,
                delta,
                finish_reason: is_last.then(|| self.finish_reason()),
            }],
            usage: is_last.then(|| self.usage()),
        }
    }

    /// Returns a chunk as a server-sent event whose id is its index.
    fn event(&self, id: &str, index: usize) -> Bytes {
        let chunk = serde_json::to_string(&self.chunk(id, index));
        let chunk = chunk.expect("chunk serialises to JSON");
        Bytes::from(format!("id: {index}\ndata: {chunk}\n\n"))
    }
}

/// A response that is being generated, or has been.
#[derive(Debug)]
pub struct Stream {
    /// Request id by which the stream is resumed and cancelled.
    pub id: String,
    /// Predetermined content of the response.
    pub script: Script,
    sequence: ledger::Sequence,
    /// Chunks that readers may read.
    produced: Cell<usize>,
    readers: Cell<usize>,
    /// Time at which the last reader left; `None` while there is one.
    unread_since: Cell<Option<Instant>>,
    /// Time of completion or cancellation; `None` before.
    ended_at: Cell<Option<Instant>>,
    cancelled: Cell<bool>,
    progress: Notify,
}

impl Stream {
    /// Creates a response of which nothing is generated yet; `sequence` is that of the request in
    /// the ledger.
    pub fn new(id: String, sequence: ledger::Sequence, script: Script) -> Rc<Self> {
        Rc::new(Self {
            id,
            script,
            sequence,
            produced: Cell::new(0),
            readers: Cell::new(0),
            unread_since: Cell::new(Some(Instant::now())),
            ended_at: Cell::new(None),
            cancelled: Cell::new(false),
            progress: Notify::new(),
        })
    }

    /// Reports whether the response is complete or cancelled.
    pub fn is_ended(&self) -> bool {
        self.ended_at.get().is_some()
    }

    /// Returns the chunks available so far: one per token, and the usage chunk at the end.
    pub fn produced(&self) -> usize {
        self.produced.get()
    }

    /// Generates one token; after the last, adds the usage chunk and records the completion.
    pub(crate) fn advance(&self, shared: &Shared) {
        self.produced.set(self.produced.get() + 1);
        if self.produced.get() == self.script.tokens {
            self.produced.set(self.script.chunks());
            self.end(shared, Outcome::Completed);
        }
        self.progress.notify_waiters();
    }

    /// Cancels the response and records it in the ledger; does nothing if it has ended.
    pub(crate) fn cancel(&self, shared: &Shared) {
        if !self.is_ended() {
            self.cancelled.set(true);
            self.end(shared, Outcome::Cancelled);
            self.progress.notify_waiters();
        }
    }

    /// Reports whether the response has had no reader for longer than `limit`.
    pub(crate) fn is_orphaned(&self, limit: Duration) -> bool {
        self.unread_since
            .get()
            .is_some_and(|since| since.elapsed() > limit)
    }

    /// Records the time of the end and the outcome of the request.
    fn end(&self, shared: &Shared, outcome: Outcome) {
        self.ended_at.set(Some(Instant::now()));
        shared.ledger.borrow_mut().finish(self.sequence, outcome);
    }

    /// Waits until a chunk exists; returns false if the response is cancelled before.
    async fn wait_for_chunk(&self, index: usize) -> bool {
        loop {
            let mut progress = std::pin::pin!(self.progress.notified());
            progress.as_mut().enable();
            if self.produced.get() > index {
                return true;
            }
            if self.cancelled.get() {
                return false;
            }
            progress.await;
        }
    }
}

/// Responses by request id, kept after their end so that they can be resumed.
#[derive(Debug, Default)]
pub struct Streams {
    by_id: HashMap<String, Rc<Stream>>,
}

impl Streams {
    /// Adds a response; it replaces that of an earlier request with the same id.
    pub fn insert(&mut self, stream: Rc<Stream>) {
        self.by_id.insert(stream.id.clone(), stream);
    }

    /// Returns the response to the request with this id.
    pub fn get(&self, id: &str) -> Option<Rc<Stream>> {
        self.by_id.get(id).cloned()
    }

    /// Drops responses that ended more than `retention` ago.
    pub fn sweep(&mut self, retention: Duration) {
        self.by_id.retain(|_, stream| {
            stream
                .ended_at
                .get()
                .is_none_or(|ended_at| ended_at.elapsed() <= retention)
        });
    }
}

/// Counts as a reader of a response until it is dropped.
struct Guard {
    stream: Rc<Stream>,
}

impl Guard {
    fn new(stream: Rc<Stream>) -> Self {
        stream.readers.set(stream.readers.get() + 1);
        stream.unread_since.set(None);
        Self { stream }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let readers = self.stream.readers.get() - 1;
        self.stream.readers.set(readers);
        if readers == 0 {
            self.stream.unread_since.set(Some(Instant::now()));
        }
    }
}

/// Producer of the events of one HTTP response.
struct Reader {
    guard: Guard,
    engine: Rc<Engine>,
    connection: u64,
    /// Index of the first chunk that is not planned yet.
    next: usize,
    /// Indices of the next chunks to send, in this order.
    planned: VecDeque<usize>,
    sent: u64,
    done: bool,
}

impl Reader {
    /// Returns the next event; `None` after the end marker.
    async fn next(&mut self) -> Option<Bytes> {
        let stream = self.guard.stream.clone();
        if self.done {
            return None;
        }
        let faults = self.engine.shared.faults.borrow().for_path("/v1").clone();
        if faults.break_after_chunks > 0 && self.sent >= faults.break_after_chunks {
            return self.abort_connection().await;
        }
        if self.planned.is_empty() {
            if self.next >= stream.script.chunks() {
                self.done = true;
                return Some(Bytes::from_static(b"data: [DONE]\n\n"));
            }
            if !self.plan(&stream, faults.scramble).await {
                return self.abort_connection().await;
            }
        }
        let index = self.planned.pop_front()?;
        self.sent += 1;
        Some(stream.script.event(&stream.id, index))
    }

    /// Plans the next chunks and waits for them; returns false if the response was cancelled.
    async fn plan(&mut self, stream: &Stream, scramble: bool) -> bool {
        let first = self.next;
        let second = first + 1;
        if scramble && second < stream.script.chunks() {
            self.planned.extend([second, first, first]);
            self.next = second + 1;
            return stream.wait_for_chunk(second).await;
        }
        self.planned.push_back(first);
        self.next = second;
        stream.wait_for_chunk(first).await
    }

    /// Closes the connection without the end marker; never returns.
    async fn abort_connection(&self) -> Option<Bytes> {
        self.engine.shared.abort(self.connection);
        std::future::pending().await
    }
}

impl Engine {
    /// Returns a response body with the events from chunk `offset` on.
    pub(crate) fn event_body(
        self: &Rc<Self>,
        stream: Rc<Stream>,
        offset: usize,
        connection: u64,
    ) -> impl MessageBody + use<> {
        let reader = Reader {
            guard: Guard::new(stream),
            engine: self.clone(),
            connection,
            next: offset,
            planned: VecDeque::new(),
            sent: 0,
            done: false,
        };
        let events = futures_util::stream::unfold(reader, |mut reader| async move {
            let event = reader.next().await?;
            Some((Ok::<_, std::convert::Infallible>(event), reader))
        });
        BodyStream::new(Box::pin(events))
    }

    /// Waits until generation is complete and returns the response in one piece.
    pub(crate) async fn complete_response(&self, stream: Rc<Stream>, connection: u64) -> Reply {
        let guard = Guard::new(stream);
        let stream = &guard.stream;
        let script = &stream.script;
        let break_after = self
            .shared
            .faults
            .borrow()
            .for_path("/v1")
            .break_after_chunks;
        let break_after = usize::try_from(break_after).unwrap_or(usize::MAX);
        if break_after > 0 && break_after < script.chunks() {
            stream.wait_for_chunk(break_after).await;
            self.shared.abort(connection);
            std::future::pending::<()>().await;
        }
        if !stream.wait_for_chunk(script.tokens).await {
            return Reply::error(409, "cancelled").without_outcome();
        }
        Reply::json(&serde_json::json!({
            "id": stream.id,
            "object": "chat.completion",
            "created": ledger::unix_ms() / 1000,
            "model": script.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": script.text() },
                "finish_reason": script.finish_reason(),
            }],
            "usage": script.usage(),
        }))
    }
}
