//! What evidence costs when half of the endpoints go at once while traffic goes on.

use std::net::SocketAddr;
use std::time::Duration;

use agate_poison::report::Report;
use agate_poison::{Detector, Loss, PartId, Time, Work};
use rstest::rstest;

/// Time between two heartbeats, and the shortest between two that are sent before their time.
const TICK: Duration = Duration::from_millis(250);
/// Time after the loss of the endpoints for which traffic goes on.
const TICKS: u64 = 60;
/// Time in which the endpoints go.
const RECLAIM_MS: u64 = 1_400;
/// Hosts that learn what all report; the others only report.
const OBSERVED: usize = 6;
/// Losses of one host.
const LOSSES: u64 = 8;
/// Parts that many prompts share.
const SUBJECTS: u64 = 40;
/// Bytes of evidence that a host receives in a second, averaged over the time: a twentieth of 10 Mbit/s,
/// the thinnest link of a host.
const MAX_BYTES: usize = 62_500;
/// Changed reports of a host in a second: one for each regular heartbeat.
const MAX_CHANGES: f64 = 1.25;
/// Evaluations of all evidence in a second, beyond a burst.
const MAX_EVALUATIONS: u64 = 4;

fn at(millis: u64) -> Time {
    Duration::from_secs(1000) + Duration::from_millis(millis)
}

/// Returns the parts of a prompt: one that all have, one that many have and 14 of its own.
fn prompt(id: u64) -> Vec<PartId> {
    let own = (0..14).map(|part| (1 << 40) + id * 14 + part);
    [1, 2 + id % SUBJECTS].into_iter().chain(own).collect()
}

/// Returns the losses of a host, spread over the time in which the endpoints go.
fn losses(host: u64, hosts: u64) -> impl Iterator<Item = Loss> {
    (0..LOSSES).map(move |n| {
        let id = host * LOSSES + n;
        let endpoint = (host * 7 + n * 13) % hosts;
        let port = u16::try_from(endpoint).expect("a port") + 1;
        Loss {
            at: at(endpoint * RECLAIM_MS / hosts),
            endpoint: SocketAddr::from(([10, 0, 0, 1], port)),
            parts: prompt(id),
        }
    })
}

// Load: half of the endpoints are reclaimed within 1.4 s, at 67 and 300 hosts with as many endpoints
// lost, while each host goes on to answer 40 prompts a second.
#[rstest]
#[case::hosts_67(67)]
#[case::hosts_300(300)]
fn messages_and_bytes_are_bounded_when_half_of_the_endpoints_go(#[case] hosts: u64) {
    let count = usize::try_from(hosts).expect("a count");
    let mut detectors: Vec<Detector> = (0..hosts).map(|_| Detector::default()).collect();
    for (host, detector) in (0..).zip(&mut detectors) {
        detector.set_hosts(count);
        for loss in losses(host, hosts) {
            detector.lose(loss.at, loss);
        }
    }
    let mut published = vec![Report::default(); count];
    let mut changes = 0;
    let mut bytes = 0;
    for tick in 0..TICKS {
        let now = at(RECLAIM_MS) + TICK * u32::try_from(tick).expect("a tick");
        let mut changed: Vec<(usize, Report)> = Vec::new();
        for (index, detector) in detectors.iter_mut().enumerate() {
            for n in 0..10 {
                detector.answer(now, prompt(1_000_000 + tick * 1000 + n));
            }
            let (report, _) = detector.publish(now);
            if report != published[index] {
                published[index].clone_from(&report);
                changed.push((index, report));
            }
        }
        for (index, report) in changed {
            changes += 1;
            bytes += serde_json::to_vec(&report).expect("a report").len();
            for (observer, detector) in detectors.iter_mut().take(OBSERVED).enumerate() {
                if observer != index {
                    detector.learn(now, [report.clone()]);
                }
            }
        }
    }
    let seconds = TICK.as_secs_f64() * TICKS as f64;
    let changes = f64::from(changes) / hosts as f64 / seconds;
    assert!(
        changes <= MAX_CHANGES,
        "{changes} changes of a report a second"
    );
    let rate = bytes as f64 / seconds;
    assert!(rate <= MAX_BYTES as f64, "{rate} bytes a second");
    for detector in &detectors[..OBSERVED] {
        let Work { evaluations, .. } = detector.work();
        let allowed = 8 + MAX_EVALUATIONS * (seconds as u64 + 2);
        assert!(evaluations <= allowed, "{evaluations} evaluations");
        assert!(!detector.is_suspicious(at(90_000)));
    }
}

// Load: crashes at other addresses go on all the time, as on a day on which endpoints come and go.
#[rstest]
fn evaluations_are_bounded_whatever_comes(
    #[values(9, 67, 300)] hosts: u64,
    #[values(10, 100, 1000)] losses: u64,
    #[values(1, 4, 16)] parts: usize,
) {
    let mut detector = Detector::default();
    let mut other = Detector::default();
    detector.set_hosts(usize::try_from(hosts).expect("a count"));
    for n in 0..losses {
        let now = at(n * 1000 / losses);
        let port = u16::try_from(n % 60_000).expect("a port") + 1;
        let loss = Loss {
            at: now,
            endpoint: SocketAddr::from(([10, 0, 0, 1], port)),
            parts: prompt(n).into_iter().take(parts).collect(),
        };
        other.lose(now, loss.clone());
        detector.lose(now, loss);
        detector.learn(now, [other.report(now)]);
        detector.answer(now, [1]);
    }
    let evaluations = detector.work().evaluations;
    assert!(
        evaluations <= 8 + MAX_EVALUATIONS,
        "{evaluations} evaluations"
    );
}
