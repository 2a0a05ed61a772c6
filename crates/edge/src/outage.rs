//! Limits calls to the store during an outage: one task of the host probes the store at a time, and
//! the others continue as soon as a call succeeds.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Mean interval between two calls of a host during an outage. Two hosts in three have called
/// within this time after the store is back, well within the two seconds in which endpoints come
/// back.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// State of an outage of the store as seen by this host.
#[derive(Debug, Default)]
pub struct Outage {
    /// When the next probe may be sent; `None` if there is no outage.
    next_probe: Cell<Option<Instant>>,
    /// Notified when the outage ends.
    over: Notify,
}

impl Outage {
    /// Records that a call failed at `now`, which starts an outage unless one is active.
    pub fn record_failure(&self, now: Instant) {
        if self.next_probe.get().is_none() {
            self.next_probe.set(Some(now + jittered_interval()));
        }
    }

    /// Records that a call succeeded, which ends the outage.
    pub fn end(&self) {
        if self.next_probe.take().is_some() {
            self.over.notify_waiters();
        }
    }

    /// Returns whether an outage is active.
    pub fn is_active(&self) -> bool {
        self.next_probe.get().is_some()
    }

    /// Waits until this task may send the next probe, or the outage ends.
    pub async fn wait_for_probe(&self) {
        loop {
            let over = self.over.notified();
            let Some(next_probe) = self.next_probe.get() else {
                return;
            };
            let now = Instant::now();
            if next_probe <= now {
                self.next_probe.set(Some(now + jittered_interval()));
                return;
            }
            tokio::select! {
                () = over => return,
                () = sleep_until(next_probe) => {}
            }
        }
    }
}

/// Returns a random interval, so that hosts that lost the store at the same time do not keep
/// probing it at the same time.
fn jittered_interval() -> Duration {
    PROBE_INTERVAL.mul_f64(rand::random_range(0.7..1.3))
}
