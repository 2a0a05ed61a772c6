//! Continuous batching: a waiting queue by priority and a batch that advances
//! in steps whose duration grows with its load.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use agate_wire::engine::{Completion, Load};
use tokio::time::Instant;

use super::cache::{BLOCK_BYTES, Block, TOKEN_BYTES, blocks, prompt};
use super::stream::Stream;
use super::{Engine, Settings};

/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Longest idle time between sweeps of ended answers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Size of a prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    tokens: u64,
    blocks: Vec<Block>,
}

impl Prompt {
    /// Prompt of a request.
    pub fn new(completion: &Completion) -> Self {
        let text = prompt(completion);
        Self {
            tokens: text.len().div_ceil(TOKEN_BYTES) as u64,
            blocks: blocks(&completion.model, &text),
        }
    }

    fn uncached(&self, hits: usize) -> u64 {
        let cached = (hits * BLOCK_BYTES / TOKEN_BYTES) as u64;
        self.tokens.saturating_sub(cached)
    }
}

/// Place in the waiting queue; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    arrival: u64,
}

#[derive(Debug)]
struct Job {
    stream: Rc<Stream>,
    prompt: Prompt,
}

/// Waiting and running requests.
#[derive(Debug, Default)]
pub struct Batch {
    arrivals: u64,
    generated: u64,
    waiting: BTreeMap<Rank, Job>,
    running: Vec<Job>,
    step: Duration,
}

impl Batch {
    /// Adds a request to the waiting queue; priority 0 is the highest.
    pub fn enqueue(&mut self, stream: Rc<Stream>, prompt: Prompt, priority: u8) {
        let rank = Rank {
            priority,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.waiting.insert(rank, Job { stream, prompt });
    }

    /// Tokens generated so far.
    pub fn generated(&self) -> u64 {
        self.generated
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    fn tokens(&self) -> u64 {
        let of = |job: &Job| job.prompt.tokens + job.stream.produced() as u64;
        self.running.iter().map(of).sum()
    }

    fn drop_ended(&mut self) {
        self.running.retain(|it| !it.stream.is_ended());
        self.waiting.retain(|_, it| !it.stream.is_ended());
    }

    /// Moves waiting requests into free slots and answers their prefill time.
    fn admit(&mut self, engine: &Engine) -> Duration {
        let mut prefill = Duration::ZERO;
        while self.running.len() < engine.settings.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                break;
            };
            let hits = engine.cache.borrow_mut().admit(&job.prompt.blocks);
            let tokens = u32::try_from(job.prompt.uncached(hits)).unwrap_or(u32::MAX);
            prefill += engine.settings.prefill_per_token * tokens;
            self.running.push(job);
        }
        prefill
    }

    fn measure(&mut self, settings: &Settings) -> Duration {
        let requests = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let tokens = u32::try_from(self.tokens()).unwrap_or(u32::MAX);
        self.step = settings.step
            + settings.step_per_request * requests
            + settings.step_per_kilotoken * tokens / 1000;
        self.step
    }

    fn load(&self, engine: &Engine) -> Load {
        let orders = engine.orders.borrow();
        Load {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            batch_tokens: self.tokens(),
            step_us: u64::try_from(self.step.as_micros()).unwrap_or(u64::MAX),
            models: orders.loaded(),
            draining: orders.is_draining(),
            age_ms: 0,
        }
    }
}

/// Advances the batch until the engine ends.
pub(crate) async fn run(engine: Rc<Engine>) {
    loop {
        engine.streams.borrow_mut().sweep(engine.settings.keep);
        engine.batch.borrow_mut().drop_ended();
        if engine.batch.borrow().is_idle() {
            let _ = tokio::time::timeout(SWEEP_INTERVAL, engine.work.notified()).await;
            continue;
        }
        let duration = {
            let mut batch = engine.batch.borrow_mut();
            let prefill = batch.admit(&engine);
            prefill + batch.measure(&engine.settings)
        };
        tokio::time::sleep(slowed(&engine, duration)).await;
        advance(&engine);
    }
}

fn slowed(engine: &Engine, duration: Duration) -> Duration {
    let factor = engine.shared.faults.borrow().of("/v1").slowdown;
    if factor > 0.0 {
        duration.mul_f64(factor)
    } else {
        duration
    }
}

fn advance(engine: &Engine) {
    let mut batch = engine.batch.borrow_mut();
    for index in 0..batch.running.len() {
        let stream = batch.running[index].stream.clone();
        if stream.is_ended() {
            continue;
        }
        if stream.is_orphaned(engine.settings.orphan_limit) {
            stream.cancel(&engine.shared);
            continue;
        }
        stream.advance(&engine.shared);
        batch.generated += 1;
    }
}

#[derive(Debug)]
struct Reading {
    at: Instant,
    load: Load,
}

/// Recent load, for reports that lag.
#[derive(Debug, Default)]
pub struct Reports {
    readings: VecDeque<Reading>,
}

impl Reports {
    /// Load as of `lag` ago; an engine that has just started reports none.
    pub fn load(&self, lag: Duration) -> Load {
        let old = |it: &&Reading| it.at.elapsed() >= lag;
        let Some(reading) = self.readings.iter().rev().find(old) else {
            return Load::default();
        };
        let age_ms = u64::try_from(reading.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Load {
            age_ms,
            ..reading.load.clone()
        }
    }
}

/// Takes readings until the engine ends.
pub(crate) async fn report(engine: Rc<Engine>) {
    loop {
        let load = engine.batch.borrow().load(&engine);
        {
            let lag = engine.settings.load_lag;
            let readings = &mut engine.reports.borrow_mut().readings;
            readings.push_back(Reading {
                at: Instant::now(),
                load,
            });
            while readings.len() > 2 && readings[1].at.elapsed() > lag {
                readings.pop_front();
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}
