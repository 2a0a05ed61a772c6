//! State of one entry host: its queues, its placement and its estimates for each class.

use std::collections::HashMap;
use std::time::Duration;

use agate_queue::Ticket;
use agate_queue::wait_budget::WaitBudget;
use agate_retry::budget::Budget;
use agate_retry::hedge::Delay;

use super::event::RequestIndex;
use super::policy::{Admission, Placement, admission, placement};
use crate::experiment::{Experiment, Policy};

/// Weight of a new response in the moving averages of response length and streaming time.
const GAIN: f64 = 0.05;
/// Fraction of the mean streaming time that counts as the shortest plausible execution time.
const MIN_EXECUTION: f64 = 0.5;
/// Response length assumed before the first response, in tokens.
const INITIAL_RESPONSE_TOKENS: f64 = 100.0;

/// Queue of the requests for one pool on one host.
pub(crate) struct PoolQueue {
    pub(crate) admission: Box<dyn Admission>,
    /// Queued request of each ticket.
    pub(crate) tickets: HashMap<Ticket, RequestIndex>,
}

/// Retry budget, hedge delay and estimates of one class on one host.
pub(crate) struct ClassState {
    pub(crate) budget: Budget,
    pub(crate) hedge_delay: Delay,
    /// Moving average of the response length, in tokens.
    mean_tokens: f64,
    /// Moving average of the time from the first to the last token, in seconds.
    mean_stream: f64,
    /// Limits how long a request may wait in the queue and still meet its first-token target.
    pub(crate) wait_budget: WaitBudget,
}

impl ClassState {
    /// Returns the expected response length in tokens.
    pub(crate) fn expected_tokens(&self) -> u64 {
        self.mean_tokens.round() as u64
    }

    /// Returns the shortest plausible execution time of a request.
    pub(crate) fn min_execution(&self) -> Duration {
        Duration::from_secs_f64(self.mean_stream * MIN_EXECUTION)
    }

    /// Updates the estimates by a completed request: response length, time to the first token
    /// and from there to the last.
    pub(crate) fn observe(&mut self, tokens: u32, first_token: Duration, stream: Duration) {
        self.mean_stream += GAIN * (stream.as_secs_f64() - self.mean_stream);
        self.mean_tokens += GAIN * (f64::from(tokens) - self.mean_tokens);
        self.hedge_delay.observe(first_token);
    }
}

/// An entry host.
pub(crate) struct Host {
    /// Availability zone of the host.
    pub(crate) zone: String,
    /// One queue for each pool of the experiment, in its order.
    pub(crate) queues: Vec<PoolQueue>,
    pub(crate) placement: Box<dyn Placement>,
    /// One state for each class of the experiment, in its order.
    pub(crate) classes: Vec<ClassState>,
}

impl Host {
    pub(crate) fn new(experiment: &Experiment, policy: Policy, index: usize) -> Self {
        let queue = |_| PoolQueue {
            admission: admission(policy),
            tickets: HashMap::new(),
        };
        let class = |class: &agate_wire::manifest::Class| ClassState {
            budget: Budget::new(class.retry_percent),
            hedge_delay: Delay::default(),
            mean_tokens: INITIAL_RESPONSE_TOKENS,
            mean_stream: 0.0,
            wait_budget: WaitBudget::default(),
        };
        Self {
            zone: experiment.zones[index % experiment.zones.len()].clone(),
            queues: experiment.pools.iter().map(queue).collect(),
            placement: placement(policy, experiment.hosts.len()),
            classes: experiment.classes.iter().map(class).collect(),
        }
    }
}
