//! Estimates the work of a request and identifies the prompt part that it shares with others.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::interface::RequestInfo;

/// Fixed work of every request, in milliseconds of an engine.
const BASE: f64 = 20.0;
/// Work to prefill one token of a prompt, in milliseconds: the order of magnitude of a large
/// engine.
const PER_PROMPT_TOKEN: f64 = 0.011;
/// Work to generate one token, in milliseconds. A decoding step serves all requests of a batch, so
/// this is a small part of the time of a step.
const PER_OUTPUT_TOKEN: f64 = 0.25;
/// Mean length of the output as a fraction of the requested maximum, for callers that give no
/// estimate.
const OUTPUT_SHARE: f64 = 0.5;

/// Returns the tokens of the prompt that an endpoint has to read. The last part of the prompt is its
/// own; the others are usually cached, since requests are routed to the endpoint that holds them.
pub fn prefill_tokens(info: &RequestInfo) -> f64 {
    let shared: u64 = info
        .prompt
        .iter()
        .rev()
        .skip(1)
        .map(|part| part.tokens)
        .sum();
    info.prompt_tokens.saturating_sub(shared) as f64 + shared as f64 * SHARED_WEIGHT
}

/// Returns the estimated tokens of the response.
fn output_tokens(info: &RequestInfo) -> f64 {
    let max_tokens = info.max_tokens as f64;
    info.expected_tokens
        .map_or(max_tokens * OUTPUT_SHARE, |tokens| {
            (tokens as f64).min(max_tokens)
        })
}

/// Returns the tokens that a request takes in the memory of an endpoint when it ends.
pub fn memory_tokens(info: &RequestInfo) -> f64 {
    info.prompt_tokens as f64 + output_tokens(info)
}

/// Returns the estimated work of a request, in milliseconds.
pub fn cost(info: &RequestInfo) -> f64 {
    BASE + prefill_tokens(info) * PER_PROMPT_TOKEN + output_tokens(info) * PER_OUTPUT_TOKEN
}

/// Returns the tokens of a request's prompt and of its response as far as they can be foreseen; at least 1.
pub fn tokens(info: &RequestInfo) -> u64 {
    let output = info.expected_tokens.unwrap_or(info.max_tokens);
    (info.prompt_tokens + output.min(info.max_tokens)).max(1)
}

/// Weight of a shared token: the chance that it is not cached and has to be prefilled again.
const SHARED_WEIGHT: f64 = 0.1;

/// Returns the id of the longest shared prefix of the prompt: all parts but the last one, or the
/// only part. None without a prompt.
pub fn prefix(info: &RequestInfo) -> Option<u64> {
    match info.prompt.as_slice() {
        [.., shared, _] => Some(shared.id),
        [only] => Some(only.id),
        [] => None,
    }
}

/// Returns an evenly distributed hash of a text, the same on all hosts and in all builds: hosts of
/// two builds must agree on the endpoint of a prompt.
pub fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns an evenly distributed hash of a number and a text, as stable as [`hash`].
pub fn hash_pair(number: u64, text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), number)
}
