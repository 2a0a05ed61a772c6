//! Prefix cache of limited memory, with late and incomplete events.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use agate_model::key::Digest;
use agate_wire::engine::{CacheEvent, CacheEvents, Completion};
use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::Settings;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of prompt text for one token.
pub const TOKEN_BYTES: usize = 4;

/// Size of an exported block, in bytes.
const EXPORT_BYTES: usize = 4096;

/// Events kept.
const EVENT_LIMIT: usize = 65_536;

/// Hash of a prefix block, as 16 hexadecimal digits.
pub type Block = String;

/// Prompt text of a request, messages in order.
pub fn prompt(completion: &Completion) -> String {
    let mut text = String::new();
    for message in &completion.messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}

/// Whole blocks of a prompt. The hash of a block covers all text before its end.
pub fn blocks(model: &str, prompt: &str) -> Vec<Block> {
    let mut hash = Digest::of(model.as_bytes()).0;
    let mut blocks = Vec::new();
    for part in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        let mut input = hash.to_vec();
        input.extend_from_slice(part);
        hash = Digest::of(&input).0;
        blocks.push(hash[..8].iter().map(|it| format!("{it:02x}")).collect());
    }
    blocks
}

#[derive(Debug)]
struct Logged {
    at: Instant,
    event: CacheEvent,
}

/// Blocks in memory, least recently used first out.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    used_at: HashMap<Block, u64>,
    order: BTreeMap<u64, Block>,
    clock: u64,
    lag: Duration,
    loss: f64,
    random: ChaCha8Rng,
    sequence: u64,
    log: VecDeque<Logged>,
}

impl Cache {
    /// An empty cache.
    pub fn new(settings: &Settings) -> Self {
        Self {
            capacity: settings.cache_blocks,
            used_at: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            lag: settings.event_lag,
            loss: settings.event_loss,
            random: ChaCha8Rng::seed_from_u64(settings.server.seed),
            sequence: 0,
            log: VecDeque::new(),
        }
    }

    /// Number of leading blocks that are in memory; then all are.
    pub fn admit(&mut self, blocks: &[Block]) -> usize {
        let hits = blocks
            .iter()
            .take_while(|it| self.used_at.contains_key(*it))
            .count();
        for block in blocks {
            self.touch(block);
        }
        hits
    }

    /// Contents of a block.
    pub fn export(&mut self, block: &str) -> Option<Bytes> {
        if !self.used_at.contains_key(block) {
            return None;
        }
        self.touch(block);
        Some(Bytes::from(vec![0; EXPORT_BYTES]))
    }

    /// Stores a block.
    pub fn import(&mut self, block: &str) {
        self.touch(block);
    }

    /// Events from `after` on that are old enough.
    pub fn events(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let old = |it: &&Logged| now.duration_since(it.at) >= self.lag;
        let events: Vec<CacheEvent> = self
            .log
            .iter()
            .take_while(old)
            .filter(|it| it.event.sequence >= after)
            .map(|it| it.event.clone())
            .collect();
        let next = events.last().map_or(after, |it| it.sequence + 1);
        CacheEvents { events, next }
    }

    fn touch(&mut self, block: &str) {
        self.clock += 1;
        match self.used_at.insert(block.to_owned(), self.clock) {
            Some(earlier) => {
                self.order.remove(&earlier);
            }
            None => self.note(block, true),
        }
        self.order.insert(self.clock, block.to_owned());
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
            self.note(&oldest, false);
        }
    }

    fn note(&mut self, block: &str, stored: bool) {
        let sequence = self.sequence;
        self.sequence += 1;
        if self.loss > 0.0 && self.random.random_bool(self.loss.clamp(0.0, 1.0)) {
            return;
        }
        self.log.push_back(Logged {
            at: Instant::now(),
            event: CacheEvent {
                sequence,
                block: block.to_owned(),
                stored,
            },
        });
        if self.log.len() > EVENT_LIMIT {
            self.log.pop_front();
        }
    }
}
