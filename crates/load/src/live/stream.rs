//! Reads the events of a streamed response.

/// Incremental parser of server-sent events, of which it reads the `data` lines.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// Bytes since the last line feed.
    line: Vec<u8>,
}

/// Meaning of a `data` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// A chunk of the response.
    Chunk,
    /// The end of a complete response, `[DONE]`.
    Done,
    /// An error after the response has started.
    Error,
}

impl Events {
    /// Appends bytes and returns the events whose lines they complete.
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

/// Returns the event of a line; `None` unless it is a `data` line.
fn event(line: &str) -> Option<Event> {
    let data = line.strip_prefix("data:")?.trim();
    match data {
        "[DONE]" => Some(Event::Done),
        _ if data.contains("\"error\"") => Some(Event::Error),
        _ => Some(Event::Chunk),
    }
}
