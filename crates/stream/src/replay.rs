//! Comparison of a regenerated answer with the part that was already delivered.

/// What to do with a regenerated piece of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    /// The caller has it.
    Skip,
    /// The caller has its beginning; the rest is new.
    Rest(&'a str),
    /// It is new.
    New(&'a str),
}

/// The regenerated answer differs from the delivered one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("regenerated answer differs at byte {position}")]
pub struct Divergence {
    /// Position of the piece that differs, in bytes.
    pub position: usize,
}

/// Text delivered so far, and the position in it of a regenerated answer.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    delivered: String,
    position: usize,
}

impl Replay {
    /// Records a delivered piece.
    pub fn deliver(&mut self, text: &str) {
        self.delivered.push_str(text);
        self.position = self.delivered.len();
    }

    /// Bytes delivered.
    pub fn len(&self) -> usize {
        self.delivered.len()
    }

    /// Whether nothing was delivered.
    pub fn is_empty(&self) -> bool {
        self.delivered.is_empty()
    }

    /// Whether a regenerated answer has reached the point where the first one broke off.
    pub fn is_caught_up(&self) -> bool {
        self.position == self.delivered.len()
    }

    /// The answer is generated again, from its beginning.
    pub fn restart(&mut self) {
        self.position = 0;
    }

    /// Matches the next regenerated piece. New text must then be passed to [`Replay::deliver`].
    pub fn accept<'a>(&mut self, text: &'a str) -> Result<Piece<'a>, Divergence> {
        let known = &self.delivered[self.position..];
        if known.is_empty() {
            return Ok(Piece::New(text));
        }
        if known.starts_with(text) {
            self.position += text.len();
            return Ok(Piece::Skip);
        }
        match text.strip_prefix(known) {
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
