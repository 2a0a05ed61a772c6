//! Decision whether a failed attempt is retried, resumed or reported to the caller.

use std::time::{Duration, Instant};

use agate_model::refusal::Reason;
use rand::RngCore;

use crate::backoff::Backoff;
use crate::budget::Budget;

/// Largest number of connection attempts for one request. They cost the endpoints nothing, so they
/// need no budget.
pub const MAX_CONNECTS: u32 = 4;
/// Largest number of times that one request is sent, the first included.
pub const MAX_SENDS: u32 = 3;
/// Largest number of attempts to resume one stream.
pub const MAX_RESUMES: u32 = 5;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection was made, so this attempt sent nothing.
    Unconnected,
    /// The endpoint refused the request without executing it; it counts as sent.
    Declined,
    /// The connection broke, or the endpoint responded with an error, before any of the response
    /// arrived.
    Failed,
    /// No response arrived within the timeout.
    TimedOut,
    /// The stream broke after this many chunks were handed to the caller.
    Broken {
        /// Number of chunks handed on, which is the offset of the next one.
        received: u64,
    },
}

impl Outcome {
    /// Returns the reason that the caller gets if there is no further attempt.
    pub fn reason(self) -> Reason {
        match self {
            Self::Unconnected => Reason::EndpointUnreachable,
            Self::Declined | Self::Failed | Self::Broken { .. } => Reason::EndpointFailed,
            Self::TimedOut => Reason::EndpointTimeout,
        }
    }
}

/// Attempts made for a request so far, and the limits that the request sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether the endpoint's stream can be resumed.
    pub resumable: bool,
    /// Number of connection attempts.
    pub connects: u32,
    /// Number of times that the request was sent.
    pub sends: u32,
    /// Number of attempts to resume the stream.
    pub resumes: u32,
    /// Time by which the complete response is due.
    pub deadline: Instant,
    /// Shortest plausible execution time; zero if unknown.
    pub min_execution: Duration,
}

/// Step that follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Choose another endpoint after the wait and send the request there.
    Retry {
        /// Time to wait before the retry.
        wait: Duration,
    },
    /// Fetch the rest of the stream from the same endpoint after the wait.
    Resume {
        /// Time to wait before the attempt to resume.
        wait: Duration,
        /// Offset of the first chunk to fetch.
        offset: u64,
    },
    /// Report the failure to the caller with this reason.
    Fail(Reason),
}

/// Decides what follows a failed attempt. A retry of a sent request is taken from `budget`; retries
/// of connection attempts and resumes are not.
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
    if !is_in_time(now, wait, history) {
        return Next::Fail(Reason::DeadlineUnreachable);
    }
    Next::Retry { wait }
}

/// Decides whether a stream that broke after its first chunk is resumed. It is never executed
/// again, because the new response would differ.
fn resume(
    now: Instant,
    offset: u64,
    history: &History,
    backoff: &Backoff,
    rng: &mut dyn RngCore,
) -> Next {
    let is_exhausted = history.resumes >= MAX_RESUMES;
    if !history.resumable || is_exhausted || now >= history.deadline {
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
    if !is_in_time(now, wait, history) {
        return Next::Fail(outcome.reason());
    }
    if !budget.withdraw(now) {
        return Next::Fail(Reason::RetryBudget);
    }
    Next::Retry { wait }
}

fn is_in_time(now: Instant, wait: Duration, history: &History) -> bool {
    now + wait + history.min_execution < history.deadline
}
