//! Properties of budgets and decisions.

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
                work: Duration::from_secs(1),
            },
        )
}

#[test]
fn retries_stay_within_the_budget_when_everything_fails() {
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
                        work: Duration::ZERO,
                    };
                    let it = next(
                        now,
                        Outcome::Failed,
                        &history,
                        &mut budget,
                        &Backoff::default(),
                        &mut rng,
                    );
                    let Next::Retry { .. } = it else { break };
                    retries += 1;
                    sends += 1;
                }
            }
            let bound = budget.bound(gaps.len() as u64, now - start);
            prop_assert!(
                retries as f64 <= bound + 1e-6,
                "{retries} retries, bound {bound}"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_sent_request_that_is_not_idempotent_is_never_sent_again() {
    let now = Instant::now();
    runner(2000)
        .run(
            &(outcome(), history(now), any::<u64>()),
            |(outcome, history, seed)| {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let mut budget = Budget::new(100);
                let it = next(
                    now,
                    outcome,
                    &history,
                    &mut budget,
                    &Backoff::default(),
                    &mut rng,
                );
                match it {
                    Next::Retry { wait } => {
                        prop_assert!(
                            history.idempotent
                                || (history.sends == 0 && outcome == Outcome::Unconnected)
                        );
                        prop_assert!(now + wait + history.work < history.deadline);
                        prop_assert!(history.sends < MAX_SENDS);
                        let begun = matches!(outcome, Outcome::Broken { received } if received > 0);
                        prop_assert!(!begun, "an answer that has begun is never run again");
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
fn waits_are_spread_below_their_bound() {
    let backoff = Backoff::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 1..40 {
        let bound = backoff.bound(number);
        assert!(bound <= backoff.max);
        let waits: Vec<_> = (0..200).map(|_| backoff.wait(number, &mut rng)).collect();
        assert!(waits.iter().all(|it| *it <= bound));
        assert!(waits.iter().any(|it| *it < bound / 4));
        assert!(waits.iter().any(|it| *it > bound * 3 / 4));
    }
}
