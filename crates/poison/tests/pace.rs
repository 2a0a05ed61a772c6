//! Limits of how often something happens.

use std::time::Duration;

use agate_poison::Time;
use agate_poison::pace::Pace;

fn at(millis: u64) -> Time {
    Duration::from_secs(1000) + Duration::from_millis(millis)
}

/// Returns how many of `count` attempts within a second from `start` succeed.
fn taken(pace: &mut Pace, start: u64, count: u64) -> usize {
    let attempts = (0..count).map(|n| at(start + n * 1000 / count));
    attempts.filter(|now| pace.try_take(*now)).count()
}

#[test]
fn a_burst_passes_and_then_one_in_each_interval() {
    let mut pace = Pace::new(8, Duration::from_millis(250));
    assert_eq!(taken(&mut pace, 0, 1000), 8 + 3);
    assert_eq!(taken(&mut pace, 1000, 1000), 4);
    assert_eq!(taken(&mut pace, 60_000, 1000), 8 + 3, "full again");
}

// Guards against: a clock that is set back stops evaluations until it has caught up.
#[test]
fn a_clock_that_is_set_back_holds_nothing_up() {
    let mut pace = Pace::new(1, Duration::from_millis(250));
    assert!(pace.try_take(at(60_000)));
    assert!(!pace.try_take(at(0)));
    assert!(pace.try_take(at(250)));
}
