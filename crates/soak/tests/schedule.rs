//! Schedules follow from their seed.

use std::time::Duration;

use agate_soak::schedule::{Kind, RECOVERY, Schedule, WARM_UP};

const LENGTH: Duration = Duration::from_secs(40);

#[test]
fn a_seed_gives_the_same_schedule_again() {
    let draw = || Schedule::draw(7, LENGTH, &Kind::ALL);
    assert_eq!(draw(), draw());
    assert_ne!(draw(), Schedule::draw(8, LENGTH, &Kind::ALL));
}

#[test]
fn faults_leave_time_before_and_after() {
    for seed in 0..200 {
        for fault in Schedule::draw(seed, LENGTH, &Kind::ALL).faults {
            assert!(fault.at >= WARM_UP);
            let end = fault.at + fault.length;
            // The shortest fault may begin just before the end.
            assert!(
                end <= LENGTH - RECOVERY + Duration::from_millis(400),
                "{fault:?}"
            );
        }
    }
}

#[test]
fn every_kind_comes_and_faults_overlap() {
    let faults = |seed| Schedule::draw(seed, LENGTH, &Kind::ALL).faults;
    let all: Vec<_> = (0..100).flat_map(faults).collect();
    for kind in Kind::ALL {
        assert!(all.iter().any(|it| it.kind == kind), "{kind:?}");
    }
    let overlaps = |seed| {
        let faults = faults(seed);
        faults
            .windows(2)
            .any(|it| it[0].at + it[0].length > it[1].at)
    };
    assert!((0..100).filter(|seed| overlaps(*seed)).count() > 90);
}
