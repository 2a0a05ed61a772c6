//! Reassembly of numbered chunks that may arrive late, twice, out of order or not at all.

use std::collections::BTreeMap;

/// Whether a response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection is open and more chunks are expected on it.
    Open,
    /// Chunks are missing; the stream has to be resumed at this offset.
    Missing {
        /// Offset of the first missing chunk.
        from: u64,
    },
    /// All chunks were returned by [`Assembler::pop`].
    Complete,
}

/// Error for a chunk whose offset lies at or beyond the end that the end marker gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("chunk {offset} contradicts the end of the answer at {end}")]
pub struct Contradiction {
    /// Offset of the offending chunk.
    pub offset: u64,
    /// Number of chunks of the response according to the end marker.
    pub end: u64,
}

/// Puts the chunks of one response in order, drops duplicates and finds gaps. It may receive
/// them over several connections, one after the other.
#[derive(Debug)]
pub struct Assembler<T> {
    /// Offset of the first chunk not yet returned by [`Assembler::pop`].
    next_offset: u64,
    /// Chunks received and not yet returned, by offset.
    held: BTreeMap<u64, T>,
    /// Number of chunks in `held` from which on early ones are dropped.
    max_held: usize,
    /// Whether this connection brought an early chunk that was dropped.
    overflowed: bool,
    /// Whether this connection brought an end marker.
    has_end_marker: bool,
    /// Number of chunks of the response, if an end marker gave it.
    end: Option<u64>,
    /// Whether the current connection has ended.
    disconnected: bool,
    /// Whether the current connection resumes an earlier one.
    resumed: bool,
    /// Whether a resumed connection brought an end marker and no new chunk.
    resumed_empty: bool,
    /// Number of new chunks on the current connection.
    received: u64,
}

impl<T> Assembler<T> {
    /// Creates an assembler for a response, starting at offset 0. It holds at most `max_held`
    /// chunks that arrive before an earlier one.
    pub fn new(max_held: usize) -> Self {
        Self {
            next_offset: 0,
            held: BTreeMap::new(),
            max_held,
            overflowed: false,
            has_end_marker: false,
            end: None,
            disconnected: false,
            resumed: false,
            resumed_empty: false,
            received: 0,
        }
    }

    /// Returns the offset of the first chunk not yet returned by [`Assembler::pop`].
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the number of chunks held because an earlier one is missing.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Adds a chunk and returns whether it was taken: false for a duplicate, and for an early
    /// chunk if too many are held.
    pub fn push(&mut self, offset: u64, chunk: T) -> Result<bool, Contradiction> {
        if let Some(end) = self.end.filter(|end| offset >= *end) {
            return Err(Contradiction { offset, end });
        }
        if offset < self.next_offset || self.held.contains_key(&offset) {
            return Ok(false);
        }
        self.received += 1;
        if offset > self.next_offset && self.held.len() >= self.max_held {
            self.overflowed = true;
            return Ok(false);
        }
        self.held.insert(offset, chunk);
        Ok(true)
    }

    /// Removes and returns the next chunk in order, or `None` if it has not arrived.
    pub fn pop(&mut self) -> Option<T> {
        let chunk = self.held.remove(&self.next_offset)?;
        self.next_offset += 1;
        Some(chunk)
    }

    /// Records an end marker. `count` is the number of chunks of the response, if the marker
    /// gives it.
    pub fn finish(&mut self, count: Option<u64>) {
        self.has_end_marker = true;
        if count.is_some() {
            self.end = count;
        }
    }

    /// Records the end of the connection, whether it was closed or failed.
    pub fn disconnect(&mut self) {
        self.disconnected = true;
        self.resumed_empty = self.resumed && self.has_end_marker && self.received == 0;
    }

    /// Records that a connection which starts at [`Assembler::next_offset`] replaces the previous
    /// one.
    pub fn reconnect(&mut self) {
        self.resumed = true;
        self.disconnected = false;
        self.has_end_marker = false;
        self.overflowed = false;
        self.received = 0;
    }

    /// Returns whether the response is complete. `closed` tells whether the last chunk in order
    /// said that the response ends with it. Without that, an end marker that gives no count is
    /// trusted only if a resumed connection brings it and nothing else, because the marker may
    /// have overtaken chunks.
    pub fn state(&self, closed: bool) -> State {
        if self.overflowed {
            return State::Missing {
                from: self.next_offset,
            };
        }
        if self.end == Some(self.next_offset) {
            return State::Complete;
        }
        if !self.disconnected {
            return State::Open;
        }
        let is_complete = self.has_end_marker && self.held.is_empty() && self.end.is_none();
        if is_complete && (closed || self.resumed_empty) {
            return State::Complete;
        }
        State::Missing {
            from: self.next_offset,
        }
    }
}
