//! Server-sent events of a streamed response, parsed as far as needed to resume the stream at
//! another endpoint.

use bytes::{Bytes, BytesMut};

/// Splits a stream into complete events and a partial one, and tracks the last event id.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds received bytes and returns all complete events that were not returned yet.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether a partial event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the partial event, since the next endpoint sends it again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the offset after the last complete event.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let lf = bytes
        .windows(2)
        .rposition(|window| window == b"\n\n")
        .map(|start| start + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|window| window == b"\r\n\r\n")
        .map(|start| start + 4);
    lf.max(crlf)
}

/// Returns the last `id` field in complete events.
fn find_last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
