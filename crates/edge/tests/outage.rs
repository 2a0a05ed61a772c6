//! Probes of an unavailable store by a fleet of hosts.

use std::time::Duration;

use agate_edge::outage::{self, Outage};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

/// Returns how many probes `tasks` tasks of one host send in `time`, if none succeeds.
async fn probes(tasks: usize, limit: Duration, time: Duration) -> usize {
    let outage = Outage::default();
    outage.record_failure(Instant::now());
    let until = Instant::now() + time;
    let counts = futures_util::future::join_all((0..tasks).map(|_| async {
        let mut count = 0;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || timeout(left, outage.wait_for_probe(limit)).await.is_err() {
                return count;
            }
            count += 1;
        }
    }));
    counts.await.into_iter().sum()
}

/// Guards against calls that grow with the fleet: 295 hosts that asked twice a second made 3,500
/// calls to a store that was silent for six seconds.
#[rstest]
#[case(9)]
#[case(75)]
#[case(300)]
#[case(1000)]
#[actix_rt::test]
async fn a_fleet_probes_a_silent_store_at_a_bounded_rate(#[case] hosts: usize) {
    tokio::time::pause();
    let time = Duration::from_secs(30);
    let mut sum = 0;
    for _ in 0..20 {
        sum += probes(4, outage::max_interval(hosts), time).await;
    }
    let rate = sum as f64 / 20.0 * hosts as f64 / time.as_secs_f64();
    // Twenty probes a second, the steps up to the longest interval, and that interval for the
    // largest fleet.
    let bound = (hosts as f64 / 4.0).max(20.0) * 1.5;
    assert!(rate <= bound, "{rate} probes a second by {hosts} hosts");
}

/// The reader of a zone notices within a second that the store is back, also in a large fleet.
#[actix_rt::test]
async fn a_host_that_others_depend_on_probes_twice_a_second() {
    tokio::time::pause();
    let count = probes(4, outage::max_interval(1), Duration::from_secs(60)).await;
    assert!((100..=140).contains(&count), "{count} probes in 60 s");
}

/// A change that only the store can tell does not wait for the next probe.
#[actix_rt::test]
async fn a_known_change_hastens_the_next_probe() {
    tokio::time::pause();
    let outage = Outage::default();
    let limit = outage::max_interval(1000);
    outage.record_failure(Instant::now());
    for _ in 0..5 {
        outage.wait_for_probe(limit).await;
    }
    let before = Instant::now();
    let hasten = async {
        sleep(Duration::from_millis(50)).await;
        outage.hasten(Instant::now());
    };
    tokio::join!(hasten, outage.wait_for_probe(limit));
    assert!(before.elapsed() < Duration::from_millis(60));
}

#[actix_rt::test]
async fn the_end_of_an_outage_wakes_all_tasks() {
    tokio::time::pause();
    let outage = Outage::default();
    let limit = outage::max_interval(1000);
    outage.record_failure(Instant::now());
    for _ in 0..4 {
        outage.wait_for_probe(limit).await;
    }
    let before = Instant::now();
    let end = async {
        sleep(Duration::from_millis(50)).await;
        outage.end(Instant::now());
    };
    tokio::join!(
        end,
        outage.wait_for_probe(limit),
        outage.wait_for_probe(limit)
    );
    assert!(before.elapsed() < Duration::from_millis(60));
    assert!(outage.is_recovering(Instant::now()));
}
