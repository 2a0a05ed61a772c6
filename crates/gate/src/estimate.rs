//! Cost estimates for requests whose response length is not known in advance.

use std::collections::HashMap;

use agate_model::id::ClassId;

use crate::admission::Cost;
use crate::work::Kind;

/// Bytes of request body that count as one prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Assumed response length in tokens for a class without observed responses.
const DEFAULT_RESPONSE_TOKENS: f64 = 256.0;
/// Weight of the newest response in the moving average.
const WEIGHT: f64 = 0.05;

/// Moving averages of response lengths in tokens, by class.
#[derive(Debug, Default)]
pub struct Estimates {
    response_tokens: HashMap<ClassId, f64>,
}

impl Estimates {
    /// Returns the expected cost of a request whose body has `body` bytes; zero for plain calls.
    pub fn cost(&self, class: &ClassId, kind: &Kind, body: usize) -> Cost {
        let Kind::Completion { max_tokens, .. } = kind else {
            return Cost::default();
        };
        let mean = self.response_tokens.get(class).copied();
        let expected = mean.unwrap_or(DEFAULT_RESPONSE_TOKENS);
        let bound = max_tokens.map_or(f64::INFINITY, f64::from);
        Cost {
            prompt_tokens: body as u64 / BYTES_PER_TOKEN,
            answer_tokens: expected.min(bound).max(1.0) as u64,
        }
    }

    /// Updates the average of the class with a measured cost. Responses without tokens are ignored.
    pub fn observe(&mut self, class: &ClassId, cost: Cost) {
        if cost.answer_tokens == 0 {
            return;
        }
        let newest = cost.answer_tokens as f64;
        match self.response_tokens.get_mut(class) {
            Some(mean) => *mean += WEIGHT * (newest - *mean),
            None => {
                self.response_tokens.insert(class.clone(), newest);
            }
        }
    }
}
