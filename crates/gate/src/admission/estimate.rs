//! Estimated cost of requests whose answers have unknown length.

use std::collections::HashMap;

use agate_model::id::ClassId;

use super::Cost;
use crate::work::{Kind, Work};

const BYTES_PER_TOKEN: u64 = 4;
/// Answer of a class that has not answered yet, in tokens.
const FIRST_ANSWER_TOKENS: f64 = 256.0;
/// Weight of the newest answer in the moving average.
const WEIGHT: f64 = 0.05;

/// Moving averages of answer lengths, by class.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    answers: HashMap<ClassId, f64>,
}

impl Estimates {
    /// Units that a request will cost.
    pub(super) fn units(&self, work: &Work) -> u64 {
        let Kind::Completion { max_tokens, .. } = work.kind else {
            return 1;
        };
        let mean = self.answers.get(&work.class.id).copied();
        let answer = mean.unwrap_or(FIRST_ANSWER_TOKENS);
        let bound = max_tokens.map_or(f64::INFINITY, f64::from);
        let prompt = work.body.len() as u64 / BYTES_PER_TOKEN;
        prompt + answer.min(bound).max(1.0) as u64
    }

    /// Learns from an answer.
    pub(super) fn observe(&mut self, class: &ClassId, cost: Cost) {
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
