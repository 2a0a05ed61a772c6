//! Continuous batching: a priority queue of waiting requests and a batch that
//! advances in steps whose duration grows with the batch.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use agate_wire::engine::{Completion, Load};
use tokio::time::Instant;

use super::cache::{BLOCK_BYTES, Block, TOKEN_BYTES, blocks, prompt};
use super::stream::Stream;
use super::{Engine, Settings};

/// Interval between samples of the load.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between sweeps of ended streams while the engine is idle.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Token count and prefix blocks of a prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    tokens: u64,
    blocks: Vec<Block>,
}

impl Prompt {
    /// Measures the prompt of a request.
    pub fn new(completion: &Completion) -> Self {
        let text = prompt(completion);
        Self {
            tokens: text.len().div_ceil(TOKEN_BYTES) as u64,
            blocks: blocks(&completion.model, &text),
        }
    }

    /// Returns the number of prompt tokens to prefill after `hits` cached blocks.
    fn uncached(&self, hits: usize) -> u64 {
        let cached = (hits * BLOCK_BYTES / TOKEN_BYTES) as u64;
        self.tokens.saturating_sub(cached)
    }
}

/// Position in the waiting queue; the smallest is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    arrival: u64,
}

/// A request to generate, and its prompt.
#[derive(Debug)]
struct Job {
    stream: Rc<Stream>,
    prompt: Prompt,
}

/// Waiting and running requests of an engine.
#[derive(Debug, Default)]
pub struct Batch {
    arrivals: u64,
    /// Tokens generated so far, those of cancelled requests included.
    generated: u64,
    waiting: BTreeMap<Rank, Job>,
    running: Vec<Job>,
    /// Duration of the latest step, without prefill.
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

    /// Returns the tokens generated so far, those of cancelled requests included.
    pub fn generated(&self) -> u64 {
        self.generated
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the prompt and generated tokens of the running requests.
    fn tokens(&self) -> u64 {
        let job_tokens = |job: &Job| job.prompt.tokens + job.stream.produced() as u64;
        self.running.iter().map(job_tokens).sum()
    }

    fn drop_ended(&mut self) {
        self.running.retain(|job| !job.stream.is_ended());
        self.waiting.retain(|_, job| !job.stream.is_ended());
    }

    /// Moves waiting requests into free slots and returns their total prefill time.
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

    /// Computes and stores the duration of the next step, without prefill.
    fn update_step(&mut self, settings: &Settings) -> Duration {
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

/// Advances the batch step by step until the task is aborted.
pub(crate) async fn run(engine: Rc<Engine>) {
    loop {
        engine.streams.borrow_mut().sweep(engine.settings.retention);
        engine.batch.borrow_mut().drop_ended();
        if engine.batch.borrow().is_idle() {
            let _ = tokio::time::timeout(SWEEP_INTERVAL, engine.work_available.notified()).await;
            continue;
        }
        let duration = {
            let mut batch = engine.batch.borrow_mut();
            let prefill = batch.admit(&engine);
            prefill + batch.update_step(&engine.settings)
        };
        tokio::time::sleep(apply_slowdown(&engine, duration)).await;
        advance(&engine);
    }
}

/// Multiplies a duration by the fault `slowdown`, if it is set.
fn apply_slowdown(engine: &Engine, duration: Duration) -> Duration {
    let factor = engine.shared.faults.borrow().for_path("/v1").slowdown;
    if factor > 0.0 {
        duration.mul_f64(factor)
    } else {
        duration
    }
}

/// Adds one token to each running request and cancels those without a reader.
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

/// Load at one time.
#[derive(Debug)]
struct Sample {
    taken_at: Instant,
    load: Load,
}

/// Recent samples of the load, from which lagging load reports are made.
#[derive(Debug, Default)]
pub struct History {
    samples: VecDeque<Sample>,
}

impl History {
    /// Returns the load as of `lag` ago; an empty load if no sample is that old.
    pub fn load(&self, lag: Duration) -> Load {
        let is_old = |sample: &&Sample| sample.taken_at.elapsed() >= lag;
        let Some(sample) = self.samples.iter().rev().find(is_old) else {
            return Load::default();
        };
        let age_ms = u64::try_from(sample.taken_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Load {
            age_ms,
            ..sample.load.clone()
        }
    }
}

/// Samples the load at intervals until the task is aborted.
pub(crate) async fn sample_load(engine: Rc<Engine>) {
    loop {
        let load = engine.batch.borrow().load(&engine);
        {
            let lag = engine.settings.load_lag;
            let samples = &mut engine.load_history.borrow_mut().samples;
            samples.push_back(Sample {
                taken_at: Instant::now(),
                load,
            });
            while samples.len() > 2 && samples[1].taken_at.elapsed() > lag {
                samples.pop_front();
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}
