//! Delivery of a streamed answer: reassembly, resume, regeneration, and an
//! explicit error event where none of them helps.

use std::rc::Rc;

use agate_model::refusal::Reason;
use agate_retry::decision::{MAX_RESUMES, Outcome};
use agate_stream::assembler::State;
use agate_stream::replay::{Piece, Replay};
use agate_wire::engine::Usage;
use agate_wire::platform::Figures;
use bytes::{BufMut as _, Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{self, Answered, Attempts};
use super::chunk::{self, Chunk};
use super::reader::{Frame, Meter, Reader};
use super::source::{self, Item, Source, Unresumed};
use super::upstream::{DONE, Upstream};
use crate::admission::{Cost, Slot};
use crate::choice;
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Why a connection is no longer read.
enum Stop {
    Whole,
    Missing(u64),
    Gone,
    Failed(Denial),
}

/// Delivery of one streamed answer.
pub struct Relay {
    gate: Rc<Gate>,
    work: Rc<Work>,
    attempts: Attempts,
    progress: Option<Progress>,
    frames: mpsc::Sender<Frame>,
    meter: Rc<Meter>,
    text: Replay,
    regenerated: bool,
    single: bool,
    finished: bool,
    tokens: u64,
    usage: Option<Usage>,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
}

impl Relay {
    /// Starts the delivery and returns what the caller reads.
    pub fn start(
        gate: Rc<Gate>,
        work: Rc<Work>,
        slot: Slot,
        attempts: Attempts,
        (answered, progress): (Answered, Progress),
    ) -> Reader {
        let (frames, receiver) = mpsc::channel(gate.settings.limits.stream_events);
        let meter = Rc::new(Meter::default());
        let upstream = Upstream::new(answered, gate.settings.limits.event.bytes());
        let relay = Self {
            gate,
            work,
            attempts,
            progress: Some(progress),
            frames,
            meter: meter.clone(),
            text: Replay::default(),
            regenerated: false,
            single: true,
            finished: false,
            tokens: 0,
            usage: None,
            first_token: None,
            last_token: None,
        };
        actix_rt::spawn(relay.run(upstream, slot));
        Reader::new(receiver, meter)
    }

    async fn run(mut self, upstream: Upstream, mut slot: Slot) {
        // A shutdown waits until the usage is counted, not only until the answer is delivered.
        let _held = self.gate.activity.hold();
        let whole = self.deliver(upstream).await;
        let usage = self.usage.unwrap_or_default();
        slot.charge(Cost {
            prompt_tokens: usage.prompt_tokens,
            answer_tokens: self.tokens.max(usage.completion_tokens),
        });
        drop(slot);
        // The caller may still be reading what is buffered.
        let read_timeout = self.gate.settings.limits.read_timeout;
        let _ = tokio::time::timeout(read_timeout, self.frames.closed()).await;
        self.account(whole);
    }

    /// Delivers until the answer is whole, failed, or nobody reads it. Returns whether it is whole.
    async fn deliver(&mut self, mut upstream: Upstream) -> bool {
        loop {
            match self.read(&mut upstream).await {
                Stop::Whole => {
                    upstream.cancel.close();
                    upstream.flight.close(self.answered(upstream.sent));
                    let done = frame(DONE, 0);
                    return self.send(done).await.is_ok() && self.send(Frame::End).await.is_ok();
                }
                Stop::Gone => return false,
                Stop::Failed(denial) => {
                    upstream.flight.close(choice::Outcome::Failed);
                    self.fail(denial).await;
                    return false;
                }
                Stop::Missing(from) => match self.recover(upstream, from).await {
                    Some(recovered) => upstream = recovered,
                    None => return false,
                },
            }
        }
    }

    fn answered(&self, sent: Instant) -> choice::Outcome {
        let usage = self.usage.unwrap_or_default();
        choice::Outcome::Answered {
            total: sent.elapsed(),
            prompt_tokens: usage.prompt_tokens,
            answer_tokens: self.tokens.max(usage.completion_tokens),
        }
    }

    async fn read(&mut self, upstream: &mut Upstream) -> Stop {
        let stall = self.gate.settings.limits.stall_timeout;
        loop {
            let item = tokio::select! {
                () = self.frames.closed() => return Stop::Gone,
                item = tokio::time::timeout(upstream.next_timeout(stall), upstream.source.next()) => item,
            };
            if let Err(denial) = upstream.take(item.unwrap_or(Item::End)) {
                return Stop::Failed(denial);
            }
            while let Some(data) = upstream.assembler.pop() {
                if let Err(stop) = self.pass_on(data).await {
                    return stop;
                }
            }
            if upstream.watch_gap() {
                return Stop::Missing(upstream.assembler.next_offset());
            }
            match upstream.assembler.state(self.finished) {
                State::Open => {}
                State::Complete => return Stop::Whole,
                State::Missing { from } => return Stop::Missing(from),
            }
        }
    }

    async fn pass_on(&mut self, data: Bytes) -> Result<(), Stop> {
        let chunk = Chunk::read(&data);
        let Some(data) = self.unseen(&chunk, data)? else {
            return Ok(());
        };
        let tokens = u64::from(!chunk.text.is_empty());
        self.single &= chunk.single;
        self.finished |= chunk.finished;
        self.usage = chunk.usage.or(self.usage);
        if tokens > 0 {
            self.note_token();
        }
        self.send(frame(&data, tokens)).await
    }

    /// The part of a chunk that the caller does not have yet.
    fn unseen(&mut self, chunk: &Chunk, data: Bytes) -> Result<Option<Bytes>, Stop> {
        if self.regenerated && chunk.is_preamble() {
            return Ok(None);
        }
        let diverged = || {
            let message = "the answer broke off, and another engine generates it differently";
            Stop::Failed(Denial::new(Reason::EndpointFailed, message))
        };
        let piece = self.text.accept(&chunk.text).map_err(|_| diverged())?;
        let ends = chunk.finished || chunk.usage.is_some();
        match piece {
            Piece::Skip if ends && !self.text.is_caught_up() => Err(diverged()),
            Piece::Skip if ends => Ok(Some(chunk::with_text(&data, ""))),
            Piece::Skip => Ok(None),
            Piece::Rest(rest) => {
                self.text.deliver(rest);
                Ok(Some(chunk::with_text(&data, rest)))
            }
            Piece::New(text) => {
                self.text.deliver(text);
                Ok(Some(data))
            }
        }
    }

    fn note_token(&mut self) {
        let now = Instant::now();
        self.tokens += 1;
        self.last_token = Some(now);
        if self.first_token.is_none() {
            self.first_token = Some(now);
            let after = now - self.work.arrival;
            self.gate.metrics.first_token(&self.work.class.id, after);
        }
    }

    /// Hands a frame over. A caller that does not read for long is taken to be gone.
    async fn send(&self, frame: Frame) -> Result<(), Stop> {
        let limit = self.gate.settings.limits.read_timeout;
        match tokio::time::timeout(limit, self.frames.send(frame)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Stop::Gone),
        }
    }

    async fn recover(&mut self, mut upstream: Upstream, from: u64) -> Option<Upstream> {
        while upstream.resumes < MAX_RESUMES {
            if let Err(denial) = self.gate.recheck_key(&self.work) {
                self.fail(denial).await;
                return None;
            }
            self.gate.metrics.retried(Retry::Resume);
            upstream.resumes += 1;
            tokio::time::sleep(self.gate.budgets.resume_wait(upstream.resumes)).await;
            let endpoint = upstream.flight.endpoint();
            let attempt = upstream.cancel.attempt();
            tracing::info!(event = "resume", request = %attempt, endpoint = %endpoint.id, offset = from);
            match source::resume(&self.gate.client, endpoint, attempt, from).await {
                Ok(response) => {
                    let bound = self.gate.settings.limits.event.bytes();
                    upstream.resume(Source::new(response, bound));
                    return Some(upstream);
                }
                Err(Unresumed::Failed) => {}
                Err(Unresumed::Unknown) => break,
            }
        }
        upstream.flight.close(choice::Outcome::Failed);
        match self.regenerate().await {
            Ok(regenerated) => Some(regenerated),
            Err(refusal) => {
                self.report(&refusal).await;
                None
            }
        }
    }

    /// Has another engine generate the answer from its beginning.
    async fn regenerate(&mut self) -> Result<Upstream, Refusal> {
        let failed = Outcome::Failed;
        let Some(progress) = self.progress.take() else {
            unreachable!("progress is put back by each regeneration");
        };
        if !self.single {
            return Err(progress.refuse(attempt::denial(failed)));
        }
        let progress = self
            .attempts
            .again(Retry::Regenerate, progress, failed)
            .await?;
        let (answered, progress) = self.attempts.run(progress).await?;
        if !answered.is_event_stream() {
            return Err(progress.refuse(attempt::denial(failed)));
        }
        self.progress = Some(progress);
        self.text.restart();
        self.regenerated = true;
        Ok(Upstream::new(
            answered,
            self.gate.settings.limits.event.bytes(),
        ))
    }

    async fn fail(&mut self, denial: Denial) {
        if let Some(progress) = self.progress.take() {
            self.report(&progress.refuse(denial)).await;
        }
    }

    /// Tells the caller that the answer is not whole. Without `[DONE]` after it, nobody takes it for the end.
    async fn report(&self, refusal: &Refusal) {
        self.gate.metrics.refused(refusal.reason());
        tracing::warn!(
            event = "stream_failed",
            request = %self.work.id,
            reason = refusal.reason().code(),
            detail = refusal.message(),
        );
        let body = serde_json::to_vec(&refusal.body(&self.work.id)).unwrap_or_default();
        let reported = self.send(frame(&body, 0)).await;
        if reported.is_ok() {
            let _ = self.send(Frame::End).await;
        }
    }

    /// Counts what the caller received.
    fn account(&self, whole: bool) {
        let class = &self.work.class;
        let whole = whole && self.meter.is_ended();
        let usage = self.usage.unwrap_or_default();
        let received = match whole {
            true => self.tokens.max(usage.completion_tokens),
            false => self.meter.tokens(),
        };
        self.gate
            .metrics
            .wasted(&class.id, self.tokens.saturating_sub(received));
        self.gate.record_usage(
            &self.work,
            Figures {
                requests: u64::from(whole),
                prompt_tokens: if whole { usage.prompt_tokens } else { 0 },
                answer_tokens: received,
                late_requests: 0,
            },
        );
        if whole {
            let cost = Cost {
                prompt_tokens: usage.prompt_tokens,
                answer_tokens: received,
            };
            self.gate.estimates.borrow_mut().observe(&class.id, cost);
            let end = self.last_token.unwrap_or_else(Instant::now);
            let duration = end - self.work.arrival;
            self.gate
                .metrics
                .delivered(&class.id, duration, self.is_attained(end));
        }
    }

    fn is_attained(&self, end: Instant) -> bool {
        let target = &self.work.class.target;
        let first = self.first_token.unwrap_or(end);
        let gaps = u32::try_from(self.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        let mean_gap = (end - first).checked_div(gaps).unwrap_or_default();
        first - self.work.arrival <= target.first_token
            && mean_gap <= target.between_tokens
            && end <= self.work.deadline
    }
}

/// One event. Data of several lines needs several fields.
fn frame(data: &[u8], tokens: u64) -> Frame {
    let mut bytes = BytesMut::with_capacity(data.len() + 8);
    for line in data.split(|byte| *byte == b'\n') {
        bytes.put_slice(b"data: ");
        bytes.put_slice(line);
        bytes.put_u8(b'\n');
    }
    bytes.put_u8(b'\n');
    Frame::Data(bytes.freeze(), tokens)
}
