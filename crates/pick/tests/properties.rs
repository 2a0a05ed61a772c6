//! Properties over random changes of the endpoints and random requests.

mod common;

use std::time::{Duration, Instant};

use agate_check::runner;
use agate_model::endpoint::Kind;
use agate_pick::{InFlight, Latency, Outcome, Picker, Report};
use common::{Request, endpoint};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: usize = 6;

/// One change of the endpoints or one event of a request.
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

/// Returns the kind of endpoint `n`, which is fixed so that no update replaces the endpoint.
fn kind(n: usize) -> Kind {
    if n.is_multiple_of(2) {
        Kind::Standard
    } else {
        Kind::Reclaimable
    }
}

/// Declaration of one endpoint that the picker was given last.
#[derive(Clone, Copy, Default)]
struct Known {
    present: bool,
    leaving: bool,
    slots: u32,
}

#[test]
fn a_chosen_endpoint_is_present_and_has_room_and_matches_the_criteria() {
    let steps = proptest::collection::vec(step(), 1..300);
    runner(150)
        .run(&steps, |steps| {
            let mut now = Instant::now();
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let mut picker = Picker::default();
            let mut known = [Known::default(); ENDPOINTS];
            let mut in_flight: Vec<InFlight> = Vec::new();
            for step in steps {
                now += Duration::from_millis(200);
                match step {
                    Step::Upsert { n, slots } => {
                        let mut declared = endpoint(n, kind(n));
                        declared.slots = slots;
                        declared.leaving = known[n].present && known[n].leaving;
                        picker.upsert(now, &declared);
                        known[n] = Known {
                            present: true,
                            leaving: declared.leaving,
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
                        let mut request = Request::new();
                        request.reclaimable = reclaimable;
                        request.tier = tier;
                        request.prefix = vec![1, block];
                        request.excluded = vec![format!("e{excluded}")];
                        let room = picker.room(now, &request.pools);
                        let includes_tier =
                            |lowest: Option<u8>| lowest.is_some_and(|lowest| tier <= lowest);
                        let has_room = includes_tier(room.standard)
                            || (reclaimable && includes_tier(room.reclaimable));
                        let Some(choice) = picker.choose(now, &request.criteria(), &mut rng) else {
                            continue;
                        };
                        let n: usize = choice.id[1..].parse().expect("endpoint names are e<n>");
                        prop_assert!(has_room);
                        prop_assert!(n != excluded);
                        prop_assert!(known[n].present && !known[n].leaving);
                        prop_assert!(reclaimable || kind(n) == Kind::Standard);
                        prop_assert!(picker.in_flight(choice.key) < 2 * known[n].slots);
                        in_flight.push(picker.start(now, choice.key));
                    }
                    Step::Finish { outcome } => {
                        let Some(request) = in_flight.pop() else {
                            continue;
                        };
                        let total = Duration::from_millis(100);
                        let outcome = match outcome {
                            0 => Outcome::Success(Latency { total, tokens: 10 }),
                            1 => Outcome::Failure,
                            _ => Outcome::Cancelled,
                        };
                        picker.finish(now, request, outcome);
                    }
                }
            }
            for request in in_flight {
                picker.finish(now, request, Outcome::Cancelled);
            }
            for n in 0..ENDPOINTS {
                if let Some(key) = picker.key(&format!("e{n}")) {
                    prop_assert_eq!(picker.in_flight(key), 0);
                }
            }
            let later = now + Duration::from_secs(600);
            let mut request = Request::new();
            request.reclaimable = true;
            let usable = known
                .iter()
                .any(|endpoint| endpoint.present && !endpoint.leaving);
            let chosen = picker
                .choose(later, &request.criteria(), &mut rng)
                .is_some();
            prop_assert_eq!(
                chosen,
                usable,
                "an idle endpoint that takes new work is chosen, whatever happened before"
            );
            Ok(())
        })
        .unwrap();
}
