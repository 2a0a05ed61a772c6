//! The decision crates in simulated time, against a small model of engines.

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

/// Runs one policy; all policies of an experiment meet the same requests.
pub fn run(experiment: &Experiment, policy: Policy) -> Outcome {
    let requests = traffic::generate(experiment);
    world::World::new(experiment, policy, requests).run()
}

/// Length of the intervals of time series.
pub const BUCKET: Duration = Duration::from_secs(10);
