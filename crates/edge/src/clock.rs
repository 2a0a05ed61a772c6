//! Clocks: time since boot, the store's steady clock, and the time of day that hosts agree on.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns the time since boot, which includes the time while the host is suspended.
pub fn boot() -> Duration {
    // The call fails only for clocks that the kernel does not know.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Returns a monotonic instant that advances while the host is suspended, unlike that of the
/// runtime.
pub fn steady() -> Instant {
    static BASE: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (instant, since) = BASE.get_or_init(|| (Instant::now(), boot()));
    *instant + boot().saturating_sub(*since)
}

/// Returns the time of day in milliseconds since the Unix epoch. It may jump.
pub fn wall_millis() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}

/// Relation between this host's time since boot and the store's steady clock.
///
/// Each response of the store bounds the difference: the store read its clock after the request was
/// sent and before the response was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Greatest lower bound of `boot - store`, in milliseconds; `None` before the first response.
    low: Option<i64>,
    /// Least upper bound of `boot - store`, in milliseconds; `None` before the first response.
    high: Option<i64>,
}

impl StoreClock {
    /// Records a response that carried the store's clock `store_millis`. `sent` and `received` are
    /// the times since boot at which the request was sent and the response was received.
    pub fn observe(&mut self, sent: Duration, received: Duration, store_millis: u64) {
        let store = i64::try_from(store_millis).unwrap_or(i64::MAX);
        let low = millis(sent) - store;
        let high = millis(received) - store;
        let contradicts = self.high.is_some_and(|bound| low > bound)
            || self.low.is_some_and(|bound| high < bound);
        if contradicts {
            // One of the clocks was stepped: only the newest response counts.
            (self.low, self.high) = (Some(low), Some(high));
            return;
        }
        self.low = Some(self.low.map_or(low, |bound| bound.max(low)));
        self.high = Some(self.high.map_or(high, |bound| bound.min(high)));
    }

    /// Returns the earliest time since boot at which the store's clock can have shown
    /// `store_millis`; `None` before the first response.
    pub fn earliest(&self, store_millis: u64) -> Option<Duration> {
        let boot = self.low? + i64::try_from(store_millis).unwrap_or(i64::MAX);
        Some(Duration::from_millis(u64::try_from(boot).unwrap_or(0)))
    }

    /// Returns the estimated store's clock at the time `boot` since boot, in milliseconds; `None`
    /// before the first response.
    pub fn now(&self, boot: Duration) -> Option<i64> {
        let offset = (self.low? + self.high?) / 2;
        Some(millis(boot) - offset)
    }
}

/// Returns a time in milliseconds.
pub(crate) fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Returns the median of the offsets between time of day and the store's clock that hosts report,
/// so that a host whose time of day has jumped has no effect. Sorts `offsets`; `None` if it is
/// empty.
pub fn agreed_offset(offsets: &mut [i64]) -> Option<i64> {
    offsets.sort_unstable();
    offsets.get(offsets.len() / 2).copied()
}
