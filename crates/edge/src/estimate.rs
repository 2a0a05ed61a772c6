//! What a request will probably cost, and what it shares with others.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::interface::RequestInfo;

/// Work of any request, in milliseconds of an engine.
const BASE: f64 = 20.0;
/// Work to read one token of a prompt, in milliseconds: the order of a large engine's prefill.
const PER_PROMPT_TOKEN: f64 = 0.011;
/// Work to generate one token, in milliseconds. A step serves all requests of a batch, so this is
/// a small part of the time of a step.
const PER_ANSWER_TOKEN: f64 = 0.25;
/// Share of the most tokens that an answer has on average if the caller makes no guess.
const ANSWER_SHARE: f64 = 0.5;

/// Estimated work of a request, in milliseconds. The last part of its prompt is its own; the
/// others are cached as a rule, since requests go where their shared parts are.
pub fn cost(ask: &RequestInfo) -> f64 {
    let shared: u64 = ask.prompt.iter().rev().skip(1).map(|it| it.tokens).sum();
    let read = ask.prompt_tokens.saturating_sub(shared) as f64 + shared as f64 * SHARED_WEIGHT;
    let most = ask.max_tokens as f64;
    let answer = ask
        .expected_tokens
        .map_or(most * ANSWER_SHARE, |it| (it as f64).min(most));
    BASE + read * PER_PROMPT_TOKEN + answer * PER_ANSWER_TOKEN
}

/// Weight of a shared token: the chance that it has to be read again.
const SHARED_WEIGHT: f64 = 0.1;

/// Identity of the longest part of the prompt that others share: all parts but the last one.
pub fn prefix(ask: &RequestInfo) -> Option<u64> {
    match ask.prompt.as_slice() {
        [.., shared, _] => Some(shared.id),
        [only] => Some(only.id),
        [] => None,
    }
}

/// An evenly distributed number for a text, the same on all hosts.
pub fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
