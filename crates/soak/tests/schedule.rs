//! Schedules depend on their seed alone and keep the fault-free times free.

use std::time::Duration;

use agate_soak::schedule::{Kind, RECOVERY, Schedule, WARM_UP};

const LENGTH: Duration = Duration::from_secs(40);

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let draw = || Schedule::draw(7, LENGTH, &Kind::ALL);
    assert_eq!(draw(), draw());
    assert_ne!(draw(), Schedule::draw(8, LENGTH, &Kind::ALL));
}

#[test]
fn no_fault_falls_into_warm_up_or_recovery() {
    for seed in 0..200 {
        for fault in Schedule::draw(seed, LENGTH, &Kind::ALL).faults {
            assert!(fault.at >= WARM_UP);
            let end = fault.at + fault.length;
            // A fault of the shortest length, 400 ms, may start just before the recovery time.
            assert!(
                end <= LENGTH - RECOVERY + Duration::from_millis(400),
                "{fault:?}"
            );
        }
    }
}

#[test]
fn every_kind_occurs_and_faults_overlap() {
    let faults = |seed| Schedule::draw(seed, LENGTH, &Kind::ALL).faults;
    let all: Vec<_> = (0..100).flat_map(faults).collect();
    for kind in Kind::ALL {
        assert!(all.iter().any(|fault| fault.kind == kind), "{kind:?}");
    }
    let overlaps = |seed| {
        let faults = faults(seed);
        faults
            .windows(2)
            .any(|pair| pair[0].at + pair[0].length > pair[1].at)
    };
    assert!((0..100).filter(|seed| overlaps(*seed)).count() > 90);
}
