//! Permits that one owner of an endpoint grants.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::Rate;
use crate::permit::Answer;

/// How far ahead of its time a permit is granted: requests do not wait for longer, as a rule.
const HORIZON: Duration = Duration::from_millis(300);
/// Permits that are granted at once, as the time in which they become due.
const BATCH_TIME: Duration = Duration::from_millis(250);
/// Shortest and longest time after which a host that got no permit is asked to come back.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(8);
/// Endpoints for which schedules are kept.
const MAX_SCHEDULES: usize = 4_096;
/// Longest interval between two permits.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// Times of the permits that one owner grants for one endpoint. Permits that nobody has asked for are not
/// saved up.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// When the next permit is due.
    next: Instant,
    /// When the hosts that were sent away have got theirs, if they come back in their order.
    line: Instant,
}

impl Schedule {
    /// Creates a schedule. The first permit is due after a whole interval, as another owner may have
    /// granted one just before.
    #[must_use]
    pub fn new(now: Instant, rate: Rate) -> Self {
        let next = now + interval(rate);
        Self { next, line: next }
    }

    /// Returns the answer to a host that wants permits, where this owner grants `rate` a second.
    pub fn ask(&mut self, now: Instant, rate: Rate, wanted: u32) -> Answer {
        let interval = interval(rate);
        let most = (rate * BATCH_TIME.as_secs_f64()).max(1.0) as u32;
        // The limit may have risen since the time was set.
        self.next = self.next.min(now + HORIZON + interval * most);
        let due = self.next.max(now);
        self.line = self.line.max(due);
        let after = due - now;
        if rate > 0.0 && after <= HORIZON {
            let count = wanted.clamp(1, most);
            self.next = due + interval * count;
            return Answer::Granted { count, after };
        }
        let turn = self.line;
        self.line = (turn + interval).min(now + MAX_WAIT + HORIZON);
        let wait = (turn - now).saturating_sub(HORIZON);
        Answer::Denied {
            wait: wait.clamp(MIN_WAIT, MAX_WAIT),
        }
    }
}

/// Schedules of all endpoints for which one owner grants permits.
#[derive(Clone, Debug)]
pub struct Schedules<K> {
    by_endpoint: HashMap<K, Schedule>,
}

impl<K> Default for Schedules<K> {
    fn default() -> Self {
        Self {
            by_endpoint: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Schedules<K> {
    /// Returns the answer to a host that wants permits for an endpoint, where this owner grants `rate` a
    /// second.
    pub fn ask(&mut self, endpoint: &K, now: Instant, rate: Rate, wanted: u32) -> Answer {
        let is_known = self.by_endpoint.contains_key(endpoint);
        if self.by_endpoint.len() >= MAX_SCHEDULES && !is_known {
            self.by_endpoint.clear();
        }
        let schedule = self.by_endpoint.entry(endpoint.clone());
        let schedule = schedule.or_insert_with(|| Schedule::new(now, rate));
        schedule.ask(now, rate, wanted)
    }

    /// Removes the schedule of an endpoint that has no limit any more.
    pub fn remove(&mut self, endpoint: &K) {
        self.by_endpoint.remove(endpoint);
    }
}

fn interval(rate: Rate) -> Duration {
    let seconds = 1.0 / rate.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_INTERVAL)
        .min(MAX_INTERVAL)
}
