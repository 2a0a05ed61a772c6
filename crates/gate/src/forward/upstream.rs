//! The engine's side of a streamed response, across successive connections.

use std::time::Duration;

use agate_model::refusal::Reason;
use agate_stream::assembler::Assembler;
use bytes::Bytes;
use tokio::time::Instant;

use super::attempt::Exchange;
use super::cancel::Cancel;
use super::source::{Item, Source};
use crate::choice::Flight;
use crate::refusal::Denial;

/// Data of the event that ends a stream.
pub(super) const DONE: &[u8] = b"[DONE]";
/// Most chunks that are buffered while an earlier one is missing.
const MAX_HELD_CHUNKS: usize = 256;
/// Longest wait for a missing chunk while later ones are buffered.
const GAP_TIMEOUT: Duration = Duration::from_millis(500);

/// The attempt that produces the response: its connection, its buffered chunks and its resumes.
pub(super) struct Upstream {
    pub(super) flight: Flight,
    pub(super) cancel: Cancel,
    pub(super) started: Instant,
    pub(super) source: Source,
    pub(super) assembler: Assembler<Bytes>,
    next_unnumbered: u64,
    pub(super) resumes: u32,
    gap_since: Option<Instant>,
}

impl Upstream {
    /// Creates the upstream of a new attempt, with events of at most `bound` bytes.
    pub(super) fn new(exchange: Exchange, bound: usize) -> Self {
        Self {
            flight: exchange.flight,
            cancel: exchange.cancel,
            started: exchange.started,
            source: Source::new(exchange.response, bound),
            assembler: Assembler::new(MAX_HELD_CHUNKS),
            next_unnumbered: 0,
            resumes: 0,
            gap_since: None,
        }
    }

    /// Continues with the next missing chunk on another connection.
    pub(super) fn resume(&mut self, source: Source) {
        self.next_unnumbered = self.assembler.next_offset();
        self.assembler.reconnect();
        self.gap_since = None;
        self.source = source;
    }

    /// Adds one item to the assembler. Events without a number are assumed to arrive in order.
    /// Fails if chunks contradict each other.
    pub(super) fn accept(&mut self, item: Item) -> Result<(), Denial> {
        let event = match item {
            Item::End => {
                self.assembler.disconnect();
                return Ok(());
            }
            Item::Event(event) => event,
        };
        if event.data.as_ref() == DONE {
            self.assembler.finish(event.offset);
            return Ok(());
        }
        let offset = event.offset.unwrap_or(self.next_unnumbered);
        self.next_unnumbered = offset + 1;
        let pushed = self.assembler.push(offset, event.data);
        let contradiction = |err| Denial::new(Reason::EndpointFailed, format!("{err}"));
        pushed.map(drop).map_err(contradiction)
    }

    /// Returns whether a chunk has been missing for [`GAP_TIMEOUT`], and records since when one is
    /// missing.
    pub(super) fn is_gap_overdue(&mut self) -> bool {
        if self.assembler.held() == 0 {
            self.gap_since = None;
            return false;
        }
        let since = *self.gap_since.get_or_insert_with(Instant::now);
        since.elapsed() >= GAP_TIMEOUT
    }

    /// Returns the longest wait for the next item; `stall` if no chunk is missing.
    pub(super) fn next_timeout(&self, stall: Duration) -> Duration {
        match self.gap_since {
            Some(since) => GAP_TIMEOUT.saturating_sub(since.elapsed()),
            None => stall,
        }
    }
}
