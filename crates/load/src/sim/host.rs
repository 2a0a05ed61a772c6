//! One entry host.

use std::collections::HashMap;
use std::time::Duration;

use agate_queue::Ticket;
use agate_queue::wait_budget::WaitBudget;
use agate_retry::budget::Budget;
use agate_retry::hedge::Delay;

use super::event::RequestNo;
use super::policy::{Admission, Placement, admission, placement};
use crate::experiment::{Experiment, Policy};

/// Weight of a new answer in the moving average of answer lengths.
const GAIN: f64 = 0.05;
/// Share of the mean execution time that counts as the shortest plausible one.
const PLAUSIBLE: f64 = 0.5;
/// Answer length assumed before any was seen, in tokens.
const FIRST_GUESS: f64 = 100.0;

/// Queue of one pool on one host.
pub(crate) struct Lane {
    pub(crate) queue: Box<dyn Admission>,
    pub(crate) tickets: HashMap<Ticket, RequestNo>,
}

/// What a host knows of one class.
pub(crate) struct ClassState {
    pub(crate) budget: Budget,
    pub(crate) delay: Delay,
    answer: f64,
    /// Mean time from the first to the last token, in seconds.
    stream: f64,
    pub(crate) patience: WaitBudget,
}

impl ClassState {
    /// Expected answer length in tokens.
    pub(crate) fn expected(&self) -> u64 {
        self.answer.round() as u64
    }

    /// Shortest plausible execution time.
    pub(crate) fn work(&self) -> Duration {
        Duration::from_secs_f64(self.stream * PLAUSIBLE)
    }

    pub(crate) fn observe(&mut self, answer: u32, first_token: Duration, stream: Duration) {
        self.stream += GAIN * (stream.as_secs_f64() - self.stream);
        self.answer += GAIN * (f64::from(answer) - self.answer);
        self.delay.observe(first_token);
    }
}

pub(crate) struct Host {
    pub(crate) zone: String,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) placement: Box<dyn Placement>,
    pub(crate) classes: Vec<ClassState>,
}

impl Host {
    pub(crate) fn new(experiment: &Experiment, policy: Policy, no: usize) -> Self {
        let lane = |_| Lane {
            queue: admission(policy),
            tickets: HashMap::new(),
        };
        let class = |it: &agate_wire::manifest::Class| ClassState {
            budget: Budget::new(it.retry_percent),
            delay: Delay::default(),
            answer: FIRST_GUESS,
            stream: 0.0,
            patience: WaitBudget::default(),
        };
        Self {
            zone: experiment.zones[no % experiment.zones.len()].clone(),
            lanes: experiment.pools.iter().map(lane).collect(),
            placement: placement(policy, experiment.hosts.len()),
            classes: experiment.classes.iter().map(class).collect(),
        }
    }
}
