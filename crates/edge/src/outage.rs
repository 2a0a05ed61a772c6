//! Limits calls to the store during an outage: one task of the host probes the store at a time, and
//! the others continue as soon as a call succeeds.
//!
//! A host that other hosts can read the store for probes at intervals that double, up to a limit
//! that grows with the number of hosts. So the calls of all hosts together stay bounded, whether the
//! store is silent or turns a part of the hosts away.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Mean interval between the first two probes of a host during an outage, and between all probes of
/// a reader. Two hosts in three have called within this time after the store is back, well within
/// the two seconds in which endpoints come back.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest interval between two probes of a host. Within it, a host that no reader serves notices
/// that the store is back before its evidence would matter to callers for long.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Number of probes in a second of all hosts together to which the intervals grow.
const PROBES_PER_SECOND: f64 = 20.0;

/// Least random factor of an interval.
const MIN_JITTER: f64 = 0.7;
/// Greatest random factor of an interval.
pub const MAX_JITTER: f64 = 1.3;
/// Time after an outage within which the rows of all hosts are written again: a probe of the reader,
/// a handover, a write and a read.
pub const RECOVERY_TIME: Duration = Duration::from_millis(2_800);

/// Returns the limit of the interval between two probes of one of `hosts` hosts.
pub fn max_interval(hosts: usize) -> Duration {
    let interval = Duration::from_secs_f64(hosts as f64 / PROBES_PER_SECOND);
    interval.clamp(PROBE_INTERVAL, MAX_PROBE_INTERVAL)
}

/// State of an outage of the store as seen by this host.
#[derive(Debug, Default)]
pub struct Outage {
    /// When the next probe may be sent; `None` if there is no outage.
    next_probe: Cell<Option<Instant>>,
    /// When the last outage ended; `None` if there was none.
    ended: Cell<Option<Instant>>,
    /// Whether no call of this host has failed: other hosts told it of the outage.
    is_suspected: Cell<bool>,
    /// Number of probes since the outage began.
    probes: Cell<u32>,
    /// Notified when the outage ends, or the next probe is due earlier.
    over: Notify,
}

impl Outage {
    /// Records that a call failed at `now`, which starts an outage unless one is active.
    pub fn record_failure(&self, now: Instant) {
        self.is_suspected.set(false);
        if self.next_probe.get().is_none() {
            self.probes.set(0);
            self.next_probe.set(Some(now + jittered(PROBE_INTERVAL)));
        }
    }

    /// Records that other hosts can't reach the store, which starts an outage unless one is active.
    /// They probe it already, so the next probe of this host is due after about `limit`.
    pub fn suspect(&self, now: Instant, limit: Duration) {
        let due = now + jittered(limit);
        match self.next_probe.get() {
            None => {
                self.probes.set(0);
                self.is_suspected.set(true);
                self.next_probe.set(Some(due));
            }
            Some(next) => self.next_probe.set(Some(next.min(due))),
        }
    }

    /// Records that another host reaches the store, which ends an outage that this host only
    /// suspected.
    pub fn dispel(&self, now: Instant) {
        if self.is_suspected.get() {
            self.end(now);
        }
    }

    /// Returns whether a probe is due at `now`, and takes it if so.
    pub fn take_probe(&self, now: Instant, limit: Duration) -> bool {
        let is_due = self.next_probe.get().is_some_and(|next| next <= now);
        if is_due {
            let interval = PROBE_INTERVAL * 2_u32.pow(self.probes.get().min(8));
            self.probes.set(self.probes.get() + 1);
            let interval = jittered(interval.min(limit));
            self.next_probe.set(Some(now + interval));
        }
        is_due
    }

    /// Records that a call succeeded at `now`, which ends the outage.
    pub fn end(&self, now: Instant) {
        self.is_suspected.set(false);
        if self.next_probe.take().is_some() {
            self.ended.set(Some(now));
            self.over.notify_waiters();
        }
    }

    /// Returns whether an outage is active.
    pub fn is_active(&self) -> bool {
        self.next_probe.get().is_some()
    }

    /// Returns whether an outage ended so shortly before `now` that the rows of other hosts may still
    /// be those from before it.
    pub fn is_recovering(&self, now: Instant) -> bool {
        let ended = self.ended.get();
        ended.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_TIME)
    }

    /// Makes the next probe due at `now`, since there is something that only the store can tell.
    pub fn hasten(&self, now: Instant) {
        if self.next_probe.get().is_some_and(|next| next > now) {
            self.next_probe.set(Some(now));
            self.over.notify_waiters();
        }
    }

    /// Waits until this task may send the next probe, or the outage ends. `limit` bounds the
    /// interval until the probe after it.
    pub async fn wait_for_probe(&self, limit: Duration) {
        loop {
            let over = self.over.notified();
            let Some(next_probe) = self.next_probe.get() else {
                return;
            };
            if self.take_probe(Instant::now(), limit) {
                return;
            }
            tokio::select! {
                () = over => {}
                () = sleep_until(next_probe) => {}
            }
        }
    }
}

/// Returns a random duration around `interval`, so that hosts that lost the store at the same time
/// do not keep probing it at the same time.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(MIN_JITTER..MAX_JITTER))
}
