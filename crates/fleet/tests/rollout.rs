//! Rollouts of better, equal and worse versions.

use std::time::{Duration, Instant};

use agate_fleet::rollout::{Interval, Phase, Regression, Rollout, Sample};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const INTERVAL: Duration = Duration::from_secs(10);

fn sample(rng: &mut ChaCha8Rng, requests: u64, errors: f64, missed: f64) -> Sample {
    let mut draw = |rate: f64| (0..requests).filter(|_| rng.random_bool(rate)).count() as u64;
    Sample {
        requests,
        errors: draw(errors),
        missed: draw(missed),
    }
}

/// Runs a rollout and returns its last phase and its duration. `old` and `new` are the rates of
/// errors and of missed targets of each version.
fn run(seed: u64, old: (f64, f64), new: (f64, f64)) -> (Phase, Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut now = start;
    let mut rollout = Rollout::new(now);
    for _ in 0..1000 {
        now += INTERVAL;
        let share = f64::from(rollout.count(20)) / 20.0;
        let requests = (200.0 * share) as u64;
        let interval = Interval {
            old: sample(&mut rng, 200 - requests, old.0, old.1),
            new: sample(&mut rng, requests, new.0, new.1),
        };
        if rollout.observe(now, &interval) != Phase::InProgress {
            break;
        }
    }
    (rollout.phase(), now - start)
}

#[rstest]
#[case((0.01, 0.05), (0.01, 0.05), Phase::Complete)]
#[case((0.05, 0.2), (0.01, 0.05), Phase::Complete)]
#[case((0.01, 0.05), (0.10, 0.05), Phase::RolledBack(Regression::Errors))]
#[case((0.01, 0.05), (0.01, 0.25), Phase::RolledBack(Regression::Latency))]
#[case((0.01, 0.05), (0.90, 0.05), Phase::RolledBack(Regression::Errors))]
fn rollout_completes_unless_the_new_version_is_worse(
    #[case] old: (f64, f64),
    #[case] new: (f64, f64),
    #[case] expected: Phase,
) {
    for seed in 0..20 {
        assert_eq!(run(seed, old, new).0, expected, "seed {seed}");
    }
}

#[test]
fn each_step_lasts_its_minimum() {
    let (phase, duration) = run(1, (0.0, 0.0), (0.0, 0.0));
    assert_eq!(phase, Phase::Complete);
    assert!(duration >= Duration::from_secs(5 * 60), "{duration:?}");
}

#[test]
fn version_that_fails_outright_is_rolled_back_early() {
    let (_, duration) = run(1, (0.0, 0.0), (1.0, 0.0));
    assert!(duration <= Duration::from_secs(30), "{duration:?}");
}

#[test]
fn errors_of_both_versions_do_not_roll_back() {
    let now = Instant::now();
    let mut rollout = Rollout::new(now);
    let failed = Sample {
        requests: 30,
        errors: 30,
        missed: 30,
    };
    let interval = Interval {
        old: failed,
        new: failed,
    };
    assert_eq!(
        rollout.observe(now + INTERVAL, &interval),
        Phase::InProgress
    );
}
