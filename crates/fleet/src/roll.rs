//! Shift of a pool to a new version, in steps.

use std::time::{Duration, Instant};

/// Shares of the endpoints that run the new version, step by step.
const STEPS: [f64; 5] = [0.05, 0.2, 0.4, 0.7, 1.0];
/// Shortest time in one step.
const MIN_STEP: Duration = Duration::from_secs(60);
/// Requests that each version needs in a step before they are compared.
const MIN_REQUESTS: u64 = 50;
/// Difference of the shares that is tolerated whatever its significance.
const MARGIN: f64 = 0.01;
/// Standard errors above which a difference is significant.
const SIGMAS: f64 = 4.0;
/// Failures or misses of the new version without which no difference is significant.
const MIN_WORSE: u64 = 5;
/// Requests after which a share is judged at once, without waiting for the step's end.
const EARLY_REQUESTS: u64 = 20;
/// Share of failed requests that stops the shift at once.
const EARLY_SHARE: f64 = 0.5;

/// Requests answered by one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Requests.
    pub requests: u64,
    /// Of these, requests that failed.
    pub errors: u64,
    /// Of these, requests that missed a latency target.
    pub missed: u64,
}

impl Sample {
    fn add(&mut self, other: &Sample) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.missed += other.missed;
    }
}

/// Requests answered by both versions over the same interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// Old version.
    pub old: Sample,
    /// New version.
    pub new: Sample,
}

/// Why a shift went back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The new version fails more often.
    Errors,
    /// The new version misses latency targets more often.
    Targets,
}

/// State of a shift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Some endpoints run the new version.
    Shifting,
    /// All endpoints run the new version.
    Complete,
    /// All endpoints go back to the old version.
    Reverted(Fault),
}

/// A shift to a new version.
#[derive(Debug)]
pub struct Roll {
    step: usize,
    entered: Instant,
    seen: Interval,
    phase: Phase,
}

impl Roll {
    /// Begins a shift with the first step.
    pub fn new(now: Instant) -> Self {
        Self {
            step: 0,
            entered: now,
            seen: Interval::default(),
            phase: Phase::Shifting,
        }
    }

    /// State.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Endpoints, out of `total`, that should run the new version.
    pub fn count(&self, total: u32) -> u32 {
        match self.phase {
            Phase::Complete => total,
            Phase::Reverted(_) => 0,
            Phase::Shifting => (f64::from(total) * STEPS[self.step]).ceil() as u32,
        }
    }

    /// Takes up what both versions did since the last call.
    pub fn observe(&mut self, now: Instant, interval: &Interval) -> Phase {
        if self.phase != Phase::Shifting {
            return self.phase;
        }
        self.seen.old.add(&interval.old);
        self.seen.new.add(&interval.new);
        if let Some(fault) = self.early_fault() {
            self.phase = Phase::Reverted(fault);
        } else if self.is_over(now) {
            self.conclude(now);
        }
        self.phase
    }

    /// A new version that fails outright, while the old one does not.
    fn early_fault(&self) -> Option<Fault> {
        let Interval { old, new } = &self.seen;
        let fails = |it: &Sample| share(it.errors, it.requests) > EARLY_SHARE;
        let is_clear = new.requests >= EARLY_REQUESTS && fails(new) && !fails(old);
        is_clear.then_some(Fault::Errors)
    }

    /// Compares the versions, once for each step: comparing again and again
    /// would find a difference by chance sooner or later.
    fn conclude(&mut self, now: Instant) {
        let Interval { old, new } = &self.seen;
        if is_worse((new.errors, new.requests), (old.errors, old.requests)) {
            self.phase = Phase::Reverted(Fault::Errors);
        } else if is_worse((new.missed, new.requests), (old.missed, old.requests)) {
            self.phase = Phase::Reverted(Fault::Targets);
        } else {
            self.advance(now);
        }
    }

    /// Whether there are enough requests of the old version to compare with.
    fn has_old(&self) -> bool {
        self.seen.old.requests >= MIN_REQUESTS
    }

    /// Whether the step took its time and both versions had enough requests;
    /// in the last step there is no old version left.
    fn is_over(&self, now: Instant) -> bool {
        let time = now.saturating_duration_since(self.entered);
        let is_last = self.step + 1 == STEPS.len();
        time >= MIN_STEP && self.seen.new.requests >= MIN_REQUESTS && (self.has_old() || is_last)
    }

    fn advance(&mut self, now: Instant) {
        self.seen = Interval::default();
        self.entered = now;
        self.step += 1;
        if self.step == STEPS.len() {
            self.step -= 1;
            self.phase = Phase::Complete;
        }
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Whether the first share is significantly greater than the second; each is
/// given as part and whole.
fn is_worse(new: (u64, u64), old: (u64, u64)) -> bool {
    if new.0 < MIN_WORSE || old.1 == 0 {
        return false;
    }
    let difference = share(new.0, new.1) - share(old.0, old.1);
    let pooled = share(new.0 + old.0, new.1 + old.1);
    let spread = pooled * (1.0 - pooled) * (1.0 / new.1 as f64 + 1.0 / old.1 as f64);
    difference > MARGIN.max(SIGMAS * spread.sqrt())
}
