//! Which parts of prompts are refused after which crashes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use agate_poison::report::Report;
use agate_poison::{Detector, Loss, PartId, Time, Tuning, Verdict};
use rstest::rstest;

/// Part that crashes endpoints.
const BAD: PartId = 666;
/// Part of many requests.
const COMMON: PartId = 1;
/// Part of few requests.
const RARE: PartId = 2;

fn at(millis: u64) -> Time {
    Duration::from_secs(1000) + Duration::from_millis(millis)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + number))
}

fn loss(millis: u64, endpoint: u16, parts: &[PartId]) -> Loss {
    Loss {
        at: at(millis),
        endpoint: address(endpoint),
        parts: parts.to_vec(),
    }
}

/// Returns a detector that has seen these losses: milliseconds, endpoint, parts.
fn detector(losses: &[(u64, u16, &[PartId])]) -> Detector {
    let mut detector = Detector::new(Tuning::default());
    for (millis, endpoint, parts) in losses {
        detector.lose(at(*millis), loss(*millis, *endpoint, parts));
    }
    detector
}

/// Returns the report after it was serialised.
fn sent(detector: &Detector, now: Time) -> Report {
    let text = serde_json::to_string(&detector.report(now)).expect("a report");
    serde_json::from_str(&text).expect("the report is read again")
}

// Guards against: a part that is in every crash is sent on.
#[test]
fn a_part_in_three_crashes_is_refused_whatever_else_the_prompt_holds() {
    let mut detector = detector(&[(0, 1, &[COMMON, BAD, 10]), (500, 2, &[COMMON, BAD, 11])]);
    assert_eq!(detector.blocked(at(600), &[COMMON, BAD, 12]), None);
    detector.answer(at(700), [COMMON]);
    detector.lose(at(1000), loss(1000, 3, &[COMMON, BAD, 12]));
    assert!(detector.blocked(at(1000), &[COMMON, BAD, 13]).is_some());
    assert!(detector.blocked(at(1000), &[BAD]).is_some());
    assert_eq!(detector.blocked(at(1000), &[COMMON, 13]), None);
}

#[rstest]
// Guards against: one endpoint that crashes by itself makes sound parts refused.
#[case::one_faulty_endpoint(&[(0, 1), (4000, 1), (8000, 1), (12_000, 1), (16_000, 1)])]
// Guards against: a fault of the network that closes many connections at once.
#[case::one_moment(&[(0, 1), (10, 2), (20, 3), (30, 4), (190, 5)])]
#[case::one_endpoint_seen_by_many(&[(0, 1), (300, 1), (600, 1), (900, 1)])]
#[case::two_crashes(&[(0, 1), (5000, 2)])]
#[case::long_ago(&[(0, 1), (5000, 2), (66_000, 3)])]
fn what_may_be_a_coincidence_refuses_nothing(#[case] crashes: &[(u64, u16)]) {
    let mut detector = Detector::default();
    let mut last = 0;
    for (n, (millis, endpoint)) in (100..).zip(crashes) {
        detector.lose(at(*millis), loss(*millis, *endpoint, &[RARE, n]));
        last = *millis;
    }
    assert_eq!(detector.blocked(at(last), &[RARE, 1]), None);
}

// Guards against: sound parts of requests that always come with the bad part are refused for good.
#[test]
fn parts_that_always_come_together_are_refused_together_until_one_is_answered() {
    let mut detector = detector(&[
        (0, 1, &[RARE, BAD, 10]),
        (500, 2, &[RARE, BAD, 11]),
        (1000, 3, &[RARE, BAD, 12]),
    ]);
    assert!(detector.blocked(at(1000), &[RARE, BAD, 13]).is_some());
    assert_eq!(detector.blocked(at(1000), &[RARE, 13]), None);
    let verdicts = detector.answer(at(1500), [RARE]);
    assert!(
        matches!(verdicts.as_slice(), [Verdict::Blocked(block)] if block.parts == BTreeSet::from([BAD]))
    );
    assert!(detector.blocked(at(1500), &[COMMON, BAD, 14]).is_some());
    assert_eq!(detector.blocked(at(1500), &[RARE, 13]), None);
}

// Guards against: the bad part goes on with other parts after it was refused with some.
#[test]
fn a_crash_by_a_part_of_a_refused_set_narrows_the_set() {
    let mut detector = detector(&[
        (0, 1, &[RARE, BAD, 10]),
        (500, 2, &[RARE, BAD, 11]),
        (1000, 3, &[RARE, BAD, 12]),
        (2000, 4, &[3, BAD, 13]),
        (2500, 5, &[4, BAD, 14]),
    ]);
    assert!(detector.blocked(at(2500), &[5, BAD, 15]).is_some());
    assert_eq!(detector.blocked(at(2500), &[RARE, 15]), None);
    detector.answer(at(2600), [RARE]);
    assert!(detector.blocked(at(2600), &[5, BAD, 15]).is_some());
}

// Guards against: sound requests that were at the endpoints as well are refused.
#[test]
fn requests_beside_the_bad_one_are_sent_on() {
    let mut detector = Detector::default();
    for n in 0..8 {
        let (millis, endpoint) = (n * 500, n as u16);
        detector.lose(at(millis), loss(millis, endpoint, &[RARE, 100 + n]));
        detector.lose(
            at(millis + 1),
            loss(millis + 1, endpoint, &[3 + n, BAD, 200 + n]),
        );
        // The same request again and again, by a caller who repeats it.
        detector.lose(at(millis + 2), loss(millis + 2, endpoint, &[50, 51]));
        if n == 1 {
            detector.answer(at(millis + 100), [RARE, 50]);
        }
    }
    let now = at(4000);
    assert!(detector.blocked(now, &[COMMON, BAD, 1]).is_some());
    assert_eq!(detector.blocked(now, &[RARE, 1]), None);
    assert_eq!(detector.blocked(now, &[50, 51]), None);
}

#[test]
fn several_bad_parts_are_found() {
    let mut detector = Detector::default();
    for n in 0..8 {
        let (millis, endpoint) = (n * 400, n as u16);
        let bad = BAD + n % 2;
        detector.lose(at(millis), loss(millis, endpoint, &[COMMON, bad, 100 + n]));
        detector.answer(at(millis + 50), [COMMON]);
    }
    let now = at(3000);
    assert!(detector.blocked(now, &[BAD]).is_some());
    assert!(detector.blocked(now, &[BAD + 1]).is_some());
    assert_eq!(detector.blocked(now, &[COMMON, 1]), None);
}

// Guards against: a part that was good until the engines were upgraded.
#[test]
fn answers_before_the_first_crash_clear_nothing() {
    let mut detector = Detector::default();
    detector.answer(at(0), [COMMON, BAD]);
    for n in 1..4 {
        let (millis, endpoint) = (n * 500, n as u16);
        detector.lose(at(millis), loss(millis, endpoint, &[COMMON, BAD, 100 + n]));
        detector.answer(at(millis + 20), [COMMON]);
    }
    assert!(detector.blocked(at(2000), &[COMMON, BAD, 1]).is_some());
    assert_eq!(detector.blocked(at(2000), &[COMMON, 1]), None);
}

// Guards against: each host needs crashes of its own.
#[test]
fn hosts_that_each_saw_one_crash_refuse_together() {
    let mut hosts: Vec<Detector> = (0..3).map(|_| Detector::default()).collect();
    for (n, host) in (0..).zip(&mut hosts) {
        let millis = u64::from(n) * 500;
        host.lose(
            at(millis),
            loss(millis, n, &[COMMON, BAD, 10 + u64::from(n)]),
        );
    }
    let now = at(1500);
    hosts[1].answer(now, [COMMON]);
    let reports: Vec<Report> = hosts.iter().map(|host| sent(host, now)).collect();
    for host in &mut hosts {
        host.learn(now, reports.clone());
        assert!(host.blocked(now, &[COMMON, BAD, 20]).is_some());
    }
    // The host without an answer of its own learns that the common part is sound.
    let report = sent(&hosts[1], now);
    hosts[0].learn(now, [report]);
    assert_eq!(hosts[0].blocked(now, &[COMMON, 20]), None);
}

// Guards against: a decision on a part of the evidence stands, since the rest is not published any more.
#[test]
fn a_block_of_a_sound_part_is_replaced_once_all_losses_are_known() {
    let mut early = Detector::default();
    let mut rest = Detector::default();
    for n in 0..3 {
        let (millis, endpoint) = (n * 500, n as u16);
        early.lose(at(millis), loss(millis, endpoint, &[RARE, 10 + n]));
        rest.lose(at(millis), loss(millis, endpoint, &[RARE, BAD, 20 + n]));
    }
    let now = at(1500);
    early.learn(now, []);
    assert!(
        early.blocked(now, &[RARE, 30]).is_some(),
        "no block at first"
    );
    // The other host adopts the block, and still tells what it lost.
    rest.learn(now, [sent(&early, now)]);
    let later = at(2500);
    early.learn(later, [sent(&rest, later)]);
    rest.learn(later, [sent(&early, later)]);
    for host in [&early, &rest] {
        assert_eq!(host.blocked(later, &[RARE, 30]), None);
        assert!(host.blocked(later, &[RARE, BAD, 30]).is_some());
    }
}

// Guards against: a host that restarts sends what all others refuse.
#[test]
fn a_host_that_starts_learns_what_is_refused() {
    let old = detector(&[(0, 1, &[BAD, 1]), (500, 2, &[BAD, 2]), (1000, 3, &[BAD, 3])]);
    let now = at(120_000);
    let mut new = Detector::default();
    let verdicts = new.learn(now, [sent(&old, now)]);
    assert!(matches!(verdicts.as_slice(), [Verdict::Blocked(_)]));
    assert!(new.blocked(now, &[COMMON, BAD, 4]).is_some());
    assert!(new.learn(now, [sent(&old, now)]).is_empty(), "said twice");
}

// Guards against: hosts that tell each other for ever of a part that one of them has answered.
#[test]
fn an_answer_at_one_host_lifts_the_refusal_of_all() {
    let losses: [(u64, u16, &[PartId]); 3] = [
        (0, 1, &[RARE, 1]),
        (500, 2, &[RARE, 2]),
        (1000, 3, &[RARE, 3]),
    ];
    let mut wrong = detector(&losses);
    let mut other = Detector::default();
    other.answer(at(700), [RARE]);
    let now = at(2000);
    assert!(wrong.blocked(now, &[RARE, 4]).is_some());
    other.learn(now, [sent(&wrong, now)]);
    assert_eq!(other.blocked(now, &[RARE, 4]), None);
    wrong.learn(now, [sent(&other, now)]);
    assert_eq!(wrong.blocked(now, &[RARE, 4]), None);
}

// Guards against: all hosts repeat an answer that one of them has seen.
#[test]
fn an_answer_is_reported_by_the_host_that_has_seen_it() {
    let losses: [(u64, u16, &[PartId]); 2] = [(0, 1, &[COMMON, 10]), (500, 2, &[COMMON, 11])];
    let mut first = detector(&losses);
    first.answer(at(700), [COMMON]);
    let sound = Report {
        losses: Vec::new(),
        ..sent(&first, at(800))
    };
    assert!(!sound.sound.is_empty());
    let mut other = Detector::default();
    other.learn(at(800), [sound]);
    other.learn(at(900), [sent(&detector(&losses), at(900))]);
    assert!(sent(&other, at(900)).sound.is_empty());
}

// Guards against: a part is refused for ever, or crashes as many endpoints after each hold as at first.
#[test]
fn after_a_hold_one_crash_refuses_again_for_twice_as_long() {
    let mut detector = detector(&[(0, 1, &[BAD, 1]), (500, 2, &[BAD, 2]), (1000, 3, &[BAD, 3])]);
    let hold = Tuning::default().hold;
    let end = at(1000) + hold;
    assert!(
        detector
            .blocked(end - Duration::from_millis(1), &[BAD])
            .is_some()
    );
    assert_eq!(detector.blocked(end, &[BAD]), None);
    let crash = end + Duration::from_secs(30);
    let again = Loss {
        at: crash,
        ..loss(0, 9, &[COMMON, BAD, 5])
    };
    detector.lose(crash, again);
    assert_eq!(detector.blocked(crash, &[BAD]), Some(hold * 2));
    let much_later = crash + hold * 8;
    detector.learn(much_later, []);
    assert_eq!(detector.blocked(much_later, &[BAD]), None);
    assert!(sent(&detector, much_later).is_empty());
}

// Guards against: a host that talks nonsense.
#[test]
fn reports_with_impossible_times_and_sizes_do_no_harm() {
    let text = format!(
        r#"{{"losses":[{{"at":{max},"endpoint":"10.0.0.1:1","parts":[{many}]}}],
            "blocks":[{{"parts":[7],"since":{max},"last":{max},"hold":{max}}},
                      {{"parts":[],"since":0,"last":{max},"hold":{max}}}],
            "sound":[[1,{max}]]}}"#,
        max = u64::MAX,
        many = vec!["9"; 5000].join(",")
    );
    let report: Report = serde_json::from_str(&text).expect("a report");
    let mut detector = Detector::default();
    detector.learn(at(0), [report]);
    let longest = detector
        .blocked(at(0), &[7])
        .expect("a block that was told");
    assert!(longest <= Tuning::default().max_hold);
    assert_eq!(detector.blocked(at(0), &[1]), None);
    assert!(sent(&detector, at(0)).losses.is_empty());
}
