//! Comparison of a regenerated response with the text that the caller already has.

/// Part of a regenerated piece of text that is to be sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    /// Nothing: the caller has the whole piece.
    Skip,
    /// The rest of the piece: the caller has the text before it.
    Rest(&'a str),
    /// The whole piece: the caller has none of it.
    New(&'a str),
}

/// Error for a regenerated response that differs from the text that the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("regenerated response differs from the delivered text at byte {position}")]
pub struct Divergence {
    /// Offset of the start of the piece that differs, in bytes of text.
    pub position: usize,
}

/// Text of one response sent to the caller so far, and how much of it a regenerated response
/// has repeated.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    /// Text that the caller has.
    delivered: String,
    /// Number of bytes of `delivered` that the current generation of the response has produced.
    position: usize,
}

impl Replay {
    /// Records text that was sent to the caller.
    pub fn deliver(&mut self, text: &str) {
        self.delivered.push_str(text);
        self.position = self.delivered.len();
    }

    /// Returns the number of bytes sent to the caller.
    pub fn len(&self) -> usize {
        self.delivered.len()
    }

    /// Returns whether no text was sent to the caller.
    pub fn is_empty(&self) -> bool {
        self.delivered.is_empty()
    }

    /// Returns whether a regenerated response has reached the point where the previous one broke
    /// off.
    pub fn is_caught_up(&self) -> bool {
        self.position == self.delivered.len()
    }

    /// Records that the response is being generated again from its start.
    pub fn restart(&mut self) {
        self.position = 0;
    }

    /// Compares the next piece of the response with the text that the caller has, and returns the
    /// part to send. The caller of this function passes that part to [`Replay::deliver`].
    pub fn accept<'a>(&mut self, text: &'a str) -> Result<Piece<'a>, Divergence> {
        let remaining = &self.delivered[self.position..];
        if remaining.is_empty() {
            return Ok(Piece::New(text));
        }
        if remaining.starts_with(text) {
            self.position += text.len();
            return Ok(Piece::Skip);
        }
        match text.strip_prefix(remaining) {
            Some(rest) => {
                self.position = self.delivered.len();
                Ok(Piece::Rest(rest))
            }
            None => Err(Divergence {
                position: self.position,
            }),
        }
    }
}
