//! Polls a condition until it holds or a timeout expires.

use std::time::Duration;

use tokio::time::Instant;

/// Interval between two evaluations of a condition.
pub const POLL: Duration = Duration::from_millis(25);

/// Timeout for processes to start and serve, sufficient on a busy machine.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Bound on the time until a configuration change is in force on every host.
pub const IN_FORCE: Duration = Duration::from_secs(3);

/// Tolerance that tests add to a time bound, since the machine may be busy.
pub const SLACK: Duration = Duration::from_millis(1500);

/// Calls `probe` every [`POLL`] until it returns a value, and returns that value.
///
/// Panics with `condition` in the message if `probe` still returns `None` after `timeout`.
pub async fn until<T, F>(condition: &str, timeout: Duration, mut probe: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "condition not met within {timeout:?}: {condition}"
        );
        tokio::time::sleep(POLL).await;
    }
}
