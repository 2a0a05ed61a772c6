//! Server-sent events of a streamed response, parsed as far as needed to resume the stream at
//! another endpoint.

use bytes::{Bytes, BytesMut};

/// Bytes of one event. An event holds some tokens of a text, so a longer one has no end.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlong;

/// Splits a stream into complete events and a partial one, and tracks the last event id.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds received bytes and returns all complete events that were not returned yet. Fails if the
    /// partial event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Overlong> {
        // A boundary may begin in the bytes received before.
        let start = self.partial.len().saturating_sub(BOUNDARY_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial[start..]) else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(Overlong),
                false => Ok(Bytes::new()),
            };
        };
        let complete = self.partial.split_to(start + end).freeze();
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(id);
        }
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(Overlong),
            false => Ok(complete),
        }
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

/// Measures the events of a stream that is passed on as it arrives.
#[derive(Debug, Default)]
pub struct Gauge {
    /// Bytes since the last boundary.
    length: usize,
    /// Last bytes received, in which a boundary may begin.
    tail: Vec<u8>,
    /// Whether an event was complete.
    has_event: bool,
}

impl Gauge {
    /// Returns whether a complete event was received.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether bytes of an incomplete event were received last.
    pub fn is_partial(&self) -> bool {
        self.length > 0
    }

    /// Adds received bytes. Fails if the partial event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Overlong> {
        let before = self.tail.len();
        let seam = bytes.len().min(BOUNDARY_BYTES - 1);
        self.tail.extend_from_slice(&bytes[..seam]);
        let in_seam = last_boundary(&self.tail).map(|end| end.saturating_sub(before));
        match last_boundary(bytes).or(in_seam) {
            Some(end) => {
                self.length = bytes.len().saturating_sub(end);
                self.has_event = true;
            }
            None => self.length += bytes.len(),
        }
        if bytes.len() >= BOUNDARY_BYTES {
            self.tail.clear();
            self.tail
                .extend_from_slice(&bytes[bytes.len() - (BOUNDARY_BYTES - 1)..]);
        } else {
            let surplus = self.tail.len().saturating_sub(BOUNDARY_BYTES - 1);
            self.tail.drain(..surplus);
        }
        match self.length > MAX_EVENT_BYTES {
            true => Err(Overlong),
            false => Ok(()),
        }
    }
}

/// Bytes of the longest boundary between two events.
const BOUNDARY_BYTES: usize = 4;

/// Returns the number of events that end in these bytes.
pub fn count(bytes: &[u8]) -> usize {
    let ends = |boundary: &[u8]| {
        let windows = bytes.windows(boundary.len());
        windows.filter(|window| *window == boundary).count()
    };
    ends(b"\n\n") + ends(b"\r\n\r\n")
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
