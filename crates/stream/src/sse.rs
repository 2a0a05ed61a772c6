//! Parser for server-sent events, of which it reads the fields `id` and `data`.

use bytes::{Buf as _, Bytes, BytesMut};

/// One event with data, made of its `id:` and `data:` fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Offset of the chunk: the id of the event if it is a number, else `None`.
    pub offset: Option<u64>,
    /// Values of the `data:` lines, joined by newlines.
    pub data: Bytes,
}

/// Error for an event that is larger than the parser accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event exceeds the limit of {limit} bytes")]
pub struct Oversize {
    /// Largest accepted size in bytes.
    pub limit: usize,
}

/// Incremental parser of one connection.
#[derive(Debug)]
pub struct Parser {
    /// Received bytes that are not parsed yet.
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that are known to contain no newline.
    scanned: usize,
    /// Largest accepted size of an event in bytes.
    limit: usize,
    /// Offset of the event that is being read.
    offset: Option<u64>,
    /// Data of the event that is being read; `None` before its first `data:` line.
    data: Option<BytesMut>,
}

impl Parser {
    /// Creates a parser that accepts events of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            scanned: 0,
            limit,
            offset: None,
            data: None,
        }
    }

    /// Adds received bytes. Afterwards the caller calls [`Parser::next_event`] until it returns
    /// `None`.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed. Events without data
    /// are skipped.
    pub fn next_event(&mut self) -> Result<Option<Event>, Oversize> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if let Some(event) = self.take_event() {
                    return Ok(Some(event));
                }
            } else {
                self.read_field(&line);
            }
            self.check_limit()?;
        }
        self.check_limit()?;
        Ok(None)
    }

    /// Returns an error if the data of the current event and the unfinished line exceed the limit.
    fn check_limit(&self) -> Result<(), Oversize> {
        let held = self.data.as_ref().map_or(0, BytesMut::len);
        let unfinished_line = self.scanned;
        if held + unfinished_line > self.limit {
            return Err(Oversize { limit: self.limit });
        }
        Ok(())
    }

    /// Removes and returns the next line without its line end (`\n` or `\r\n`), or `None` if it is
    /// not complete.
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

    /// Applies one line to the current event. Comments and unknown fields are ignored.
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

    /// Appends the value of a `data:` line.
    fn append(&mut self, value: &[u8]) {
        match &mut self.data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
            None => self.data = Some(BytesMut::from(value)),
        }
    }

    /// Ends the current event and returns it, or `None` if it has no data.
    fn take_event(&mut self) -> Option<Event> {
        let offset = self.offset.take();
        let data = self.data.take()?.freeze();
        Some(Event { offset, data })
    }
}

/// Returns the number that an event id consists of, if it is one.
fn parse_offset(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
