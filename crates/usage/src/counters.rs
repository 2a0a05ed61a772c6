//! Usage counters.

/// Usage counters of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Number of requests that were answered.
    pub requests: u64,
    /// Number of prompt tokens of these requests.
    pub prompt_tokens: u64,
    /// Number of response tokens delivered to callers.
    pub answer_tokens: u64,
}

impl Counters {
    /// Returns the larger value of each counter.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the sum of each counter, saturating at the maximum.
    pub fn saturating_add(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference of each counter, or zero where `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns whether every counter is zero.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: combine(self.requests, other.requests),
            prompt_tokens: combine(self.prompt_tokens, other.prompt_tokens),
            answer_tokens: combine(self.answer_tokens, other.answer_tokens),
        }
    }
}
