//! Processor time of one loss, answer, learned report and own report. Run it with
//! `cargo bench -p agate-poison --bench evidence`.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agate_poison::report::Report;
use agate_poison::{Detector, Loss, PartId, Time};

/// Calls of which the mean is taken.
const CALLS: u64 = 50;
/// Parts that many prompts share.
const SUBJECTS: u64 = 40;

fn at(millis: u64) -> Time {
    Duration::from_secs(1000) + Duration::from_millis(millis)
}

/// Returns a loss whose prompt has one part of all prompts, some that several have and one of its own.
fn loss(millis: u64, id: u64, parts: u64) -> Loss {
    let shared = (1..parts).map(|part| (id * part) % SUBJECTS + part * 1000);
    let parts: Vec<PartId> = shared.chain([1_000_000 + id]).collect();
    let port = u16::try_from(id % 600).expect("a port") + 1;
    Loss {
        at: at(millis),
        endpoint: SocketAddr::from(([10, 0, 0, 1], port)),
        parts,
    }
}

/// Returns the mean time of a call.
fn mean(mut call: impl FnMut(u64)) -> Duration {
    let started = Instant::now();
    for n in 0..CALLS {
        call(n);
    }
    started.elapsed() / u32::try_from(CALLS).expect("few calls")
}

fn main() {
    println!("hosts losses parts    loss  answer   learn  report  suspicion (microseconds)");
    for hosts in [9, 67, 300] {
        for losses in [10, 100, 1000] {
            for parts in [1, 4, 16] {
                measure(hosts, losses, parts);
            }
        }
    }
}

fn measure(hosts: u64, losses: u64, parts: u64) {
    let mut others: Vec<Detector> = (0..hosts).map(|_| Detector::default()).collect();
    for n in 0..losses {
        let lost = loss(n, n, parts);
        others[usize::try_from(n % hosts).expect("an index")].lose(at(n), lost);
    }
    let mut detector = Detector::default();
    let reports: Vec<Report> = others.iter().map(|host| host.report(at(losses))).collect();
    detector.learn(at(losses), reports);
    let start = losses + 10;
    let lose = mean(|n| {
        detector.lose(at(start + n), loss(start + n, 2000 + n, parts));
    });
    let answer = mean(|n| {
        detector.answer(at(start + 100 + n), loss(0, n, parts).parts);
    });
    let learn = mean(|n| {
        let mut other = Detector::default();
        let now = start + 200 + n;
        other.lose(at(now), loss(now, 3000 + n, parts));
        detector.learn(at(now), [other.report(at(now))]);
    });
    let report = mean(|n| {
        black_box(detector.report(at(start + 300 + n)));
    });
    let suspicion = mean(|_| {
        black_box(detector.is_suspicious(at(start + 300)));
    });
    let row = [lose, answer, learn, report, suspicion].map(|time| time.as_nanos() as f64 / 1000.0);
    println!(
        "{hosts:5} {losses:6} {parts:5} {:7.1} {:7.1} {:7.1} {:7.1} {:7.1}",
        row[0], row[1], row[2], row[3], row[4]
    );
}
