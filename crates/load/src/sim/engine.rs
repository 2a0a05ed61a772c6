//! Model of an inference engine with continuous batching and a prefix cache.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::endpoint::{Endpoint, Fencing, Kind, Protocol};

use super::attempt;
use super::cache::Cache;
use super::traffic::{BLOCK_TOKENS, Request};
use crate::experiment::{Pool, Step};

/// Life cycle of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Ordered but not yet known to the hosts.
    Booting,
    /// Takes requests.
    Up,
    /// Finishes the requests in flight and takes no new ones.
    Leaving,
    /// Refuses connections and costs nothing.
    Down,
}

/// Remaining work of an attempt in an engine.
#[derive(Clone, Debug)]
struct Job {
    tier: u8,
    attempt: attempt::Key,
    blocks: Vec<u64>,
    /// Prompt tokens still to be processed.
    prompt_tokens: u32,
    /// Response tokens still to be generated.
    response_tokens: u32,
}

/// Token that a step generated for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Emission {
    /// A token before the last.
    Token(attempt::Key),
    /// The last token of the response.
    End(attempt::Key),
}

/// Engine of one endpoint.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Position of its pool in the experiment.
    pub(crate) pool: usize,
    pub(crate) endpoint: Endpoint,
    pub(crate) state: State,
    /// Multiple of the normal step duration; above 1 while the engine is slow.
    pub(crate) factor: f64,
    /// Number of the current step. It tells the end of this step from that of one that a crash
    /// cut short.
    pub(crate) step_number: u64,
    pub(crate) is_stepping: bool,
    step: Step,
    /// Queued work by tier and order of submission.
    waiting: BTreeMap<(u8, u64), Job>,
    /// Work in execution, ordered by tier.
    batch: Vec<Job>,
    cache: Cache,
    /// Number of attempts submitted so far.
    order: u64,
    has_cache: bool,
    /// Most prompt tokens that one step processes.
    chunk: u32,
}

impl Engine {
    pub(crate) fn new(
        index: usize,
        pool_index: usize,
        pool: &Pool,
        zone_id: &str,
        kind: Kind,
    ) -> Self {
        let endpoint = Endpoint {
            id: format!("e{index}"),
            pool: pool.id.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: zone_id.to_owned(),
            kind,
            fencing: Fencing::Checked,
            protocol: Protocol::Engine,
            slots: pool.slots,
            credential: None,
            leaving: false,
        };
        Self {
            pool: pool_index,
            endpoint,
            state: State::Up,
            factor: 1.0,
            step_number: 0,
            is_stepping: false,
            step: pool.step.clone(),
            waiting: BTreeMap::new(),
            batch: Vec::new(),
            cache: Cache::new(pool.cache_blocks),
            order: 0,
            has_cache: pool.cache_blocks > 0,
            chunk: pool.chunk,
        }
    }

    /// Returns the number of attempts in the batch.
    pub(crate) fn running(&self) -> u32 {
        self.batch.len() as u32
    }

    /// Returns the number of attempts that wait for a place in the batch.
    pub(crate) fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Queues an attempt behind those of its tier.
    pub(crate) fn submit(&mut self, attempt: attempt::Key, tier: u8, request: &Request) {
        self.order += 1;
        let job = Job {
            tier,
            attempt,
            blocks: request.blocks.clone(),
            prompt_tokens: request.prompt_tokens,
            response_tokens: request.response_tokens,
        };
        self.waiting.insert((tier, self.order), job);
    }

    /// Drops an attempt from the queue and the batch.
    pub(crate) fn cancel(&mut self, attempt: attempt::Key) {
        self.waiting.retain(|_, job| job.attempt != attempt);
        self.batch.retain(|job| job.attempt != attempt);
    }

    /// Drops all work and the cache and returns the attempts that were lost.
    pub(crate) fn crash(&mut self) -> Vec<attempt::Key> {
        let waiting = std::mem::take(&mut self.waiting);
        let batch = std::mem::take(&mut self.batch);
        self.is_stepping = false;
        self.step_number += 1;
        self.cache = Cache::default();
        waiting
            .into_values()
            .chain(batch)
            .map(|job| job.attempt)
            .collect()
    }

    /// Starts a step and returns its duration, or `None` if there is no work.
    pub(crate) fn start_step(&mut self) -> Option<Duration> {
        self.fill_batch();
        if self.batch.is_empty() {
            self.is_stepping = false;
            return None;
        }
        self.is_stepping = true;
        let remaining: u32 = self.batch.iter().map(|job| job.prompt_tokens).sum();
        let prompt_tokens = remaining.min(self.chunk);
        let time = self.step.base
            + self.step.per_request * self.batch.len() as u32
            + self.step.per_prompt_token * prompt_tokens;
        Some(time.mul_f64(self.factor))
    }

    /// Ends a step and returns the tokens it generated: one for each attempt whose prompt is
    /// processed.
    pub(crate) fn finish_step(&mut self) -> Vec<Emission> {
        let mut prompt_budget = self.chunk;
        let mut emissions = Vec::new();
        for job in &mut self.batch {
            let processed = job.prompt_tokens.min(prompt_budget);
            prompt_budget -= processed;
            job.prompt_tokens -= processed;
            if job.prompt_tokens > 0 {
                continue;
            }
            job.response_tokens -= 1;
            emissions.push(match job.response_tokens {
                0 => Emission::End(job.attempt),
                _ => Emission::Token(job.attempt),
            });
        }
        self.batch.retain(|job| job.response_tokens > 0);
        emissions
    }

    /// Moves queued work into the free slots of the batch, higher tiers first.
    ///
    /// The batch is ordered by tier, so that prompts of higher tiers are processed first.
    fn fill_batch(&mut self) {
        while self.batch.len() < self.endpoint.slots as usize {
            let Some((_, mut job)) = self.waiting.pop_first() else {
                return;
            };
            if self.has_cache {
                let cached = self.cache.visit(&job.blocks) as u32 * BLOCK_TOKENS;
                job.prompt_tokens = job.prompt_tokens.saturating_sub(cached);
            }
            let position = self.batch.partition_point(|other| other.tier <= job.tier);
            self.batch.insert(position, job);
        }
    }
}
