//! Answers: their text, their progress, and the event streams that read them.

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
use crate::http::Answer;
use crate::ledger::{self, Outcome};
use crate::server::Shared;

/// What an engine answers to a request: a function of the request alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// Model.
    pub model: String,
    /// Tells answers to different requests apart.
    pub tag: String,
    /// Answer tokens.
    pub tokens: usize,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    is_limited: bool,
}

impl Script {
    /// Answer to a request. `max_tokens` sets the length; otherwise it is
    /// chosen by the request, between half of and one and a half of `mean_tokens`.
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
            tag: digest[..4].iter().map(|it| format!("{it:02x}")).collect(),
            tokens: usize::try_from(tokens.max(1)).unwrap_or(usize::MAX),
            prompt_tokens: prompt.len().div_ceil(TOKEN_BYTES) as u64,
            is_limited: completion.max_tokens.is_some(),
        }
    }

    /// Text of one token.
    pub fn token(&self, index: usize) -> String {
        format!("{}-{index} ", self.tag)
    }

    /// Whole text.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|it| self.token(it)).collect()
    }

    /// Number of chunks: one for each token, and a last one with the usage.
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

    fn chunk(&self, id: &str, index: usize) -> Chunk {
        let is_last = index == self.tokens;
        let delta = Delta {
            role: (index == 0).then(|| "assistant".to_owned()),
            content: (!is_last).then(|| self.token(index)),
        };
        Chunk {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            created: ledger::wall_ms() / 1000,
            model: self.model.clone(),
            choices: vec![Choice {
                index: 0,
                delta,
                finish_reason: is_last.then(|| self.finish_reason()),
            }],
            usage: is_last.then(|| self.usage()),
        }
    }

    fn event(&self, id: &str, index: usize) -> Bytes {
        let chunk = serde_json::to_string(&self.chunk(id, index));
        let chunk = chunk.expect("wire types serialise to JSON");
        Bytes::from(format!("id: {index}\ndata: {chunk}\n\n"))
    }
}

/// One answer.
#[derive(Debug)]
pub struct Stream {
    /// Identity of the request.
    pub id: String,
    /// What it says.
    pub script: Script,
    sequence: ledger::Sequence,
    produced: Cell<usize>,
    readers: Cell<usize>,
    unread_since: Cell<Option<Instant>>,
    ended: Cell<Option<Instant>>,
    cancelled: Cell<bool>,
    progress: Notify,
}

impl Stream {
    /// An answer that has not begun.
    pub fn new(id: String, sequence: ledger::Sequence, script: Script) -> Rc<Self> {
        Rc::new(Self {
            id,
            script,
            sequence,
            produced: Cell::new(0),
            readers: Cell::new(0),
            unread_since: Cell::new(Some(Instant::now())),
            ended: Cell::new(None),
            cancelled: Cell::new(false),
            progress: Notify::new(),
        })
    }

    /// Whether it is complete or cancelled.
    pub fn is_ended(&self) -> bool {
        self.ended.get().is_some()
    }

    /// Tokens generated so far.
    pub fn produced(&self) -> usize {
        self.produced.get()
    }

    /// Adds one token.
    pub(crate) fn advance(&self, shared: &Shared) {
        self.produced.set(self.produced.get() + 1);
        if self.produced.get() == self.script.tokens {
            self.produced.set(self.script.chunks());
            self.end(shared, Outcome::Completed);
        }
        self.progress.notify_waiters();
    }

    /// Ends an answer that is not complete.
    pub(crate) fn cancel(&self, shared: &Shared) {
        if !self.is_ended() {
            self.cancelled.set(true);
            self.end(shared, Outcome::Cancelled);
            self.progress.notify_waiters();
        }
    }

    /// Whether nobody has read it for longer than `limit`.
    pub(crate) fn is_orphaned(&self, limit: Duration) -> bool {
        self.unread_since
            .get()
            .is_some_and(|since| since.elapsed() > limit)
    }

    fn end(&self, shared: &Shared, outcome: Outcome) {
        self.ended.set(Some(Instant::now()));
        shared.ledger.borrow_mut().finish(self.sequence, outcome);
    }

    /// Waits until a chunk exists; false if it never will.
    async fn reached(&self, index: usize) -> bool {
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

/// Answers by request, kept for some time after their end.
#[derive(Debug, Default)]
pub struct Streams {
    by_request: HashMap<String, Rc<Stream>>,
}

impl Streams {
    /// Adds an answer; one to an earlier request of the same identity is replaced.
    pub fn insert(&mut self, stream: Rc<Stream>) {
        self.by_request.insert(stream.id.clone(), stream);
    }

    /// Answer to a request.
    pub fn get(&self, id: &str) -> Option<Rc<Stream>> {
        self.by_request.get(id).cloned()
    }

    /// Drops answers that ended more than `keep` ago.
    pub fn sweep(&mut self, keep: Duration) {
        self.by_request
            .retain(|_, it| it.ended.get().is_none_or(|at| at.elapsed() <= keep));
    }
}

/// Counts a reader of an answer while it lives.
struct Lease {
    stream: Rc<Stream>,
}

impl Lease {
    fn new(stream: Rc<Stream>) -> Self {
        stream.readers.set(stream.readers.get() + 1);
        stream.unread_since.set(None);
        Self { stream }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let readers = self.stream.readers.get() - 1;
        self.stream.readers.set(readers);
        if readers == 0 {
            self.stream.unread_since.set(Some(Instant::now()));
        }
    }
}

struct Reader {
    lease: Lease,
    engine: Rc<Engine>,
    connection: u64,
    next: usize,
    planned: VecDeque<usize>,
    sent: u64,
    done: bool,
}

impl Reader {
    async fn next(&mut self) -> Option<Bytes> {
        let stream = self.lease.stream.clone();
        if self.done {
            return None;
        }
        let faults = self.engine.shared.faults.borrow().of("/v1").clone();
        if faults.break_after_chunks > 0 && self.sent >= faults.break_after_chunks {
            return self.break_off().await;
        }
        if self.planned.is_empty() {
            if self.next >= stream.script.chunks() {
                self.done = true;
                return Some(Bytes::from_static(b"data: [DONE]\n\n"));
            }
            if !self.plan(&stream, faults.scramble).await {
                return self.break_off().await;
            }
        }
        let index = self.planned.pop_front()?;
        self.sent += 1;
        Some(stream.script.event(&stream.id, index))
    }

    /// Plans the next chunks to send; false if the answer was cancelled.
    async fn plan(&mut self, stream: &Stream, scramble: bool) -> bool {
        let first = self.next;
        let second = first + 1;
        if scramble && second < stream.script.chunks() {
            self.planned.extend([second, first, first]);
            self.next = second + 1;
            return stream.reached(second).await;
        }
        self.planned.push_back(first);
        self.next = second;
        stream.reached(first).await
    }

    async fn break_off(&self) -> Option<Bytes> {
        self.engine.shared.abort(self.connection);
        std::future::pending().await
    }
}

impl Engine {
    /// The events of an answer from an offset on.
    pub(crate) fn reader(
        self: &Rc<Self>,
        stream: Rc<Stream>,
        offset: usize,
        connection: u64,
    ) -> impl MessageBody + use<> {
        let reader = Reader {
            lease: Lease::new(stream),
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

    /// The whole answer, once it is complete.
    pub(crate) async fn whole(&self, stream: Rc<Stream>, connection: u64) -> Answer {
        let lease = Lease::new(stream);
        let stream = &lease.stream;
        let script = &stream.script;
        let break_after = self.shared.faults.borrow().of("/v1").break_after_chunks;
        let break_after = usize::try_from(break_after).unwrap_or(usize::MAX);
        if break_after > 0 && break_after < script.chunks() {
            stream.reached(break_after).await;
            self.shared.abort(connection);
            std::future::pending::<()>().await;
        }
        if !stream.reached(script.tokens).await {
            return Answer::error(409, "cancelled").unsettled();
        }
        Answer::json(&serde_json::json!({
            "id": stream.id,
            "object": "chat.completion",
            "created": ledger::wall_ms() / 1000,
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
