//! Runs the decision crates (queue, pick, retry, fleet) in simulated time against modelled engines.

mod attempt;
mod baseline;
mod cache;
mod engine;
mod event;
mod fault;
mod fleet;
mod host;
pub mod metric;
mod policy;
mod traffic;
mod world;

use std::time::Duration;

use crate::experiment::{Experiment, Policy};
use metric::Outcome;

/// Simulates an experiment under one policy.
///
/// The requests depend only on the experiment and its seed, so all policies get the same ones.
pub fn run(experiment: &Experiment, policy: Policy) -> Outcome {
    let requests = traffic::generate(experiment);
    world::World::new(experiment, policy, requests).run()
}

/// Length of one interval in the time series of attained and offered requests.
pub const BUCKET: Duration = Duration::from_secs(10);
