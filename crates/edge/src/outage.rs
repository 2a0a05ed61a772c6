//! Calls to the store while it does not answer: the tasks of a host take turns, so that one of
//! them asks and the others follow as soon as it gets an answer.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Between two calls of a host while the store does not answer. Two hosts in three have asked
/// within this time of its return, well inside the two seconds in which endpoints come back.
const PROBE: Duration = Duration::from_millis(500);

/// Whether the store answers this host.
#[derive(Debug, Default)]
pub struct Outage {
    /// When the next call may be made; `None` while the store answers.
    next: Cell<Option<Instant>>,
    over: Notify,
}

impl Outage {
    /// A call has failed at `now`.
    pub fn lost(&self, now: Instant) {
        if self.next.get().is_none() {
            self.next.set(Some(now + spread()));
        }
    }

    /// A call was answered.
    pub fn over(&self) {
        if self.next.take().is_some() {
            self.over.notify_waiters();
        }
    }

    /// Whether the store does not answer this host.
    pub fn is_on(&self) -> bool {
        self.next.get().is_some()
    }

    /// Waits until it is this task's turn to call, or the store answers again.
    pub async fn turn(&self) {
        loop {
            let over = self.over.notified();
            let Some(next) = self.next.get() else { return };
            let now = Instant::now();
            if next <= now {
                self.next.set(Some(now + spread()));
                return;
            }
            tokio::select! {
                () = over => return,
                () = sleep_until(next) => {}
            }
        }
    }
}

/// Hosts that lost the store together do not ask together ever after.
fn spread() -> Duration {
    PROBE.mul_f64(rand::random_range(0.7..1.3))
}
