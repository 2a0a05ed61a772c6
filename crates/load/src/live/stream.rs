//! Events of a streamed answer.

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub(super) struct Events {
    line: Vec<u8>,
}

/// What a line of the stream means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// A chunk of the answer.
    Chunk,
    /// The end of a whole answer.
    Done,
    /// An error in mid-stream.
    Error,
}

impl Events {
    /// Adds bytes and returns the events that they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for &byte in bytes {
            if byte != b'\n' {
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            events.extend(event(&String::from_utf8_lossy(&line)));
        }
        events
    }
}

fn event(line: &str) -> Option<Event> {
    let data = line.strip_prefix("data:")?.trim();
    match data {
        "[DONE]" => Some(Event::Done),
        _ if data.contains("\"error\"") => Some(Event::Error),
        _ => Some(Event::Chunk),
    }
}
