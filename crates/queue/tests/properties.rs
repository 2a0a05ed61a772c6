//! Properties over random arrivals and starts.

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_check::runner;
use agate_model::refusal::Reason;
use agate_queue::{Charge, Offer, Room, Scheduler, Ticket};
use common::item;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        tier: u8,
        account: u8,
        tokens: u64,
        patience: u64,
    },
    Next,
    Settle {
        actual: u64,
    },
    Floor {
        tier: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5u8, 0..4u8, 1..500u64, 1..200u64)
            .prop_map(|(tier, account, tokens, patience)| Step::Offer { tier, account, tokens, patience }),
        3 => Just(Step::Next),
        2 => (0..800u64).prop_map(|actual| Step::Settle { actual }),
        1 => (0..4u8).prop_map(|tier| Step::Floor { tier }),
    ]
}

/// Tiers of the queued requests, kept beside the scheduler.
#[derive(Default)]
struct Model {
    queued: HashMap<Ticket, u8>,
}

impl Model {
    fn has_below(&self, tier: u8) -> bool {
        self.queued.values().any(|&it| it > tier)
    }
}

#[test]
fn no_higher_tier_is_shed_while_a_lower_one_is_queued() {
    let steps = proptest::collection::vec(step(), 1..400);
    runner(200)
        .run(&steps, |steps| {
            let mut now = Instant::now();
            let mut scheduler = Scheduler::new();
            let mut model = Model::default();
            let mut charges: Vec<Charge> = Vec::new();
            for step in steps {
                now += Duration::from_millis(100);
                for ticket in scheduler.expire(now) {
                    model.queued.remove(&ticket);
                }
                match step {
                    Step::Offer {
                        tier,
                        account,
                        tokens,
                        patience,
                    } => {
                        let mut it = item(now, &account.to_string(), tier);
                        it.tokens = tokens;
                        it.queue_limit = 3;
                        it.deadline = now + Duration::from_secs(patience);
                        match scheduler.offer(now, it) {
                            Offer::Queued { ticket, displaced } => {
                                if let Some(victim) = displaced {
                                    let lost =
                                        model.queued.remove(&victim).expect("a victim was queued");
                                    prop_assert!(lost >= tier);
                                    prop_assert!(!model.has_below(lost));
                                }
                                model.queued.insert(ticket, tier);
                            }
                            Offer::Refused(Reason::DeadlineUnreachable) => {}
                            Offer::Refused(_) => prop_assert!(!model.has_below(tier)),
                        }
                    }
                    Step::Next => {
                        if let Some(start) = scheduler.next(now, Room::ANY) {
                            model.queued.remove(&start.ticket);
                            charges.push(start.charge);
                        }
                    }
                    Step::Settle { actual } => {
                        if let Some(charge) = charges.pop() {
                            scheduler.settle(charge, actual);
                        }
                    }
                    Step::Floor { tier } => scheduler.set_floor(tier, now + Duration::from_secs(1)),
                }
                prop_assert_eq!(scheduler.len(), model.queued.len());
                prop_assert!(scheduler.len() <= 5 * 3);
            }
            while let Some(start) = scheduler.next(now, Room::ANY) {
                charges.push(start.charge);
            }
            for charge in charges {
                scheduler.settle(charge, 1);
            }
            prop_assert!(scheduler.is_empty());
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_class_starves() {
    let weights = proptest::collection::vec(1..10u32, 5);
    runner(50)
        .run(&weights, |weights| {
            let now = Instant::now();
            let mut scheduler = Scheduler::new();
            let offer = |scheduler: &mut Scheduler, tier: usize| {
                let mut it = item(now, "a", tier as u8);
                it.class_weight = weights[tier];
                scheduler.offer(now, it);
            };
            for tier in 0..5 {
                offer(&mut scheduler, tier);
                offer(&mut scheduler, tier);
            }
            let mut starts = [0u32; 5];
            const WINDOW: u32 = 2000;
            for _ in 0..WINDOW {
                let start = scheduler.next(now, Room::ANY).expect("work is queued");
                starts[usize::from(start.item.tier)] += 1;
                offer(&mut scheduler, usize::from(start.item.tier));
                scheduler.settle(start.charge, 100);
            }
            let total: u32 = weights.iter().sum();
            for tier in 0..5 {
                let guaranteed = WINDOW / 10 * weights[tier] / total;
                prop_assert!(
                    starts[tier] + 1 >= guaranteed,
                    "tier {tier}: {starts:?} {weights:?}"
                );
            }
            prop_assert!(starts[0] >= WINDOW * 9 / 10);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_class_whose_requests_are_displaced_at_once_still_gets_starts() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let mut low = 0;
    for round in 0..1000 {
        scheduler.offer(now, item(now, "a", 4));
        if round % 3 == 0 {
            for _ in 0..2 {
                scheduler.offer(now, item(now, "b", 0));
            }
        }
        let start = scheduler.next(now, Room::ANY).expect("work is queued");
        low += u32::from(start.item.tier == 4);
        scheduler.settle(start.charge, 100);
        for _ in 0..2 {
            scheduler.offer(now, item(now, "b", 0));
        }
    }
    assert!(low >= 90, "{low} of 1000");
}

#[test]
fn accounts_share_by_weight_whatever_they_offer() {
    let input = (1..8u32, 1..8u32, 10..400u64, 10..400u64, 2..12usize);
    runner(60)
        .run(&input, |(weight_a, weight_b, tokens_a, tokens_b, eager)| {
            let now = Instant::now();
            let mut scheduler = Scheduler::new();
            let offer = |scheduler: &mut Scheduler, heavy: bool| {
                let mut it = item(now, if heavy { "a" } else { "b" }, 1);
                it.account_weight = if heavy { weight_a } else { weight_b };
                it.tokens = 100;
                it.queue_limit = 64;
                scheduler.offer(now, it);
            };
            let mut served = [0u64; 2];
            for _ in 0..3000 {
                for _ in 0..eager {
                    offer(&mut scheduler, true);
                }
                offer(&mut scheduler, false);
                offer(&mut scheduler, false);
                let start = scheduler.next(now, Room::ANY).expect("work is queued");
                let heavy = start.item.account.as_deref() == Some("a");
                let actual = if heavy { tokens_a } else { tokens_b };
                served[usize::from(!heavy)] += actual;
                scheduler.settle(start.charge, actual);
            }
            let share = served[1] as f64 / (served[0] + served[1]) as f64;
            let due = f64::from(weight_b) / f64::from(weight_a + weight_b);
            prop_assert!(
                (share - due).abs() <= 0.1 * due,
                "share {share:.3}, due {due:.3}"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn counters_end_at_the_true_figures() {
    let input = proptest::collection::vec((1..1000u64, 0..2000u64), 1..100);
    runner(60)
        .run(&input, |requests| {
            let now = Instant::now();
            let mut scheduler = Scheduler::new();
            // The account that was charged too much or too little catches up later:
            // after equal true service both accounts alternate again.
            let mut truth = [0u64; 2];
            let mut it = item(now, "a", 1);
            it.queue_limit = 10_000;
            for &(estimate, _) in &requests {
                for account in ["a", "b"] {
                    let mut it = it.clone();
                    it.account = Some(account.to_owned());
                    it.tokens = estimate;
                    scheduler.offer(now, it);
                }
            }
            let largest = requests.iter().map(|it| it.0.max(it.1)).max().unwrap_or(0);
            for &(_, actual) in &requests {
                let start = scheduler.next(now, Room::ANY).expect("work is queued");
                let of = usize::from(start.item.account.as_deref() == Some("b"));
                truth[of] += actual;
                scheduler.settle(start.charge, actual);
            }
            prop_assert!(truth[0].abs_diff(truth[1]) <= largest, "{truth:?}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn idle_accounts_earn_no_credit_and_are_forgotten() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let run = |scheduler: &mut Scheduler, account: &str| {
        scheduler.offer(now, item(now, account, 1));
        let start = scheduler.next(now, Room::ANY).expect("work is queued");
        scheduler.settle(start.charge, 100);
    };
    for n in 0..1000 {
        run(&mut scheduler, &format!("account-{n}"));
    }
    for _ in 0..50 {
        run(&mut scheduler, "busy");
    }
    assert!(scheduler.snapshot(now).accounts <= 2);
    for _ in 0..4 {
        scheduler.offer(now, item(now, "busy", 1));
        scheduler.offer(now, item(now, "returned", 1));
    }
    let mut first = [0; 2];
    for _ in 0..4 {
        let start = scheduler.next(now, Room::ANY).expect("work is queued");
        first[usize::from(start.item.account.as_deref() == Some("busy"))] += 1;
        scheduler.settle(start.charge, 100);
    }
    assert_eq!(first, [2, 2]);
}
