//! Version shifts.

use std::time::{Duration, Instant};

use agate_fleet::roll::{Fault, Interval, Phase, Roll, Sample};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const INTERVAL: Duration = Duration::from_secs(10);

fn sample(rng: &mut ChaCha8Rng, requests: u64, errors: f64, missed: f64) -> Sample {
    let mut draw = |share: f64| (0..requests).filter(|_| rng.random_bool(share)).count() as u64;
    Sample {
        requests,
        errors: draw(errors),
        missed: draw(missed),
    }
}

/// Runs a shift with these shares and returns its last phase and its duration.
fn run(seed: u64, old: (f64, f64), new: (f64, f64)) -> (Phase, Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut now = start;
    let mut roll = Roll::new(now);
    for _ in 0..1000 {
        now += INTERVAL;
        let share = f64::from(roll.count(20)) / 20.0;
        let requests = (200.0 * share) as u64;
        let interval = Interval {
            old: sample(&mut rng, 200 - requests, old.0, old.1),
            new: sample(&mut rng, requests, new.0, new.1),
        };
        if roll.observe(now, &interval) != Phase::Shifting {
            break;
        }
    }
    (roll.phase(), now - start)
}

#[rstest]
#[case((0.01, 0.05), (0.01, 0.05), Phase::Complete)]
#[case((0.05, 0.2), (0.01, 0.05), Phase::Complete)]
#[case((0.01, 0.05), (0.10, 0.05), Phase::Reverted(Fault::Errors))]
#[case((0.01, 0.05), (0.01, 0.25), Phase::Reverted(Fault::Targets))]
#[case((0.01, 0.05), (0.90, 0.05), Phase::Reverted(Fault::Errors))]
fn the_new_version_stays_unless_it_is_worse(
    #[case] old: (f64, f64),
    #[case] new: (f64, f64),
    #[case] expected: Phase,
) {
    for seed in 0..20 {
        assert_eq!(run(seed, old, new).0, expected, "seed {seed}");
    }
}

#[test]
fn each_step_takes_its_time() {
    let (phase, time) = run(1, (0.0, 0.0), (0.0, 0.0));
    assert_eq!(phase, Phase::Complete);
    assert!(time >= Duration::from_secs(5 * 60), "{time:?}");
}

#[test]
fn a_version_that_fails_outright_goes_back_at_once() {
    let (_, time) = run(1, (0.0, 0.0), (1.0, 0.0));
    assert!(time <= Duration::from_secs(30), "{time:?}");
}

#[test]
fn a_fault_of_both_versions_is_not_blamed_on_the_new_one() {
    let now = Instant::now();
    let mut roll = Roll::new(now);
    let failed = Sample {
        requests: 30,
        errors: 30,
        missed: 30,
    };
    let interval = Interval {
        old: failed,
        new: failed,
    };
    assert_eq!(roll.observe(now + INTERVAL, &interval), Phase::Shifting);
}
