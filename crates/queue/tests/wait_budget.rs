//! The wait in the queue leaves time for the first token.

use std::time::Duration;

use agate_queue::wait_budget::WaitBudget;

const TARGET: Duration = Duration::from_millis(900);

#[test]
fn the_wait_leaves_time_for_the_first_token_and_is_at_least_a_tenth_of_the_target() {
    let mut wait_budget = WaitBudget::default();
    assert_eq!(wait_budget.max_wait(TARGET), TARGET);
    for _ in 0..200 {
        wait_budget.observe(Duration::from_millis(300));
    }
    let wait = wait_budget.max_wait(TARGET).as_secs_f64();
    assert!((0.59..0.61).contains(&wait), "{wait}");
    for _ in 0..200 {
        wait_budget.observe(Duration::from_secs(5));
    }
    assert_eq!(wait_budget.max_wait(TARGET), Duration::from_millis(90));
}
