//! The retries of all hosts together stay within the budget, for 2, 9 and 75 hosts that do not
//! coordinate.

use std::time::Duration;

use agate_edge::budget::{Budget, Policy};
use rstest::rstest;
use tokio::time::Instant;

const POLICY: Policy = Policy {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

#[rstest]
#[case::two(2)]
#[case::nine(9)]
#[case::many(75)]
fn no_window_gets_more_retries_than_the_budget(#[case] hosts: usize) {
    let start = Instant::now();
    let mut budgets: Vec<Budget> = (0..hosts).map(|_| Budget::default()).collect();
    let mut request_times = Vec::new();
    let mut retry_times = Vec::new();
    for step in 0..1500_u64 {
        let now = start + Duration::from_millis(step * 20);
        // Traffic stops for ten seconds and resumes, and every host tries a retry in every step.
        let is_busy = !(500..1000).contains(&step);
        for (n, budget) in budgets.iter_mut().enumerate() {
            if is_busy && (step as usize + n).is_multiple_of(7) {
                budget.record_request(now, &POLICY);
                request_times.push(now);
            }
            if budget.try_take(now, &POLICY, hosts) {
                retry_times.push(now);
            }
        }
    }
    for end in retry_times.iter().step_by(37) {
        let within = |time: &&Instant| **time > *end - POLICY.window && **time <= *end;
        let before =
            |time: &&Instant| **time > *end - POLICY.window * 2 && **time <= *end - POLICY.window;
        let requests = request_times.iter().filter(within).count();
        let requests = requests.max(request_times.iter().filter(before).count());
        let retries = retry_times.iter().filter(within).count();
        let bound = POLICY.ratio * requests as f64 + POLICY.extra;
        assert!(
            retries as f64 <= bound,
            "{retries} retries, {requests} requests"
        );
    }
}
