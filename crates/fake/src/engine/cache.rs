//! Prefix cache of limited capacity whose events are delayed and partly lost.

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

/// Bytes of prompt text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Size of an exported block, in bytes.
const EXPORT_BYTES: usize = 4096;

/// Largest number of events kept; beyond it the oldest are dropped.
const EVENT_LIMIT: usize = 65_536;

/// Hash that identifies a prefix block, as 16 hexadecimal digits.
pub type Block = String;

/// Returns the prompt text of a request: role and content of each message, in order.
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

/// Returns the full blocks of a prompt. The hash of a block covers the model and all text up to
/// the block's end.
pub fn blocks(model: &str, prompt: &str) -> Vec<Block> {
    let mut hash = Digest::of(model.as_bytes()).0;
    let mut blocks = Vec::new();
    for chunk in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        let mut input = hash.to_vec();
        input.extend_from_slice(chunk);
        hash = Digest::of(&input).0;
        blocks.push(hash[..8].iter().map(|byte| format!("{byte:02x}")).collect());
    }
    blocks
}

/// Event with the time at which it occurred.
#[derive(Debug)]
struct Entry {
    occurred_at: Instant,
    event: CacheEvent,
}

/// Cached blocks with least-recently-used eviction, and the log of their events.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    /// Time of the last use on `clock`, by block.
    used_at: HashMap<Block, u64>,
    /// Blocks by time of their last use.
    by_use: BTreeMap<u64, Block>,
    /// Logical time; counts uses.
    clock: u64,
    /// Age that an event must have to be returned.
    lag: Duration,
    /// Share of events that are not logged, 0 to 1.
    loss: f64,
    random: ChaCha8Rng,
    sequence: u64,
    log: VecDeque<Entry>,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(settings: &Settings) -> Self {
        Self {
            capacity: settings.cache_blocks,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            lag: settings.event_lag,
            loss: settings.event_loss,
            random: ChaCha8Rng::seed_from_u64(settings.server.seed),
            sequence: 0,
            log: VecDeque::new(),
        }
    }

    /// Returns the number of leading blocks that are cached, and caches all of them.
    pub fn admit(&mut self, blocks: &[Block]) -> usize {
        let hits = blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(*block))
            .count();
        for block in blocks {
            self.touch(block);
        }
        hits
    }

    /// Returns the contents of a cached block, all zeros, and marks it as used.
    pub fn export(&mut self, block: &str) -> Option<Bytes> {
        if !self.used_at.contains_key(block) {
            return None;
        }
        self.touch(block);
        Some(Bytes::from(vec![0; EXPORT_BYTES]))
    }

    /// Caches a block that another engine exported.
    pub fn import(&mut self, block: &str) {
        self.touch(block);
    }

    /// Returns the events with sequence number `after` or above that are at least as old as the
    /// lag; lost events leave gaps in the numbers.
    pub fn events(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let is_visible = |entry: &&Entry| now.duration_since(entry.occurred_at) >= self.lag;
        let events: Vec<CacheEvent> = self
            .log
            .iter()
            .take_while(is_visible)
            .filter(|entry| entry.event.sequence >= after)
            .map(|entry| entry.event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence + 1);
        CacheEvents { events, next }
    }

    /// Marks a block as used, adds it if it is not cached, and evicts blocks beyond the capacity.
    fn touch(&mut self, block: &str) {
        self.clock += 1;
        match self.used_at.insert(block.to_owned(), self.clock) {
            Some(earlier) => {
                self.by_use.remove(&earlier);
            }
            None => self.log_event(block, true),
        }
        self.by_use.insert(self.clock, block.to_owned());
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
            self.log_event(&oldest, false);
        }
    }

    /// Logs the storage or eviction of a block; a lost event only uses up its sequence number.
    fn log_event(&mut self, block: &str, stored: bool) {
        let sequence = self.sequence;
        self.sequence += 1;
        if self.loss > 0.0 && self.random.random_bool(self.loss.clamp(0.0, 1.0)) {
            return;
        }
        self.log.push_back(Entry {
            occurred_at: Instant::now(),
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
