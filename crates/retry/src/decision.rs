//! What follows a failed attempt.

use std::time::{Duration, Instant};

use agate_model::refusal::Reason;
use rand::RngCore;

use crate::backoff::Backoff;
use crate::budget::Budget;

/// Attempts to connect for one request. They cost the endpoints nothing, so
/// they need no budget.
pub const MAX_CONNECTS: u32 = 4;
/// Times that one request is sent.
pub const MAX_SENDS: u32 = 3;
/// Attempts to resume one stream.
pub const MAX_RESUMES: u32 = 5;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection was made.
    Unconnected,
    /// The endpoint refused the request without running it; it counts as sent.
    Declined,
    /// The connection broke, or the endpoint answered with an error, before any of the answer.
    Failed,
    /// Nothing came in time.
    TimedOut,
    /// The stream broke after this many chunks were handed to the caller.
    Broken {
        /// Chunks handed on; the next one has this offset.
        received: u64,
    },
}

impl Outcome {
    /// Reason told to the caller if nothing more is tried.
    pub fn reason(self) -> Reason {
        match self {
            Self::Unconnected => Reason::EndpointUnreachable,
            Self::Declined | Self::Failed | Self::Broken { .. } => Reason::EndpointFailed,
            Self::TimedOut => Reason::EndpointTimeout,
        }
    }
}

/// What was done for a request so far, and what it allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Whether the endpoint's stream can be resumed.
    pub resumable: bool,
    /// Attempts to connect.
    pub connects: u32,
    /// Times that it was sent.
    pub sends: u32,
    /// Attempts to resume.
    pub resumes: u32,
    /// The whole answer is due by then.
    pub deadline: Instant,
    /// Shortest plausible execution time; zero if unknown.
    pub work: Duration,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Choose another endpoint after the wait and send the request there.
    Retry {
        /// Wait.
        wait: Duration,
    },
    /// Fetch the rest of the stream from the same endpoint after the wait.
    Resume {
        /// Wait.
        wait: Duration,
        /// Chunk to begin with.
        offset: u64,
    },
    /// Tell the caller.
    Fail(Reason),
}

/// Decides what follows a failed attempt. A retry of a sent request is taken from `budget`.
pub fn next(
    now: Instant,
    outcome: Outcome,
    history: &History,
    budget: &mut Budget,
    backoff: &Backoff,
    rng: &mut dyn RngCore,
) -> Next {
    match outcome {
        Outcome::Unconnected if history.sends == 0 => connect(now, outcome, history, backoff, rng),
        Outcome::Broken { received } if received > 0 => {
            resume(now, received, history, backoff, rng)
        }
        _ => resend(now, outcome, history, budget, backoff, rng),
    }
}

fn connect(
    now: Instant,
    outcome: Outcome,
    history: &History,
    backoff: &Backoff,
    rng: &mut dyn RngCore,
) -> Next {
    if history.connects >= MAX_CONNECTS {
        return Next::Fail(outcome.reason());
    }
    let wait = backoff.wait(history.connects.max(1), rng);
    if !is_reachable(now, wait, history) {
        return Next::Fail(Reason::DeadlineUnreachable);
    }
    Next::Retry { wait }
}

/// A stream that has begun is never run again: the new answer would differ.
fn resume(
    now: Instant,
    offset: u64,
    history: &History,
    backoff: &Backoff,
    rng: &mut dyn RngCore,
) -> Next {
    let spent = history.resumes >= MAX_RESUMES;
    if !history.resumable || spent || now >= history.deadline {
        return Next::Fail(Reason::EndpointFailed);
    }
    let wait = backoff.wait(history.resumes + 1, rng);
    Next::Resume { wait, offset }
}

fn resend(
    now: Instant,
    outcome: Outcome,
    history: &History,
    budget: &mut Budget,
    backoff: &Backoff,
    rng: &mut dyn RngCore,
) -> Next {
    if !history.idempotent || history.sends >= MAX_SENDS {
        return Next::Fail(outcome.reason());
    }
    let wait = backoff.wait(history.sends.max(1), rng);
    if !is_reachable(now, wait, history) {
        return Next::Fail(outcome.reason());
    }
    if !budget.withdraw(now) {
        return Next::Fail(Reason::RetryBudget);
    }
    Next::Retry { wait }
}

fn is_reachable(now: Instant, wait: Duration, history: &History) -> bool {
    now + wait + history.work < history.deadline
}
