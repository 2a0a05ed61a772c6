//! Hashes of prompt prefixes, by which requests find the engine that has them cached.

use agate_model::key::Digest;
use agate_wire::engine::Message;

/// Bytes of text in one block.
const BLOCK_BYTES: usize = 256;
/// Blocks that are hashed.
const MAX_BLOCKS: usize = 32;

/// One hash for each block of the prompt; each covers all text before it, and
/// the account, so that accounts learn nothing from each other's caches.
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
    let mut before = Digest::of(account.as_bytes());
    let mut hashes = Vec::new();
    for block in text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        before = Digest::of(&[&before.0, block].concat());
        let [a, b, c, d, e, f, g, h, ..] = before.0;
        hashes.push(u64::from_be_bytes([a, b, c, d, e, f, g, h]));
    }
    hashes
}
