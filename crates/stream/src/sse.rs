//! Parser for server-sent events.

use bytes::{Buf as _, Bytes, BytesMut};

/// One event: its `id:` and `data:` fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Offset of the chunk, if the event had a numeric id.
    pub offset: Option<u64>,
    /// Contents; several `data:` lines are joined by a newline.
    pub data: Bytes,
}

/// An event that exceeds the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event is larger than {bound} bytes")]
pub struct Oversize {
    /// Bound, in bytes.
    pub bound: usize,
}

/// Incremental parser.
#[derive(Debug)]
pub struct Parser {
    buffer: BytesMut,
    scanned: usize,
    bound: usize,
    offset: Option<u64>,
    data: Option<BytesMut>,
}

impl Parser {
    /// A parser that accepts events of up to `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            scanned: 0,
            bound,
            offset: None,
            data: None,
        }
    }

    /// Adds received bytes. Call [`Parser::next_event`] until it returns `None` afterwards.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Next complete event.
    pub fn next_event(&mut self) -> Result<Option<Event>, Oversize> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if let Some(event) = self.take_event() {
                    return Ok(Some(event));
                }
            } else {
                self.read_field(&line);
            }
            self.check_bound()?;
        }
        self.check_bound()?;
        Ok(None)
    }

    fn check_bound(&self) -> Result<(), Oversize> {
        let held = self.data.as_ref().map_or(0, BytesMut::len);
        let unterminated = self.scanned;
        if held + unterminated > self.bound {
            return Err(Oversize { bound: self.bound });
        }
        Ok(())
    }

    fn next_line(&mut self) -> Option<Bytes> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(position) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.scanned + position);
        self.buffer.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line.freeze())
    }

    fn read_field(&mut self, line: &Bytes) {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, mut value) = match colon {
            Some(0) => return,
            Some(at) => (&line[..at], &line[at + 1..]),
            None => (&line[..], &line[line.len()..]),
        };
        if value.first() == Some(&b' ') {
            value = &value[1..];
        }
        match name {
            b"id" => self.offset = parse_offset(value),
            b"data" => self.append(value),
            _ => {}
        }
    }

    fn append(&mut self, value: &[u8]) {
        match &mut self.data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
            None => self.data = Some(BytesMut::from(value)),
        }
    }

    fn take_event(&mut self) -> Option<Event> {
        let offset = self.offset.take();
        let data = self.data.take()?.freeze();
        Some(Event { offset, data })
    }
}

fn parse_offset(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
