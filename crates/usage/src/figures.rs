//! Counted usage.

/// Usage of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Figures {
    /// Answered requests.
    pub requests: u64,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: u64,
    /// Answer tokens delivered.
    pub answer_tokens: u64,
}

impl Figures {
    /// Larger of each figure.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Sum of each figure.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Difference of each figure, at least zero.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Whether nothing was counted.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    fn zip(self, other: Self, with: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: with(self.requests, other.requests),
            prompt_tokens: with(self.prompt_tokens, other.prompt_tokens),
            answer_tokens: with(self.answer_tokens, other.answer_tokens),
        }
    }
}
