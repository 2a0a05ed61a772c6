//! Properties of budgets, decisions and backoff for random input.

mod common;

use std::time::{Duration, Instant};

use agate_check::runner;
use agate_retry::backoff::Backoff;
use agate_retry::budget::Budget;
use agate_retry::decision::{History, MAX_SENDS, Next, Outcome, next};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Unconnected),
        Just(Outcome::Declined),
        Just(Outcome::Failed),
        Just(Outcome::TimedOut),
        (0..3u64).prop_map(|received| Outcome::Broken { received }),
    ]
}

fn history(now: Instant) -> impl Strategy<Value = History> {
    (
        any::<bool>(),
        any::<bool>(),
        0..6u32,
        0..5u32,
        0..8u32,
        0..100u64,
    )
        .prop_map(
            move |(idempotent, resumable, connects, sends, resumes, seconds)| History {
                idempotent,
                resumable,
                connects,
                sends,
                resumes,
                deadline: now + Duration::from_secs(seconds),
                min_execution: Duration::from_secs(1),
            },
        )
}

#[test]
fn retries_stay_within_the_budget_when_every_attempt_fails() {
    let input = (
        0..50u32,
        proptest::collection::vec(0..2000u64, 1..400),
        any::<u64>(),
    );
    runner(100)
        .run(&input, |(percent, gaps, seed)| {
            let start = Instant::now();
            let mut now = start;
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut budget = Budget::new(percent);
            let mut retries = 0u64;
            for gap in &gaps {
                now += Duration::from_millis(*gap);
                budget.request(now);
                let mut sends = 1;
                loop {
                    let history = History {
                        idempotent: true,
                        resumable: false,
                        connects: 1,
                        sends,
                        resumes: 0,
                        deadline: now + Duration::from_secs(30),
                        min_execution: Duration::ZERO,
                    };
                    let step = next(
                        now,
                        Outcome::Failed,
                        &history,
                        &mut budget,
                        &Backoff::default(),
                        &mut rng,
                    );
                    let Next::Retry { .. } = step else { break };
                    retries += 1;
                    sends += 1;
                }
            }
            let bound = budget.bound(gaps.len() as u64, now - start);
            prop_assert!(
                retries as f64 <= bound + 1e-6,
                "{retries} retries, expected at most {bound}"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn sent_request_that_is_not_idempotent_is_never_sent_again() {
    let now = Instant::now();
    runner(2000)
        .run(
            &(outcome(), history(now), any::<u64>()),
            |(outcome, history, seed)| {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let mut budget = Budget::new(100);
                let step = next(
                    now,
                    outcome,
                    &history,
                    &mut budget,
                    &Backoff::default(),
                    &mut rng,
                );
                match step {
                    Next::Retry { wait } => {
                        prop_assert!(
                            history.idempotent
                                || (history.sends == 0 && outcome == Outcome::Unconnected)
                        );
                        prop_assert!(now + wait + history.min_execution < history.deadline);
                        prop_assert!(history.sends < MAX_SENDS);
                        let is_started =
                            matches!(outcome, Outcome::Broken { received } if received > 0);
                        prop_assert!(
                            !is_started,
                            "a stream of which chunks were received must not be retried"
                        );
                    }
                    Next::Resume { offset, .. } => {
                        prop_assert!(history.resumable);
                        prop_assert_eq!(outcome, Outcome::Broken { received: offset });
                    }
                    Next::Fail(_) => {}
                }
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn waits_are_spread_between_zero_and_their_bound() {
    let backoff = Backoff::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for retry in 1..40 {
        let bound = backoff.bound(retry);
        assert!(bound <= backoff.max);
        let waits: Vec<_> = (0..200).map(|_| backoff.wait(retry, &mut rng)).collect();
        assert!(waits.iter().all(|wait| *wait <= bound));
        assert!(waits.iter().any(|wait| *wait < bound / 4));
        assert!(waits.iter().any(|wait| *wait > bound * 3 / 4));
    }
}
