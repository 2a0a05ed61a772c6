//! Estimated cost of requests whose answers have unknown length.

use std::collections::HashMap;

use agate_model::id::ClassId;

use crate::admission::Cost;
use crate::work::Kind;

const BYTES_PER_TOKEN: u64 = 4;
/// Answer of a class that has not answered yet, in tokens.
const FIRST_ANSWER_TOKENS: f64 = 256.0;
/// Weight of the newest answer in the moving average.
const WEIGHT: f64 = 0.05;

/// Moving averages of answer lengths, by class.
#[derive(Debug, Default)]
pub struct Estimates {
    answers: HashMap<ClassId, f64>,
}

impl Estimates {
    /// Cost of a request with a body of this many bytes.
    pub fn cost(&self, class: &ClassId, kind: &Kind, body: usize) -> Cost {
        let Kind::Completion { max_tokens, .. } = kind else {
            return Cost::default();
        };
        let mean = self.answers.get(class).copied();
        let answer = mean.unwrap_or(FIRST_ANSWER_TOKENS);
        let bound = max_tokens.map_or(f64::INFINITY, f64::from);
        Cost {
            prompt_tokens: body as u64 / BYTES_PER_TOKEN,
            answer_tokens: answer.min(bound).max(1.0) as u64,
        }
    }

    /// Learns from an answer.
    pub fn observe(&mut self, class: &ClassId, cost: Cost) {
        if cost.answer_tokens == 0 {
            return;
        }
        let newest = cost.answer_tokens as f64;
        match self.answers.get_mut(class) {
            Some(mean) => *mean += WEIGHT * (newest - *mean),
            None => {
                self.answers.insert(class.clone(), newest);
            }
        }
    }
}
