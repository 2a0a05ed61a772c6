//! Bounded waits for a condition.

use std::time::Duration;

use tokio::time::Instant;

/// Time between two looks.
pub const POLL: Duration = Duration::from_millis(25);

/// Time for processes to start, on a busy machine.
pub const START: Duration = Duration::from_secs(20);

/// Within this time a configuration change is in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(3);

/// Allowance for a busy machine on top of a target.
pub const SLACK: Duration = Duration::from_millis(1500);

/// Looks until there is something, for at most `limit`; then fails with `what`.
pub async fn until<T, F>(what: &str, limit: Duration, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + limit;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL).await;
    }
}
