//! Gossip frames and rumours.

use std::time::{Duration, Instant};

use agate_member::frame::{
    ATTESTATION_LIMIT, Answer, FRAME_BYTES, Frame, Lists, RUMOUR_LIMIT, Refusal, Statement,
    long_age, short_age, tag,
};
use agate_member::rumour::{Fact, KEPT_LIMIT, LIFETIME, Mill, Rumour};
use agate_member::secret::Secret;
use agate_model::version::FRESHNESS_LIMIT;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn secret(digit: char) -> Secret {
    Secret::from_hex(&digit.to_string().repeat(64)).expect("a cluster key")
}

/// A frame with every part at its largest.
fn largest() -> Frame {
    let statement = Statement {
        version: u64::MAX,
        age_ms: u16::MAX,
    };
    let rumour = Rumour {
        fact: Fact::HostLeaving {
            host: u64::MAX,
            incarnation: u64::MAX,
        },
        age: u16::MAX,
    };
    Frame {
        host: u64::MAX,
        incarnation: u64::MAX,
        nonce: u64::MAX,
        version: u64::MAX,
        accepted: u64::MAX,
        epoch: u64::MAX,
        rumours: vec![rumour; RUMOUR_LIMIT],
        answer: Some(Answer {
            store: Some(statement),
            set_since: u64::MAX,
            attestations: vec![u8::MAX; ATTESTATION_LIMIT],
            proof_age_ms: Some(u16::MAX),
            lists: Some(Lists {
                digest: u32::MAX,
                age_ms: u32::MAX,
            }),
        }),
    }
}

/// A frame as it is on an ordinary day, after three years of 610 changes a day.
fn ordinary() -> Frame {
    let statement = Statement {
        version: 668_000,
        age_ms: 700,
    };
    Frame {
        host: tag("host-17"),
        incarnation: tag("run"),
        nonce: u64::MAX / 3,
        version: 668_000,
        accepted: 668_000,
        epoch: 4_000,
        rumours: Vec::new(),
        answer: Some(Answer {
            store: Some(statement),
            set_since: 667_000,
            attestations: vec![70; ATTESTATION_LIMIT],
            proof_age_ms: Some(700),
            lists: Some(Lists {
                digest: u32::MAX / 3,
                age_ms: 1500,
            }),
        }),
    }
}

#[test]
fn size_is_bounded() {
    let length = largest().encode(&secret('a')).len();
    assert!(length <= FRAME_BYTES, "{length} B");
    let answer = ordinary().encode(&secret('a')).len();
    let question = Frame {
        answer: None,
        ..ordinary()
    };
    let question = question.encode(&secret('a')).len();
    println!("largest {length} B, ordinary answer {answer} B, ordinary question {question} B");
    assert!(answer <= 120 && question <= 80, "{answer} B, {question} B");
}

#[test]
fn ages_are_rounded_up() {
    let limit = FRESHNESS_LIMIT;
    for age in [Duration::ZERO, Duration::from_millis(11), limit] {
        let carried = long_age(short_age(Some(age))).expect("an age below the limit");
        assert!(carried >= age && carried < age + Duration::from_millis(10));
    }
    assert_eq!(
        long_age(short_age(Some(limit + Duration::from_millis(60)))),
        None
    );
    assert_eq!(long_age(short_age(None)), None);
}

#[test]
fn a_frame_survives_the_wire() {
    let datagram = largest().encode(&secret('a'));
    assert_eq!(Frame::decode(&secret('a'), &datagram), Ok(largest()));
}

#[test]
fn a_stranger_is_refused() {
    let datagram = ordinary().encode(&secret('b'));
    assert_eq!(Frame::decode(&secret('a'), &datagram), Err(Refusal::Code));
    assert_eq!(Frame::decode(&secret('a'), &[]), Err(Refusal::Code));
    let long = vec![0; FRAME_BYTES + 1];
    assert_eq!(Frame::decode(&secret('a'), &long), Err(Refusal::TooLong));
}

#[test]
fn any_changed_bit_is_noticed() {
    let datagram = ordinary().encode(&secret('a'));
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(512)
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let flips = (0..datagram.len(), 0..8u32);
    runner
        .run(&flips, |(at, bit)| {
            let mut changed = datagram.clone();
            changed[at] ^= 1 << bit;
            prop_assert_eq!(Frame::decode(&secret('a'), &changed), Err(Refusal::Code));
            Ok(())
        })
        .expect("every flip is noticed");
}

#[test]
fn rumours_take_turns_and_lapse() {
    let start = Instant::now();
    let mut mill = Mill::default();
    let fact = |endpoint| Fact::EndpointLeaving { endpoint };
    for endpoint in 0..6 {
        assert!(mill.tell(fact(endpoint), start));
        assert!(!mill.tell(fact(endpoint), start));
    }
    let mut told: Vec<Fact> = mill.next(4, start).iter().map(|it| it.fact).collect();
    told.extend(mill.next(4, start).iter().map(|it| it.fact));
    for endpoint in 0..6 {
        assert!(
            told.contains(&fact(endpoint)),
            "{endpoint} was not passed on"
        );
    }
    assert!(mill.next(4, start + LIFETIME).is_empty());
}

#[test]
fn a_rumour_ages_on_its_way() {
    let start = Instant::now() + LIFETIME;
    let (mut first, mut second) = (Mill::default(), Mill::default());
    first.tell(Fact::EndpointLeaving { endpoint: 1 }, start);
    let sent = first.next(1, start + Duration::from_secs(20))[0];
    let arrival = start + Duration::from_secs(20);
    assert!(second.hear(sent, arrival));
    assert!(second.next(1, arrival + Duration::from_secs(9)).len() == 1);
    assert!(second.next(1, arrival + Duration::from_secs(11)).is_empty());
}

#[test]
fn rumours_are_bounded() {
    let start = Instant::now();
    let mut mill = Mill::default();
    for endpoint in 0..2 * KEPT_LIMIT as u64 {
        mill.tell(Fact::EndpointLeaving { endpoint }, start);
    }
    assert_eq!(mill.facts(start).count(), KEPT_LIMIT);
}
