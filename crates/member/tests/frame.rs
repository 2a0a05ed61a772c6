//! Encoding of gossip frames, and the queue of rumours.

use std::time::{Duration, Instant};

use agate_member::frame::{
    ATTESTATION_LIMIT, FRAME_BYTES, Frame, Lists, RUMOUR_LIMIT, Refusal, Response, Statement,
    decode_age, encode_age, tag,
};
use agate_member::rumour::{CAPACITY, Fact, LIFETIME, Queue, Rumour};
use agate_member::secret::Secret;
use agate_model::version::FRESHNESS_LIMIT;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn secret(digit: char) -> Secret {
    Secret::from_hex(&digit.to_string().repeat(64)).expect("a cluster key")
}

/// Returns a frame in which every field takes the most bytes.
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
        response: Some(Response {
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

/// Returns a response of usual size after three years with 610 configuration changes a day.
fn typical() -> Frame {
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
        response: Some(Response {
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
fn frame_size_is_bounded() {
    let length = largest().encode(&secret('a')).len();
    assert!(length <= FRAME_BYTES, "{length} B");
    let response = typical().encode(&secret('a')).len();
    let request = Frame {
        response: None,
        ..typical()
    };
    let request = request.encode(&secret('a')).len();
    println!("largest {length} B, typical response {response} B, typical request {request} B");
    assert!(
        response <= 120 && request <= 80,
        "response {response} B, request {request} B"
    );
}

#[test]
fn encoded_ages_are_rounded_up() {
    let limit = FRESHNESS_LIMIT;
    for age in [Duration::ZERO, Duration::from_millis(11), limit] {
        let decoded = decode_age(encode_age(Some(age))).expect("an age below the limit");
        assert!(decoded >= age && decoded < age + Duration::from_millis(10));
    }
    assert_eq!(
        decode_age(encode_age(Some(limit + Duration::from_millis(60)))),
        None
    );
    assert_eq!(decode_age(encode_age(None)), None);
}

#[test]
fn decoded_frame_equals_the_encoded_one() {
    let datagram = largest().encode(&secret('a'));
    assert_eq!(Frame::decode(&secret('a'), &datagram), Ok(largest()));
}

#[test]
fn datagrams_with_wrong_key_or_length_are_refused() {
    let datagram = typical().encode(&secret('b'));
    assert_eq!(Frame::decode(&secret('a'), &datagram), Err(Refusal::Code));
    assert_eq!(Frame::decode(&secret('a'), &[]), Err(Refusal::Code));
    let too_long = vec![0; FRAME_BYTES + 1];
    assert_eq!(
        Frame::decode(&secret('a'), &too_long),
        Err(Refusal::TooLong)
    );
}

#[test]
fn any_flipped_bit_is_detected() {
    let datagram = typical().encode(&secret('a'));
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(512)
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let flips = (0..datagram.len(), 0..8u32);
    runner
        .run(&flips, |(index, bit)| {
            let mut changed = datagram.clone();
            changed[index] ^= 1 << bit;
            prop_assert_eq!(Frame::decode(&secret('a'), &changed), Err(Refusal::Code));
            Ok(())
        })
        .expect("every flipped bit is detected");
}

#[test]
fn rumours_are_sent_in_turn_and_expire() {
    let start = Instant::now();
    let mut queue = Queue::default();
    let fact = |endpoint| Fact::EndpointLeaving { endpoint };
    for endpoint in 0..6 {
        assert!(queue.record(fact(endpoint), start));
        assert!(!queue.record(fact(endpoint), start));
    }
    let mut sent: Vec<Fact> = queue
        .next(4, start)
        .iter()
        .map(|rumour| rumour.fact)
        .collect();
    sent.extend(queue.next(4, start).iter().map(|rumour| rumour.fact));
    for endpoint in 0..6 {
        assert!(
            sent.contains(&fact(endpoint)),
            "rumour of endpoint {endpoint} was not sent"
        );
    }
    assert!(queue.next(4, start + LIFETIME).is_empty());
}

#[test]
fn rumour_ages_while_it_is_passed_on() {
    let start = Instant::now() + LIFETIME;
    let (mut first, mut second) = (Queue::default(), Queue::default());
    first.record(Fact::EndpointLeaving { endpoint: 1 }, start);
    let sent = first.next(1, start + Duration::from_secs(20))[0];
    let arrival = start + Duration::from_secs(20);
    assert!(second.receive(sent, arrival));
    assert!(second.next(1, arrival + Duration::from_secs(9)).len() == 1);
    assert!(second.next(1, arrival + Duration::from_secs(11)).is_empty());
}

#[test]
fn queue_length_is_bounded() {
    let start = Instant::now();
    let mut queue = Queue::default();
    for endpoint in 0..2 * CAPACITY as u64 {
        queue.record(Fact::EndpointLeaving { endpoint }, start);
    }
    assert_eq!(queue.facts(start).count(), CAPACITY);
}
