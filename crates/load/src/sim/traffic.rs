//! Generates the requests of an experiment; every policy gets the same ones.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, Load};

/// Length of a prefix block, the unit of the prefix cache, in tokens.
pub(crate) const BLOCK_TOKENS: u32 = 64;
/// Prompt length above which a conversation starts again without history, in tokens.
const MAX_PROMPT: u32 = 4096;
/// Standard deviation of the natural logarithm of prompt and response lengths.
const SPREAD: f64 = 0.6;

/// A request as the experiment defines it, independent of the policy.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Arrival, since the start of the experiment.
    pub(crate) at: Duration,
    /// Position of the entry host that receives it.
    pub(crate) host: usize,
    /// Position of its class in the experiment.
    pub(crate) class: usize,
    pub(crate) account: String,
    /// Position of its pool in the experiment.
    pub(crate) pool: usize,
    /// Whole prompt, with shared and repeated parts.
    pub(crate) prompt_tokens: u32,
    /// Length of the response.
    pub(crate) response_tokens: u32,
    /// Hashes of the prompt's prefix blocks, in order; without the last, partial block.
    pub(crate) blocks: Vec<u64>,
}

/// Returns all requests of an experiment in order of arrival.
pub(crate) fn generate(experiment: &Experiment) -> Vec<Request> {
    let mut requests = Vec::new();
    for (n, load) in experiment.load.iter().enumerate() {
        let seed = experiment
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(n as u64);
        Source::new(experiment, load, seed).draw(&mut requests);
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Generator of the requests of one [`Load`], with a random sequence of its own.
struct Source<'a> {
    experiment: &'a Experiment,
    load: &'a Load,
    class: usize,
    pool: usize,
    seed: u64,
    rng: ChaCha8Rng,
    /// Blocks of each conversation so far, prompts and responses.
    sessions: Vec<Vec<u64>>,
    /// Number of blocks drawn so far that no other request shares.
    next_block: u64,
}

impl<'a> Source<'a> {
    fn new(experiment: &'a Experiment, load: &'a Load, seed: u64) -> Self {
        let class = experiment
            .classes
            .iter()
            .position(|class| class.id == load.class);
        let pool = experiment
            .pools
            .iter()
            .position(|pool| pool.id == load.pool);
        Self {
            experiment,
            load,
            class: class.expect("a checked experiment defines the class of each load"),
            pool: pool.expect("a checked experiment defines the pool of each load"),
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sessions: vec![Vec::new(); load.sessions as usize],
            next_block: 0,
        }
    }

    /// Draws Poisson arrivals with a varying rate by thinning those of the highest rate.
    fn draw(&mut self, requests: &mut Vec<Request>) {
        let bursts = self.load.bursts.iter().map(|burst| burst.factor);
        let max_rate = self.load.rate * bursts.fold(1.0, f64::max);
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() / max_rate;
            if at >= self.experiment.duration.as_secs_f64() {
                return;
            }
            let time = Duration::from_secs_f64(at);
            if self.rng.random::<f64>() * max_rate < self.rate(time) {
                let request = self.request(time);
                requests.push(request);
            }
        }
    }

    /// Returns the requests per second at a time, with the first burst that covers it.
    fn rate(&self, at: Duration) -> f64 {
        let mut bursts = self.load.bursts.iter();
        let burst = bursts.find(|burst| burst.from <= at && at < burst.to);
        self.load.rate * burst.map_or(1.0, |burst| burst.factor)
    }

    /// Draws the request that arrives at a time and extends its conversation by it.
    fn request(&mut self, at: Duration) -> Request {
        let new_tokens = self.length(self.load.prompt);
        let response_tokens = self.length(self.load.answer);
        let mut blocks = self.shared_blocks();
        let session = self.session();
        if let Some(session) = session {
            blocks.extend(&self.sessions[session]);
        }
        let repeated_tokens = blocks.len() as u32 * BLOCK_TOKENS;
        let prompt_blocks = self.new_blocks(new_tokens / BLOCK_TOKENS);
        blocks.extend(&prompt_blocks);
        if let Some(session) = session {
            let response_blocks = self.new_blocks(response_tokens / BLOCK_TOKENS);
            self.extend_session(session, &prompt_blocks, &response_blocks);
        }
        Request {
            at,
            host: self.host(),
            class: self.class,
            account: self.load.account.clone(),
            pool: self.pool,
            prompt_tokens: repeated_tokens + new_tokens,
            response_tokens,
            blocks,
        }
    }

    /// Draws an entry host by the hosts' relative load.
    fn host(&mut self) -> usize {
        let hosts = &self.experiment.hosts;
        let mut remaining = self.rng.random::<f64>() * hosts.iter().sum::<f64>();
        for (n, weight) in hosts.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return n;
            }
        }
        hosts.len() - 1
    }

    /// Draws a log-normal length of at least 1 token with the given mean. The normal variable is
    /// the sum of 12 uniform ones, less 6.
    fn length(&mut self, mean: u32) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let factor = (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
        (f64::from(mean) * factor).round().max(1.0) as u32
    }

    /// Draws a conversation; `None` if the load has none.
    fn session(&mut self) -> Option<usize> {
        if self.sessions.is_empty() {
            return None;
        }
        Some(self.rng.random_range(0..self.sessions.len()))
    }

    /// Returns the blocks with which all requests of the load start.
    fn shared_blocks(&self) -> Vec<u64> {
        let count = u64::from(self.load.shared / BLOCK_TOKENS);
        (0..count).map(|n| self.hash(n)).collect()
    }

    /// Returns blocks that no other request has. Their numbers start at 2^20, above all shared
    /// ones.
    fn new_blocks(&mut self, count: u32) -> Vec<u64> {
        let from = self.next_block + (1 << 20);
        self.next_block += u64::from(count);
        (from..from + u64::from(count))
            .map(|n| self.hash(n))
            .collect()
    }

    /// Adds a request and its response to a conversation, which is cleared once it exceeds
    /// [`MAX_PROMPT`].
    fn extend_session(&mut self, session: usize, prompt: &[u64], response: &[u64]) {
        let blocks = &mut self.sessions[session];
        blocks.extend(prompt);
        blocks.extend(response);
        if blocks.len() as u32 * BLOCK_TOKENS > MAX_PROMPT {
            blocks.clear();
        }
    }

    /// Returns the hash of a block number, which depends on the seed of the load.
    fn hash(&self, n: u64) -> u64 {
        let mixed = (self.seed ^ n.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    }
}
