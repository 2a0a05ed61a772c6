//! Runs a small experiment in simulated time and checks the experiment files.

use std::path::Path;

use agate_load::experiment::{Experiment, Policy};
use agate_load::live::plan::Plan;
use agate_load::sim::{self, metric::Outcome};
use agate_settings::file;

/// One minute with idempotent, non-idempotent and reclaimable classes, a burst and each kind of
/// fault.
const SMALL: &str = r"
seed: 5
duration: 60s
warm_up: 5s
hosts: [2, 1, 1]
network: 1ms
reports: { every: 500ms, lag: 1s }
zones: [a, b]
pools:
  - id: pool
    standard: 2
    reclaimable: 2
    slots: 4
    step: { base: 10ms, per_request: 1ms, per_prompt_token: 50us }
    cache_blocks: 500
classes:
  - { id: top, tier: 0, target: { first_token: 900ms, between_tokens: 40ms, deadline: 5s }, queue_limit: 16 }
  - { id: once, tier: 1, idempotent: false, target: { first_token: 2s, between_tokens: 40ms, deadline: 5s }, queue_limit: 16 }
  - { id: low, tier: 4, reclaimable: true, target: { first_token: 5s, between_tokens: 60ms, deadline: 10s }, queue_limit: 16 }
load:
  - { class: top, account: a, pool: pool, rate: 6, prompt: 100, answer: 30, shared: 128, sessions: 5 }
  - { class: once, account: a, pool: pool, rate: 2, prompt: 100, answer: 20 }
  - { class: low, account: a, pool: pool, rate: 4, prompt: 200, answer: 80 }
  - { class: low, account: b, pool: pool, rate: 1, prompt: 200, answer: 80, bursts: [{ from: 20s, to: 40s, factor: 8 }] }
faults:
  - { from: 15s, to: 25s, what: { slow: { endpoint: 0, factor: 4 } } }
  - { from: 30s, to: 40s, what: { crash: { endpoint: 1 } } }
  - { from: 45s, to: 55s, what: { reclaim: { zone: a, notice: 1s } } }
policies: [agate]
";

/// Policies with code paths of their own; the others only change picker parameters or turn off the
/// exchange of shed tiers.
const POLICIES: [Policy; 6] = [
    Policy::Agate,
    Policy::Fifo,
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::NoBudget,
    Policy::FixedFleet,
];

fn small() -> Experiment {
    file::parse("small", SMALL).expect("the experiment is valid")
}

/// Returns the share of the requests of a class that met all targets.
fn attainment(outcome: &Outcome, class: &str) -> f64 {
    let class = outcome.classes.iter().find(|result| result.id == class);
    class
        .expect("the experiment has the class")
        .counts
        .attainment()
}

#[test]
fn every_request_ends_exactly_once_under_every_policy() {
    let experiment = small();
    let mut offered = None;
    for policy in POLICIES {
        let outcome = sim::run(&experiment, policy);
        for class in &outcome.classes {
            let counts = &class.counts;
            let ended = counts.attained + counts.late + counts.refused + counts.failed;
            assert_eq!(ended, counts.offered, "{} {}", outcome.policy, class.id);
        }
        let total: u64 = outcome
            .classes
            .iter()
            .map(|class| class.counts.offered)
            .sum();
        assert_eq!(
            *offered.get_or_insert(total),
            total,
            "all policies get the same requests"
        );
    }
}

#[test]
fn equal_seeds_give_equal_results() {
    let experiment = small();
    let run = || {
        let outcome = sim::run(&experiment, Policy::Agate);
        serde_json::to_string(&outcome).expect("results can be encoded as JSON")
    };
    assert_eq!(run(), run());
}

#[test]
fn the_highest_tier_attains_more_than_under_fifo() {
    let experiment = small();
    let agate = sim::run(&experiment, Policy::Agate);
    let fifo = sim::run(&experiment, Policy::Fifo);
    assert!(attainment(&agate, "top") > attainment(&fifo, "top"));
    assert!(attainment(&agate, "low") > 0.0);
}

#[test]
fn all_experiment_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files = std::fs::read_dir(folder).expect("the folder of experiments exists");
    let mut count = 0;
    for entry in files {
        let path = entry.expect("the folder entry is readable").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let findings = match name.starts_with("live") {
            true => file::load::<Plan>(&path).err(),
            false => file::load::<Experiment>(&path).err(),
        };
        if let Some(report) = findings {
            panic!("{report}");
        }
        count += 1;
    }
    assert!(count >= 6);
}

#[test]
fn results_are_written_as_json_and_as_a_plot() {
    let outcome = sim::run(&small(), Policy::Agate);
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let json = folder.path().join("small.json");
    let plot = folder.path().join("small.svg");
    agate_load::report::write_json(&json, &[&outcome]).expect("the JSON file is written");
    agate_load::report::write_plot(&plot, "small", &[outcome]).expect("the plot is drawn");
    let text = std::fs::read_to_string(&plot).expect("the plot exists");
    assert!(text.starts_with("<svg"));
    let text = std::fs::read_to_string(&json).expect("the JSON file exists");
    assert!(text.contains("\"goodput\""));
}
