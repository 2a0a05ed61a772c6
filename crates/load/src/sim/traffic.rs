//! Requests of an experiment, drawn once for all policies.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, Load};

/// Tokens of a prefix block.
pub(crate) const BLOCK_TOKENS: u32 = 64;
/// Prompt length at which a conversation begins anew.
const MAX_PROMPT: u32 = 4096;
/// Spread of lengths around their mean, in natural logarithms.
const SPREAD: f64 = 0.6;

/// A request before anything is decided about it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) at: Duration,
    pub(crate) host: usize,
    pub(crate) class: usize,
    pub(crate) account: String,
    pub(crate) pool: usize,
    pub(crate) prompt: u32,
    pub(crate) answer: u32,
    pub(crate) blocks: Vec<u64>,
}

/// All requests, in order of arrival.
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

struct Source<'a> {
    experiment: &'a Experiment,
    load: &'a Load,
    class: usize,
    pool: usize,
    seed: u64,
    rng: ChaCha8Rng,
    /// Blocks of each conversation so far.
    sessions: Vec<Vec<u64>>,
    next_block: u64,
}

impl<'a> Source<'a> {
    fn new(experiment: &'a Experiment, load: &'a Load, seed: u64) -> Self {
        let class = experiment.classes.iter().position(|it| it.id == load.class);
        let pool = experiment.pools.iter().position(|it| it.id == load.pool);
        Self {
            experiment,
            load,
            class: class.expect("checked with the experiment"),
            pool: pool.expect("checked with the experiment"),
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sessions: vec![Vec::new(); load.sessions as usize],
            next_block: 0,
        }
    }

    /// Poisson arrivals with a varying rate, by thinning.
    fn draw(&mut self, requests: &mut Vec<Request>) {
        let bursts = self.load.bursts.iter().map(|burst| burst.factor);
        let most = self.load.rate * bursts.fold(1.0, f64::max);
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() / most;
            if at >= self.experiment.duration.as_secs_f64() {
                return;
            }
            let time = Duration::from_secs_f64(at);
            if self.rng.random::<f64>() * most < self.rate(time) {
                let request = self.request(time);
                requests.push(request);
            }
        }
    }

    fn rate(&self, at: Duration) -> f64 {
        let mut bursts = self.load.bursts.iter();
        let burst = bursts.find(|burst| burst.from <= at && at < burst.to);
        self.load.rate * burst.map_or(1.0, |burst| burst.factor)
    }

    fn request(&mut self, at: Duration) -> Request {
        let new = self.length(self.load.prompt);
        let answer = self.length(self.load.answer);
        let mut blocks = self.shared();
        let session = self.session();
        if let Some(session) = session {
            blocks.extend(&self.sessions[session]);
        }
        let old = blocks.len() as u32 * BLOCK_TOKENS;
        let fresh = self.fresh(new / BLOCK_TOKENS);
        blocks.extend(&fresh);
        if let Some(session) = session {
            let spoken = self.fresh(answer / BLOCK_TOKENS);
            self.grow(session, &fresh, &spoken);
        }
        Request {
            at,
            host: self.host(),
            class: self.class,
            account: self.load.account.clone(),
            pool: self.pool,
            prompt: old + new,
            answer,
            blocks,
        }
    }

    fn host(&mut self) -> usize {
        let hosts = &self.experiment.hosts;
        let mut left = self.rng.random::<f64>() * hosts.iter().sum::<f64>();
        for (n, weight) in hosts.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return n;
            }
        }
        hosts.len() - 1
    }

    /// A length with a log-normal spread.
    fn length(&mut self, mean: u32) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let factor = (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
        (f64::from(mean) * factor).round().max(1.0) as u32
    }

    fn session(&mut self) -> Option<usize> {
        if self.sessions.is_empty() {
            return None;
        }
        Some(self.rng.random_range(0..self.sessions.len()))
    }

    fn shared(&self) -> Vec<u64> {
        let count = u64::from(self.load.shared / BLOCK_TOKENS);
        (0..count).map(|n| self.hash(n)).collect()
    }

    fn fresh(&mut self, count: u32) -> Vec<u64> {
        let from = self.next_block + (1 << 20);
        self.next_block += u64::from(count);
        (from..from + u64::from(count))
            .map(|n| self.hash(n))
            .collect()
    }

    fn grow(&mut self, session: usize, fresh: &[u64], spoken: &[u64]) {
        let blocks = &mut self.sessions[session];
        blocks.extend(fresh);
        blocks.extend(spoken);
        if blocks.len() as u32 * BLOCK_TOKENS > MAX_PROMPT {
            blocks.clear();
        }
    }

    fn hash(&self, n: u64) -> u64 {
        let mixed = (self.seed ^ n.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    }
}
