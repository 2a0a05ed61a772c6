//! What evidence costs with ten times today's hosts, and with callers who send new parts all the time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agate_poison::report::Report;
use agate_poison::{Detector, Loss, PartId, Time};

/// Ten times the hosts of the largest deployment.
const HOSTS: u64 = 3_800;
/// Bytes of a report: a heartbeat of all hosts at once must fit the thinnest link.
const MAX_REPORT_BYTES: usize = 4 << 10;

fn at(millis: u64) -> Time {
    Duration::from_secs(1000) + Duration::from_millis(millis)
}

fn loss(millis: u64, endpoint: u64, parts: Vec<PartId>) -> Loss {
    let port = u16::try_from(endpoint % 60_000).expect("a port") + 1;
    Loss {
        at: at(millis),
        endpoint: SocketAddr::from(([10, 0, 0, 1], port)),
        parts,
    }
}

/// Returns a host that has lost many requests, none with a part in common.
fn unlucky(host: u64) -> Detector {
    let mut detector = Detector::default();
    for n in 0..100 {
        let id = host * 1000 + n;
        let parts = (0..16).map(|part| id * 16 + part).collect();
        detector.lose(at(n), loss(n, id, parts));
    }
    detector
}

#[test]
fn a_report_is_small_whatever_was_lost() {
    let bytes = serde_json::to_vec(&unlucky(1).report(at(100))).expect("a report");
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{} bytes", bytes.len());
}

#[test]
fn reports_of_all_hosts_are_bounded_in_memory_and_time() {
    let report = |host: u64| {
        let mut detector = Detector::default();
        let parts = (0..16).map(|part| host * 16 + part).collect();
        detector.lose(at(host), loss(host, host, parts));
        detector.report(at(host))
    };
    let reports: Vec<Report> = (0..HOSTS).map(report).collect();
    let mut detector = Detector::default();
    let started = Instant::now();
    detector.learn(at(4000), reports);
    let took = started.elapsed();
    let one = Instant::now();
    detector.lose(at(4000), loss(4000, 1, vec![1, 2]));
    let decision = one.elapsed();
    // In a debug build; a heartbeat of a host is one of 3,800 such reports.
    assert!(took < Duration::from_secs(10), "all reports took {took:?}");
    assert!(
        decision < Duration::from_millis(200),
        "one decision took {decision:?}"
    );
    let bytes = serde_json::to_vec(&detector.report(at(4000))).expect("a report");
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{} bytes", bytes.len());
}

// Guards against: a caller who sends a new part with each request makes the host forget sound parts.
#[test]
fn new_parts_without_end_do_not_hide_that_a_common_part_is_answered() {
    let mut detector = Detector::default();
    for n in 0..100_000 {
        detector.answer(at(n), [1, 1000 + n]);
    }
    for n in 0..5 {
        let millis = 100_000 + n * 500;
        detector.lose(at(millis), loss(millis, n, vec![1, n]));
        for id in 0..3_000 {
            detector.answer(at(millis + 10), [1, 1_000_000 + n * 3000 + id]);
        }
    }
    assert_eq!(detector.blocked(at(110_000), &[1, 2]), None);
}

#[test]
fn a_check_of_a_request_costs_little() {
    let mut detector = Detector::default();
    for set in 0..64 {
        for n in 0..3 {
            let millis = set * 2000 + n * 500;
            detector.lose(
                at(millis),
                loss(millis, set * 3 + n, vec![set, 1_000_000 + set * 3 + n]),
            );
        }
    }
    let parts: Vec<PartId> = (500..516).collect();
    let started = Instant::now();
    for _ in 0..10_000 {
        assert_eq!(detector.blocked(at(200_000), &parts), None);
    }
    let took = started.elapsed();
    assert!(took < Duration::from_secs(5), "10,000 checks took {took:?}");
}
