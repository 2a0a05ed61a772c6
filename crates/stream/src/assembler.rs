//! Order of numbered chunks.

use std::collections::BTreeMap;

/// Whether an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// More chunks are due on this connection.
    Open,
    /// Chunks are missing; the engine has to be asked again from this offset.
    Missing {
        /// First offset that is missing.
        from: u64,
    },
    /// Everything was delivered.
    Whole,
}

/// Two different chunks with one offset, or a chunk beyond the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("chunk {offset} contradicts the end of the answer at {end}")]
pub struct Contradiction {
    /// Offset of the chunk.
    pub offset: u64,
    /// Number of chunks of the answer.
    pub end: u64,
}

/// Puts chunks in order, drops duplicates and finds gaps. Holds at most `bound`
/// chunks that came too early.
#[derive(Debug)]
pub struct Assembler<T> {
    next: u64,
    held: BTreeMap<u64, T>,
    bound: usize,
    overflowed: bool,
    done: bool,
    end: Option<u64>,
    eof: bool,
    resumed: bool,
    resumed_empty: bool,
    received: u64,
}

impl<T> Assembler<T> {
    /// An assembler for a whole answer.
    pub fn new(bound: usize) -> Self {
        Self {
            next: 0,
            held: BTreeMap::new(),
            bound,
            overflowed: false,
            done: false,
            end: None,
            eof: false,
            resumed: false,
            resumed_empty: false,
            received: 0,
        }
    }

    /// Offset of the first chunk not delivered yet.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Number of chunks held because they came too early.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Adds a chunk. Returns whether it was new.
    pub fn push(&mut self, offset: u64, chunk: T) -> Result<bool, Contradiction> {
        if let Some(end) = self.end.filter(|end| offset >= *end) {
            return Err(Contradiction { offset, end });
        }
        if offset < self.next || self.held.contains_key(&offset) {
            return Ok(false);
        }
        self.received += 1;
        if offset > self.next && self.held.len() >= self.bound {
            self.overflowed = true;
            return Ok(false);
        }
        self.held.insert(offset, chunk);
        Ok(true)
    }

    /// Next chunk in order.
    pub fn pop(&mut self) -> Option<T> {
        let chunk = self.held.remove(&self.next)?;
        self.next += 1;
        Some(chunk)
    }

    /// The end marker was received. `count` is the number of chunks, if it tells.
    pub fn finish(&mut self, count: Option<u64>) {
        self.done = true;
        if count.is_some() {
            self.end = count;
        }
    }

    /// The connection ended, in order or not.
    pub fn disconnect(&mut self) {
        self.eof = true;
        self.resumed_empty = self.resumed && self.done && self.received == 0;
    }

    /// A connection that starts at [`Assembler::next_offset`] replaces the previous one.
    pub fn reconnect(&mut self) {
        self.resumed = true;
        self.eof = false;
        self.done = false;
        self.overflowed = false;
        self.received = 0;
    }

    /// What is known. `closed` tells whether the last delivered chunk said that
    /// the answer ends with it; without that, an end marker alone is believed only when a
    /// resumed connection brings it and nothing else, because the marker may
    /// have overtaken chunks.
    pub fn state(&self, closed: bool) -> State {
        if self.overflowed {
            return State::Missing { from: self.next };
        }
        if self.end == Some(self.next) {
            return State::Whole;
        }
        if !self.eof {
            return State::Open;
        }
        let complete = self.done && self.held.is_empty() && self.end.is_none();
        if complete && (closed || self.resumed_empty) {
            return State::Whole;
        }
        State::Missing { from: self.next }
    }
}
