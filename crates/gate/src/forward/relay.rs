//! Delivery of a streamed response: reassembly, resume, regeneration, and an explicit error event
//! when none of them succeeds.

use std::rc::Rc;

use agate_model::refusal::Reason;
use agate_retry::decision::{MAX_RESUMES, Outcome};
use agate_stream::assembler::State;
use agate_stream::replay::{Piece, Replay};
use agate_wire::engine::Usage;
use agate_wire::platform::Counters;
use bytes::{BufMut as _, Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{self, Attempts, Exchange};
use super::chunk::{self, Chunk};
use super::reader::{Frame, Meter, Reader};
use super::source::{self, Item, ResumeError, Source};
use super::upstream::{DONE, Upstream};
use crate::admission::{Cost, Slot};
use crate::choice;
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Why reading from a connection stopped: the response is complete, chunks from an offset are
/// missing, the caller has disconnected, or the response failed.
enum Stop {
    Complete,
    Missing(u64),
    CallerGone,
    Failed(Denial),
}

/// Delivers one streamed response to its caller.
pub struct Relay {
    gate: Rc<Gate>,
    work: Rc<Work>,
    attempts: Attempts,
    progress: Option<Progress>,
    frames: mpsc::Sender<Frame>,
    meter: Rc<Meter>,
    replay: Replay,
    regenerated: bool,
    single_choice: bool,
    finished: bool,
    tokens: u64,
    usage: Option<Usage>,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
}

impl Relay {
    /// Starts the delivery in a task of its own and returns the response body.
    pub fn start(
        gate: Rc<Gate>,
        work: Rc<Work>,
        slot: Slot,
        attempts: Attempts,
        (exchange, progress): (Exchange, Progress),
    ) -> Reader {
        let (frames, receiver) = mpsc::channel(gate.settings.limits.stream_events);
        let meter = Rc::new(Meter::default());
        let upstream = Upstream::new(exchange, gate.settings.limits.event.bytes());
        let relay = Self {
            gate,
            work,
            attempts,
            progress: Some(progress),
            frames,
            meter: meter.clone(),
            replay: Replay::default(),
            regenerated: false,
            single_choice: true,
            finished: false,
            tokens: 0,
            usage: None,
            first_token: None,
            last_token: None,
        };
        // A shutdown waits until the usage is recorded, not only until the response is delivered. The
        // guard is taken before the task runs, so that the request and the task overlap.
        let guard = relay.gate.activity.start_task();
        actix_rt::spawn(async move {
            relay.run(upstream, slot).await;
            drop(guard);
        });
        Reader::new(receiver, meter)
    }

    async fn run(mut self, upstream: Upstream, mut slot: Slot) {
        let is_complete = self.deliver(upstream).await;
        let usage = self.usage.unwrap_or_default();
        slot.charge(Cost {
            prompt_tokens: usage.prompt_tokens,
            answer_tokens: self.tokens.max(usage.completion_tokens),
        });
        drop(slot);
        // The caller may still be reading buffered frames.
        let read_timeout = self.gate.settings.limits.read_timeout;
        let _ = tokio::time::timeout(read_timeout, self.frames.closed()).await;
        self.record_delivery(is_complete);
    }

    /// Delivers until the response is complete, has failed, or its caller has disconnected. Returns
    /// whether it is complete.
    async fn deliver(&mut self, mut upstream: Upstream) -> bool {
        loop {
            match self.read(&mut upstream).await {
                Stop::Complete => {
                    upstream.cancel.close();
                    upstream
                        .flight
                        .close(self.success_outcome(upstream.started));
                    let done = frame(DONE, 0);
                    return self.send(done).await.is_ok() && self.send(Frame::End).await.is_ok();
                }
                Stop::CallerGone => return false,
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

    fn success_outcome(&self, started: Instant) -> choice::Outcome {
        let usage = self.usage.unwrap_or_default();
        choice::Outcome::Responded {
            total: started.elapsed(),
            prompt_tokens: usage.prompt_tokens,
            answer_tokens: self.tokens.max(usage.completion_tokens),
        }
    }

    async fn read(&mut self, upstream: &mut Upstream) -> Stop {
        let stall = self.gate.settings.limits.stall_timeout;
        loop {
            let item = tokio::select! {
                () = self.frames.closed() => return Stop::CallerGone,
                item = tokio::time::timeout(upstream.next_timeout(stall), upstream.source.next()) => item,
            };
            if let Err(denial) = upstream.accept(item.unwrap_or(Item::End)) {
                return Stop::Failed(denial);
            }
            while let Some(data) = upstream.assembler.pop() {
                if let Err(stop) = self.forward(data).await {
                    return stop;
                }
            }
            if upstream.is_gap_overdue() {
                return Stop::Missing(upstream.assembler.next_offset());
            }
            match upstream.assembler.state(self.finished) {
                State::Open => {}
                State::Complete => return Stop::Complete,
                State::Missing { from } => return Stop::Missing(from),
            }
        }
    }

    async fn forward(&mut self, data: Bytes) -> Result<(), Stop> {
        let chunk = Chunk::read(&data);
        let Some(data) = self.undelivered(&chunk, data)? else {
            return Ok(());
        };
        let tokens = u64::from(!chunk.text.is_empty());
        self.single_choice &= chunk.single_choice;
        self.finished |= chunk.finished;
        self.usage = chunk.usage.or(self.usage);
        if tokens > 0 {
            self.record_token();
        }
        self.send(frame(&data, tokens)).await
    }

    /// Returns the part of a chunk that the caller has not received, or `None` if there is none.
    /// Fails if a regenerated response differs from what was delivered.
    fn undelivered(&mut self, chunk: &Chunk, data: Bytes) -> Result<Option<Bytes>, Stop> {
        if self.regenerated && chunk.is_preamble() {
            return Ok(None);
        }
        let diverged = || {
            let message = "the answer broke off, and another engine generates it differently";
            Stop::Failed(Denial::new(Reason::EndpointFailed, message))
        };
        let piece = self.replay.accept(&chunk.text).map_err(|_| diverged())?;
        let ends = chunk.finished || chunk.usage.is_some();
        match piece {
            Piece::Skip if ends && !self.replay.is_caught_up() => Err(diverged()),
            Piece::Skip if ends => Ok(Some(chunk::with_text(&data, ""))),
            Piece::Skip => Ok(None),
            Piece::Rest(rest) => {
                self.replay.deliver(rest);
                Ok(Some(chunk::with_text(&data, rest)))
            }
            Piece::New(text) => {
                self.replay.deliver(text);
                Ok(Some(data))
            }
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        self.tokens += 1;
        self.last_token = Some(now);
        if self.first_token.is_none() {
            self.first_token = Some(now);
            let latency = now - self.work.arrival;
            self.gate.metrics.first_token(&self.work.class.id, latency);
        }
    }

    /// Sends a frame to the caller's connection. A caller that does not read for `read_timeout` is
    /// treated as disconnected.
    async fn send(&self, frame: Frame) -> Result<(), Stop> {
        let read_timeout = self.gate.settings.limits.read_timeout;
        match tokio::time::timeout(read_timeout, self.frames.send(frame)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Stop::CallerGone),
        }
    }

    /// Resumes the stream on the same engine at chunk `from`, or has it regenerated. Returns `None`
    /// after the failure was reported to the caller.
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
                Err(ResumeError::Failed) => {}
                Err(ResumeError::Unknown) => break,
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

    /// Sends the request again so that another engine generates the response from its start.
    async fn regenerate(&mut self) -> Result<Upstream, Refusal> {
        let failed = Outcome::Failed;
        let Some(progress) = self.progress.take() else {
            unreachable!("progress is put back by each regeneration");
        };
        if !self.single_choice {
            return Err(progress.refuse(attempt::denial(failed)));
        }
        let progress = self
            .attempts
            .prepare_retry(Retry::Regenerate, progress, failed)
            .await?;
        let (exchange, progress) = self.attempts.run(progress).await?;
        if !exchange.is_event_stream() {
            return Err(progress.refuse(attempt::denial(failed)));
        }
        self.progress = Some(progress);
        self.replay.restart();
        self.regenerated = true;
        Ok(Upstream::new(
            exchange,
            self.gate.settings.limits.event.bytes(),
        ))
    }

    async fn fail(&mut self, denial: Denial) {
        if let Some(progress) = self.progress.take() {
            self.report(&progress.refuse(denial)).await;
        }
    }

    /// Sends an error event to the caller. No `[DONE]` follows, so the response can't be mistaken
    /// for a complete one.
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

    /// Records usage, wasted tokens and latency by what the caller received.
    fn record_delivery(&self, is_complete: bool) {
        let class = &self.work.class;
        let is_complete = is_complete && self.meter.is_ended();
        let usage = self.usage.unwrap_or_default();
        let received = match is_complete {
            true => self.tokens.max(usage.completion_tokens),
            false => self.meter.tokens(),
        };
        self.gate
            .metrics
            .wasted(&class.id, self.tokens.saturating_sub(received));
        self.gate.record_usage(
            &self.work,
            Counters {
                requests: u64::from(is_complete),
                prompt_tokens: if is_complete { usage.prompt_tokens } else { 0 },
                answer_tokens: received,
                late_requests: 0,
            },
        );
        if is_complete {
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

/// Encodes one server-sent event, with one `data` field for each line.
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
