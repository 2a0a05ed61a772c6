//! Properties of the scheduler over random arrivals and starts.

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_check::runner;
use agate_model::refusal::Reason;
use agate_queue::{Charge, Offer, Room, Scheduler, Ticket};
use common::item;
use proptest::prelude::*;

/// One call of the scheduler.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        tier: u8,
        account: u8,
        tokens: u64,
        deadline_secs: u64,
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
            .prop_map(|(tier, account, tokens, deadline_secs)| Step::Offer { tier, account, tokens, deadline_secs }),
        3 => Just(Step::Next),
        2 => (0..800u64).prop_map(|actual| Step::Settle { actual }),
        1 => (0..4u8).prop_map(|tier| Step::Floor { tier }),
    ]
}

/// Tiers of the requests that should be queued, by ticket.
#[derive(Default)]
struct Model {
    queued: HashMap<Ticket, u8>,
}

impl Model {
    /// Returns whether a request of a lower tier is queued.
    fn has_below(&self, tier: u8) -> bool {
        self.queued.values().any(|&queued| queued > tier)
    }
}

#[test]
fn no_request_is_shed_while_one_of_a_lower_tier_is_queued() {
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
                        deadline_secs,
                    } => {
                        let mut offered = item(now, &account.to_string(), tier);
                        offered.tokens = tokens;
                        offered.queue_limit = 3;
                        offered.deadline = now + Duration::from_secs(deadline_secs);
                        match scheduler.offer(now, offered) {
                            Offer::Queued { ticket, displaced } => {
                                if let Some(victim) = displaced {
                                    let victim_tier = model
                                        .queued
                                        .remove(&victim)
                                        .expect("a displaced request was queued");
                                    prop_assert!(victim_tier >= tier);
                                    prop_assert!(!model.has_below(victim_tier));
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
fn each_class_gets_its_share_of_the_reserve() {
    let weights = proptest::collection::vec(1..10u32, 5);
    runner(50)
        .run(&weights, |weights| {
            let now = Instant::now();
            let mut scheduler = Scheduler::new();
            let offer = |scheduler: &mut Scheduler, tier: usize| {
                let mut offered = item(now, "a", tier as u8);
                offered.class_weight = weights[tier];
                scheduler.offer(now, offered);
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
fn a_class_whose_requests_are_soon_displaced_still_gets_its_reserved_starts() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let mut low_tier_starts = 0;
    for round in 0..1000 {
        scheduler.offer(now, item(now, "a", 4));
        if round % 3 == 0 {
            for _ in 0..2 {
                scheduler.offer(now, item(now, "b", 0));
            }
        }
        let start = scheduler.next(now, Room::ANY).expect("work is queued");
        low_tier_starts += u32::from(start.item.tier == 4);
        scheduler.settle(start.charge, 100);
        for _ in 0..2 {
            scheduler.offer(now, item(now, "b", 0));
        }
    }
    assert!(low_tier_starts >= 90, "{low_tier_starts} of 1000");
}

#[test]
fn accounts_get_tokens_by_weight_however_many_requests_they_offer() {
    let input = (1..8u32, 1..8u32, 10..400u64, 10..400u64, 2..12usize);
    runner(60)
        .run(
            &input,
            |(weight_a, weight_b, tokens_a, tokens_b, offers)| {
                let now = Instant::now();
                let mut scheduler = Scheduler::new();
                let offer = |scheduler: &mut Scheduler, heavy: bool| {
                    let mut offered = item(now, if heavy { "a" } else { "b" }, 1);
                    offered.account_weight = if heavy { weight_a } else { weight_b };
                    offered.tokens = 100;
                    offered.queue_limit = 64;
                    scheduler.offer(now, offered);
                };
                let mut served = [0u64; 2];
                for _ in 0..3000 {
                    for _ in 0..offers {
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
                let expected = f64::from(weight_b) / f64::from(weight_a + weight_b);
                prop_assert!(
                    (share - expected).abs() <= 0.1 * expected,
                    "share {share:.3}, expected {expected:.3}"
                );
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn actual_tokens_replace_the_estimates_in_the_counters() {
    let input = proptest::collection::vec((1..1000u64, 0..2000u64), 1..100);
    runner(60)
        .run(&input, |requests| {
            let now = Instant::now();
            let mut scheduler = Scheduler::new();
            // Each account offers the same estimates. One that was charged too much or too
            // little for a request catches up later: as soon as both have used the same number
            // of tokens, their starts alternate again.
            let mut used = [0u64; 2];
            let mut offered = item(now, "a", 1);
            offered.queue_limit = 10_000;
            for &(estimate, _) in &requests {
                for account in ["a", "b"] {
                    let mut offered = offered.clone();
                    offered.account = Some(account.to_owned());
                    offered.tokens = estimate;
                    scheduler.offer(now, offered);
                }
            }
            let largest = requests
                .iter()
                .map(|request| request.0.max(request.1))
                .max()
                .unwrap_or(0);
            for &(_, actual) in &requests {
                let start = scheduler.next(now, Room::ANY).expect("work is queued");
                let account = usize::from(start.item.account.as_deref() == Some("b"));
                used[account] += actual;
                scheduler.settle(start.charge, actual);
            }
            prop_assert!(used[0].abs_diff(used[1]) <= largest, "{used:?}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn idle_accounts_earn_no_credit_and_their_state_is_removed() {
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
