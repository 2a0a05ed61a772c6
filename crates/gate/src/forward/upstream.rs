//! An engine's side of a streamed answer, over one connection after the other.

use std::time::Duration;

use agate_model::refusal::Reason;
use agate_stream::assembler::Assembler;
use bytes::Bytes;
use tokio::time::Instant;

use super::attempt::Answered;
use super::cancel::Cancel;
use super::source::{Item, Source};
use crate::choice::Flight;
use crate::refusal::Denial;

/// Data of the event that ends a stream.
pub(super) const DONE: &[u8] = b"[DONE]";
/// Chunks held because an earlier one is missing.
const HELD_CHUNKS: usize = 256;
/// Wait for a missing chunk while later ones arrive.
const GAP_TIMEOUT: Duration = Duration::from_millis(500);

/// Where the answer comes from.
pub(super) struct Upstream {
    pub(super) flight: Flight,
    pub(super) cancel: Cancel,
    pub(super) sent: Instant,
    pub(super) source: Source,
    pub(super) assembler: Assembler<Bytes>,
    sequence: u64,
    pub(super) resumes: u32,
    gap_since: Option<Instant>,
}

impl Upstream {
    /// The connection of a first attempt, with events of at most `bound` bytes.
    pub(super) fn new(answered: Answered, bound: usize) -> Self {
        Self {
            flight: answered.flight,
            cancel: answered.cancel,
            sent: answered.sent,
            source: Source::new(answered.response, bound),
            assembler: Assembler::new(HELD_CHUNKS),
            sequence: 0,
            resumes: 0,
            gap_since: None,
        }
    }

    /// Continues on another connection.
    pub(super) fn resume(&mut self, source: Source) {
        self.sequence = self.assembler.next_offset();
        self.assembler.reconnect();
        self.gap_since = None;
        self.source = source;
    }

    /// Takes one item in. Engines that number nothing are taken to keep the order.
    pub(super) fn take(&mut self, item: Item) -> Result<(), Denial> {
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
        let offset = event.offset.unwrap_or(self.sequence);
        self.sequence = offset + 1;
        let pushed = self.assembler.push(offset, event.data);
        let contradiction = |err| Denial::new(Reason::EndpointFailed, format!("{err}"));
        pushed.map(drop).map_err(contradiction)
    }

    /// Whether a chunk has been missing for too long.
    pub(super) fn watch_gap(&mut self) -> bool {
        if self.assembler.held() == 0 {
            self.gap_since = None;
            return false;
        }
        let since = *self.gap_since.get_or_insert_with(Instant::now);
        since.elapsed() >= GAP_TIMEOUT
    }

    /// Time to wait for the next item; `stall` if none is missing.
    pub(super) fn next_timeout(&self, stall: Duration) -> Duration {
        match self.gap_since {
            Some(since) => GAP_TIMEOUT.saturating_sub(since.elapsed()),
            None => stall,
        }
    }
}
