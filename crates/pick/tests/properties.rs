//! Properties over random changes of the endpoints and random requests.

mod common;

use std::time::{Duration, Instant};

use agate_check::runner;
use agate_model::endpoint::Kind;
use agate_pick::{Flight, Latency, Outcome, Picker, Report};
use common::{Asked, endpoint};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Upsert {
        n: usize,
        slots: u32,
    },
    Remove {
        n: usize,
    },
    Leave {
        n: usize,
        leaving: bool,
    },
    Report {
        n: usize,
        running: u32,
    },
    Hosts {
        count: u32,
    },
    Choose {
        reclaimable: bool,
        tier: u8,
        block: u64,
        excluded: usize,
    },
    Finish {
        outcome: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..ENDPOINTS;
    prop_oneof![
        2 => (n.clone(), 1..9u32).prop_map(|(n, slots)| Step::Upsert { n, slots }),
        1 => n.clone().prop_map(|n| Step::Remove { n }),
        1 => (n.clone(), any::<bool>()).prop_map(|(n, leaving)| Step::Leave { n, leaving }),
        2 => (n.clone(), 0..9u32).prop_map(|(n, running)| Step::Report { n, running }),
        1 => (1..9u32).prop_map(|count| Step::Hosts { count }),
        6 => (any::<bool>(), 0..5u8, 0..4u64, n)
            .prop_map(|(reclaimable, tier, block, excluded)| Step::Choose { reclaimable, tier, block, excluded }),
        5 => (0..3u8).prop_map(|outcome| Step::Finish { outcome }),
    ]
}

fn kind(n: usize) -> Kind {
    if n.is_multiple_of(2) {
        Kind::Standard
    } else {
        Kind::Reclaimable
    }
}

/// What the test knows of one endpoint.
#[derive(Clone, Copy, Default)]
struct Known {
    present: bool,
    leaving: bool,
    slots: u32,
}

#[test]
fn only_endpoints_that_may_take_the_request_are_chosen() {
    let steps = proptest::collection::vec(step(), 1..300);
    runner(150)
        .run(&steps, |steps| {
            let mut now = Instant::now();
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let mut picker = Picker::default();
            let mut known = [Known::default(); ENDPOINTS];
            let mut flights: Vec<Flight> = Vec::new();
            for step in steps {
                now += Duration::from_millis(200);
                match step {
                    Step::Upsert { n, slots } => {
                        let mut it = endpoint(n, kind(n));
                        it.slots = slots;
                        it.leaving = known[n].present && known[n].leaving;
                        picker.upsert(now, &it);
                        known[n] = Known {
                            present: true,
                            leaving: it.leaving,
                            slots,
                        };
                    }
                    Step::Remove { n } => {
                        picker.remove(&format!("e{n}"));
                        known[n] = Known::default();
                    }
                    Step::Leave { n, leaving } => {
                        picker.set_leaving(&format!("e{n}"), leaving);
                        known[n].leaving = leaving;
                    }
                    Step::Report { n, running } => {
                        let age = Duration::from_millis(500);
                        picker.report(
                            now,
                            &format!("e{n}"),
                            &Report {
                                running,
                                queued: 0,
                                age,
                            },
                        );
                    }
                    Step::Hosts { count } => picker.set_live_hosts(count),
                    Step::Choose {
                        reclaimable,
                        tier,
                        block,
                        excluded,
                    } => {
                        let mut asked = Asked::new();
                        asked.reclaimable = reclaimable;
                        asked.tier = tier;
                        asked.prefix = vec![1, block];
                        asked.excluded = vec![format!("e{excluded}")];
                        let room = picker.room(now, &asked.pools);
                        let has = |lowest: Option<u8>| lowest.is_some_and(|it| tier <= it);
                        let has_room = has(room.standard) || (reclaimable && has(room.reclaimable));
                        let Some(choice) = picker.choose(now, &asked.wish(), &mut rng) else {
                            continue;
                        };
                        let n: usize = choice.id[1..].parse().expect("a number");
                        prop_assert!(has_room);
                        prop_assert!(n != excluded);
                        prop_assert!(known[n].present && !known[n].leaving);
                        prop_assert!(reclaimable || kind(n) == Kind::Standard);
                        prop_assert!(picker.in_flight(choice.key) < 2 * known[n].slots);
                        flights.push(picker.start(now, choice.key));
                    }
                    Step::Finish { outcome } => {
                        let Some(flight) = flights.pop() else {
                            continue;
                        };
                        let total = Duration::from_millis(100);
                        let outcome = match outcome {
                            0 => Outcome::Success(Latency { total, tokens: 10 }),
                            1 => Outcome::Failure,
                            _ => Outcome::Cancelled,
                        };
                        picker.finish(now, flight, outcome);
                    }
                }
            }
            for flight in flights {
                picker.finish(now, flight, Outcome::Cancelled);
            }
            for n in 0..ENDPOINTS {
                if let Some(key) = picker.key(&format!("e{n}")) {
                    prop_assert_eq!(picker.in_flight(key), 0);
                }
            }
            let later = now + Duration::from_secs(600);
            let mut asked = Asked::new();
            asked.reclaimable = true;
            let usable = known.iter().any(|it| it.present && !it.leaving);
            let chosen = picker.choose(later, &asked.wish(), &mut rng).is_some();
            prop_assert_eq!(
                chosen,
                usable,
                "an idle endpoint is found, whatever happened before"
            );
            Ok(())
        })
        .unwrap();
}
