//! Rollout of a new version to a pool, in steps.

use std::time::{Duration, Instant};

/// Share of the endpoints that run the new version in each step.
const STEPS: [f64; 5] = [0.05, 0.2, 0.4, 0.7, 1.0];
/// Shortest duration of a step.
const MIN_STEP: Duration = Duration::from_secs(60);
/// Requests that each version must have served in a step before the two are compared.
const MIN_REQUESTS: u64 = 50;
/// Difference of the rates that is tolerated even if it is significant.
const MARGIN: f64 = 0.01;
/// Number of standard errors above which a difference is significant.
const SIGMA_LIMIT: f64 = 4.0;
/// Fewest failures or missed targets of the new version that can make a difference significant.
const MIN_FAILURES: u64 = 5;
/// Requests of the new version after which its error rate is checked before the step's end.
const EARLY_REQUESTS: u64 = 20;
/// Error rate above which the rollout is rolled back before the step's end.
const EARLY_ERROR_RATE: f64 = 0.5;

/// Counts of the requests that one version served in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Number of requests, failed ones included.
    pub requests: u64,
    /// Requests that failed.
    pub errors: u64,
    /// Requests that missed a latency target.
    pub missed: u64,
}

impl Sample {
    fn add(&mut self, other: &Sample) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.missed += other.missed;
    }
}

/// Requests that both versions served in the same interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// Counts of the version that the rollout replaces.
    pub old: Sample,
    /// Counts of the version that is rolled out.
    pub new: Sample,
}

/// Reason for which a rollout was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regression {
    /// The new version has a higher error rate.
    Errors,
    /// The new version misses latency targets more often.
    Latency,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Some endpoints run the new version.
    InProgress,
    /// All endpoints run the new version.
    Complete,
    /// All endpoints return to the old version.
    RolledBack(Regression),
}

/// Rollout of one new version to one pool.
#[derive(Debug)]
pub struct Rollout {
    /// Index into [`STEPS`].
    step: usize,
    step_started: Instant,
    /// Requests of both versions since the step started.
    observed: Interval,
    phase: Phase,
}

impl Rollout {
    /// Starts a rollout at `now`, in the first step.
    pub fn new(now: Instant) -> Self {
        Self {
            step: 0,
            step_started: now,
            observed: Interval::default(),
            phase: Phase::InProgress,
        }
    }

    /// Returns the state after the last observation.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns how many of `total` endpoints should run the new version.
    pub fn count(&self, total: u32) -> u32 {
        match self.phase {
            Phase::Complete => total,
            Phase::RolledBack(_) => 0,
            Phase::InProgress => (f64::from(total) * STEPS[self.step]).ceil() as u32,
        }
    }

    /// Records the requests of both versions since the last call and returns the new state.
    pub fn observe(&mut self, now: Instant, interval: &Interval) -> Phase {
        if self.phase != Phase::InProgress {
            return self.phase;
        }
        self.observed.old.add(&interval.old);
        self.observed.new.add(&interval.new);
        if let Some(regression) = self.early_regression() {
            self.phase = Phase::RolledBack(regression);
        } else if self.is_step_complete(now) {
            self.finish_step(now);
        }
        self.phase
    }

    /// Returns [`Regression::Errors`] if the new version fails outright while the old one doesn't.
    fn early_regression(&self) -> Option<Regression> {
        let Interval { old, new } = &self.observed;
        let fails = |sample: &Sample| ratio(sample.errors, sample.requests) > EARLY_ERROR_RATE;
        let is_clear = new.requests >= EARLY_REQUESTS && fails(new) && !fails(old);
        is_clear.then_some(Regression::Errors)
    }

    /// Compares the versions and rolls back or advances. Runs once per step, since repeated
    /// comparisons would find a difference by chance sooner or later.
    fn finish_step(&mut self, now: Instant) {
        let Interval { old, new } = &self.observed;
        if is_worse((new.errors, new.requests), (old.errors, old.requests)) {
            self.phase = Phase::RolledBack(Regression::Errors);
        } else if is_worse((new.missed, new.requests), (old.missed, old.requests)) {
            self.phase = Phase::RolledBack(Regression::Latency);
        } else {
            self.advance(now);
        }
    }

    /// Returns whether the old version has served enough requests to compare with.
    fn has_old_requests(&self) -> bool {
        self.observed.old.requests >= MIN_REQUESTS
    }

    /// Returns whether the step lasted long enough and both versions served enough requests. In
    /// the last step no endpoint runs the old version, so only the new one counts.
    fn is_step_complete(&self, now: Instant) -> bool {
        let duration = now.saturating_duration_since(self.step_started);
        let is_last = self.step + 1 == STEPS.len();
        duration >= MIN_STEP
            && self.observed.new.requests >= MIN_REQUESTS
            && (self.has_old_requests() || is_last)
    }

    fn advance(&mut self, now: Instant) {
        self.observed = Interval::default();
        self.step_started = now;
        self.step += 1;
        if self.step == STEPS.len() {
            self.step -= 1;
            self.phase = Phase::Complete;
        }
    }
}

fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    part as f64 / total as f64
}

/// Returns whether the rate of the new version is significantly higher than that of the old one.
/// Each rate is given as counted requests and all requests.
fn is_worse(new: (u64, u64), old: (u64, u64)) -> bool {
    if new.0 < MIN_FAILURES || old.1 == 0 {
        return false;
    }
    let difference = ratio(new.0, new.1) - ratio(old.0, old.1);
    let pooled = ratio(new.0 + old.0, new.1 + old.1);
    let variance = pooled * (1.0 - pooled) * (1.0 / new.1 as f64 + 1.0 / old.1 as f64);
    difference > MARGIN.max(SIGMA_LIMIT * variance.sqrt())
}
