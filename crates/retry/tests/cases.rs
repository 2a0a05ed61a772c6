//! Single cases of attempts, decisions and hedge delays.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use agate_model::refusal::{Execution, Reason};
use agate_retry::attempt::{Unconnected, Unsent};
use agate_retry::backoff::Backoff;
use agate_retry::budget::Budget;
use agate_retry::decision::{History, Next, Outcome, next};
use agate_retry::hedge::Delay;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

#[rstest]
#[case(ErrorKind::ConnectionRefused, true)]
#[case(ErrorKind::NetworkUnreachable, true)]
#[case(ErrorKind::ConnectionReset, false)]
#[case(ErrorKind::TimedOut, false)]
#[case(ErrorKind::UnexpectedEof, false)]
#[case(ErrorKind::BrokenPipe, false)]
fn only_failures_before_a_connection_prove_that_nothing_was_sent(
    #[case] kind: ErrorKind,
    #[case] is_proof: bool,
) {
    assert_eq!(Unconnected::from_kind(kind).is_some(), is_proof);
}

#[test]
fn failed_connection_leaves_the_request_unsent() {
    let proof = Unconnected::from_kind(ErrorKind::ConnectionRefused)
        .expect("a refused connection proves that nothing was sent");
    let unsent = Unsent::new(false).open().fail(proof);
    assert_eq!(unsent.connects(), 1);
    assert_eq!(
        unsent.refuse(Reason::EndpointUnreachable).execution(),
        Execution::NotRun
    );
}

#[test]
fn only_an_idempotent_request_is_sent_again() {
    assert!(Unsent::new(false).open().send().resend().is_none());
    let mut sent = Unsent::new(true).open().send();
    assert!(sent.resend().is_some());
    assert_eq!(sent.sends(), 2);
    assert_eq!(
        sent.fail(Reason::EndpointTimeout).execution(),
        Execution::Unknown
    );
}

#[test]
fn failure_reason_names_what_stopped_the_retries() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut history = History {
        idempotent: true,
        resumable: false,
        connects: 1,
        sends: 1,
        resumes: 0,
        deadline: now + Duration::from_secs(10),
        min_execution: Duration::ZERO,
    };
    let mut budget = Budget::new(0);
    let mut decide = |outcome, history: &History| {
        next(
            now,
            outcome,
            history,
            &mut budget,
            &Backoff::default(),
            &mut rng,
        )
    };
    assert!(matches!(
        decide(Outcome::TimedOut, &history),
        Next::Retry { .. }
    ));
    assert!(matches!(
        decide(Outcome::TimedOut, &history),
        Next::Retry { .. }
    ));
    assert_eq!(
        decide(Outcome::TimedOut, &history),
        Next::Fail(Reason::RetryBudget)
    );
    history.idempotent = false;
    assert_eq!(
        decide(Outcome::TimedOut, &history),
        Next::Fail(Reason::EndpointTimeout)
    );
    history.sends = 0;
    assert!(matches!(
        decide(Outcome::Unconnected, &history),
        Next::Retry { .. }
    ));
    history.deadline = now;
    let after_deadline = decide(Outcome::Unconnected, &history);
    assert_eq!(after_deadline, Next::Fail(Reason::DeadlineUnreachable));
}

#[test]
fn hedge_delay_follows_the_quantile_of_recent_latencies() {
    let mut delay = Delay::default();
    for ms in 1..=49 {
        delay.observe(Duration::from_millis(ms));
    }
    assert_eq!(delay.get(), None);
    for _ in 0..20 {
        for ms in 1..=100 {
            delay.observe(Duration::from_millis(ms));
        }
    }
    let p95 = delay.get().expect("enough observations").as_secs_f64();
    assert!(
        (0.095..0.110).contains(&p95),
        "expected 0.095..0.110 s, got {p95} s"
    );
    for _ in 0..20_000 {
        delay.observe(Duration::from_millis(400));
    }
    assert!(delay.get().expect("enough observations") >= Duration::from_millis(400));
}
