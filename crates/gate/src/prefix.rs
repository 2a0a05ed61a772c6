//! Hashes of prompt prefixes, by which requests are sent to engines that have them cached.

use agate_model::key::Digest;
use agate_wire::engine::Message;

/// Bytes of prompt text in one block.
const BLOCK_BYTES: usize = 256;
/// Most blocks that are hashed; the rest of the prompt is ignored.
const MAX_BLOCKS: usize = 32;

/// Returns one hash for each complete block of the prompt. Each covers the account and all text up
/// to the end of its block, so that no account can learn from the cached prompts of another.
pub fn blocks(account: &str, messages: &[Message]) -> Vec<u64> {
    let mut text = Vec::new();
    for message in messages {
        text.extend_from_slice(message.role.as_bytes());
        text.push(0);
        text.extend_from_slice(message.content.as_bytes());
        text.push(0);
        if text.len() >= BLOCK_BYTES * MAX_BLOCKS {
            break;
        }
    }
    let mut digest = Digest::of(account.as_bytes());
    let mut hashes = Vec::new();
    for block in text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        digest = Digest::of(&[&digest.0, block].concat());
        let [a, b, c, d, e, f, g, h, ..] = digest.0;
        hashes.push(u64::from_be_bytes([a, b, c, d, e, f, g, h]));
    }
    hashes
}
