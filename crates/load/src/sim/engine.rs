//! A model engine with continuous batching.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::endpoint::{Endpoint, Fencing, Kind, Protocol};

use super::attempt;
use super::cache::Cache;
use super::traffic::{BLOCK_TOKENS, Request};
use crate::experiment::{Pool, Step};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Booting,
    Up,
    /// Takes no new work.
    Leaving,
    Down,
}

/// A request in an engine.
#[derive(Clone, Debug)]
struct Job {
    tier: u8,
    attempt: attempt::Key,
    blocks: Vec<u64>,
    prompt: u32,
    answer: u32,
}

/// What a step did for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Emission {
    Token(attempt::Key),
    /// The last token.
    End(attempt::Key),
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) pool: usize,
    pub(crate) endpoint: Endpoint,
    pub(crate) state: State,
    pub(crate) factor: f64,
    pub(crate) step_no: u64,
    pub(crate) is_stepping: bool,
    step: Step,
    waiting: BTreeMap<(u8, u64), Job>,
    batch: Vec<Job>,
    cache: Cache,
    order: u64,
    has_cache: bool,
    chunk: u32,
}

impl Engine {
    pub(crate) fn new(no: usize, pool_no: usize, pool: &Pool, zone_id: &str, kind: Kind) -> Self {
        let endpoint = Endpoint {
            id: format!("e{no}"),
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
            pool: pool_no,
            endpoint,
            state: State::Up,
            factor: 1.0,
            step_no: 0,
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

    pub(crate) fn running(&self) -> u32 {
        self.batch.len() as u32
    }

    pub(crate) fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn submit(&mut self, attempt: attempt::Key, tier: u8, request: &Request) {
        self.order += 1;
        let job = Job {
            tier,
            attempt,
            blocks: request.blocks.clone(),
            prompt: request.prompt,
            answer: request.answer,
        };
        self.waiting.insert((tier, self.order), job);
    }

    pub(crate) fn cancel(&mut self, attempt: attempt::Key) {
        self.waiting.retain(|_, job| job.attempt != attempt);
        self.batch.retain(|job| job.attempt != attempt);
    }

    /// Loses all work and returns it.
    pub(crate) fn crash(&mut self) -> Vec<attempt::Key> {
        let waiting = std::mem::take(&mut self.waiting);
        let batch = std::mem::take(&mut self.batch);
        self.is_stepping = false;
        self.step_no += 1;
        self.cache = Cache::default();
        waiting
            .into_values()
            .chain(batch)
            .map(|job| job.attempt)
            .collect()
    }

    /// Begins a step and returns its duration, or `None` without work.
    pub(crate) fn begin(&mut self) -> Option<Duration> {
        self.fill();
        if self.batch.is_empty() {
            self.is_stepping = false;
            return None;
        }
        self.is_stepping = true;
        let left: u32 = self.batch.iter().map(|job| job.prompt).sum();
        let prompt = left.min(self.chunk);
        let time = self.step.base
            + self.step.per_request * self.batch.len() as u32
            + self.step.per_prompt_token * prompt;
        Some(time.mul_f64(self.factor))
    }

    /// Ends a step.
    pub(crate) fn end(&mut self) -> Vec<Emission> {
        let mut budget = self.chunk;
        let mut emissions = Vec::new();
        for job in &mut self.batch {
            let chunk = job.prompt.min(budget);
            budget -= chunk;
            job.prompt -= chunk;
            if job.prompt > 0 {
                continue;
            }
            job.answer -= 1;
            emissions.push(match job.answer {
                0 => Emission::End(job.attempt),
                _ => Emission::Token(job.attempt),
            });
        }
        self.batch.retain(|job| job.answer > 0);
        emissions
    }

    /// Takes waiting requests into the batch, higher tiers first; the batch is
    /// ordered by tier, so that higher tiers' prompts are read first.
    fn fill(&mut self) {
        while self.batch.len() < self.endpoint.slots as usize {
            let Some((_, mut job)) = self.waiting.pop_first() else {
                return;
            };
            if self.has_cache {
                let held = self.cache.visit(&job.blocks) as u32 * BLOCK_TOKENS;
                job.prompt = job.prompt.saturating_sub(held);
            }
            let place = self.batch.partition_point(|it| it.tier <= job.tier);
            self.batch.insert(place, job);
        }
    }
}
