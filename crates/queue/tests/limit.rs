//! Limits of client accounts: concurrency, rates and removal of idle state.

use std::time::{Duration, Instant};

use agate_model::refusal::Reason;
use agate_queue::limit::{Limit, Limiter};

const UNLIMITED: Limit = Limit {
    max_concurrent: 1000,
    requests_per_second: None,
    tokens_per_minute: None,
};

#[test]
fn a_request_counts_against_concurrency_until_its_release() {
    let now = Instant::now();
    let limit = Limit {
        max_concurrent: 1,
        ..UNLIMITED
    };
    let account = "a".to_owned();
    let mut limiter = Limiter::new();
    let permit = limiter
        .admit(now, &account, &limit, 1)
        .expect("the first request is within the limit");
    let excess = limiter
        .admit(now, &account, &limit, 1)
        .expect_err("the second request exceeds the limit");
    assert_eq!(excess.reason, Reason::AccountConcurrency);
    limiter.release(now, permit, 1);
    let permit = limiter
        .admit(now, &account, &limit, 1)
        .expect("the first request was released");
    limiter.release(now, permit, 1);
    assert!(limiter.is_empty());
}

#[test]
fn the_rate_of_requests_converges_to_the_limit() {
    let start = Instant::now();
    let limit = Limit {
        requests_per_second: Some(10),
        ..UNLIMITED
    };
    let account = "a".to_owned();
    let mut limiter = Limiter::new();
    let mut admitted = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if let Ok(permit) = limiter.admit(now, &account, &limit, 1) {
            admitted += 1;
            limiter.release(now, permit, 1);
        }
    }
    assert!((100..=110).contains(&admitted), "{admitted}");
}

#[test]
fn actual_tokens_replace_the_estimate_and_a_refusal_tells_the_wait() {
    let now = Instant::now();
    let limit = Limit {
        tokens_per_minute: Some(600),
        ..UNLIMITED
    };
    let account = "a".to_owned();
    let mut limiter = Limiter::new();
    let permit = limiter
        .admit(now, &account, &limit, 100)
        .expect("the estimate is within the burst");
    limiter.release(now, permit, 1200);
    let excess = limiter
        .admit(now, &account, &limit, 1)
        .expect_err("the account used tokens for a minute beyond its burst");
    assert_eq!(excess.reason, Reason::AccountRate);
    let wait = excess.retry_after;
    assert!(
        wait > Duration::from_secs(59) && wait <= Duration::from_secs(60),
        "{wait:?}"
    );
    let permit = limiter
        .admit(now + wait, &account, &limit, 1)
        .expect("the wait has passed");
    limiter.release(now + wait, permit, 1);
}

#[test]
fn state_of_idle_accounts_is_removed() {
    let now = Instant::now();
    let limit = Limit {
        requests_per_second: Some(1),
        ..UNLIMITED
    };
    let mut limiter = Limiter::new();
    for n in 0..10_000u64 {
        let at = now + Duration::from_secs(10 * n);
        let permit = limiter
            .admit(at, &n.to_string(), &limit, 1)
            .expect("the account is new");
        limiter.release(at, permit, 1);
    }
    assert!(limiter.len() <= 128, "{}", limiter.len());
}
