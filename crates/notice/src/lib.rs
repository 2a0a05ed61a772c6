//! What endpoints ask of a host in their responses: no new work at all, since they are leaving, or none
//! for a while.
//!
//! A notice belongs to one incarnation of an endpoint and to the host that received it. It outlasts the
//! endpoint's place in any list, which may be behind or name the same incarnation again.

pub mod retry_after;

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Longest pause that is granted. What an endpoint asks for is its own affair up to a day; whoever
/// wants more will ask again.
pub const MAX_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// Incarnations whose notices are kept; those that were marked first are forgotten first.
const MAX_NOTICES: usize = 8_192;

/// Notices of one incarnation.
#[derive(Clone, Copy, Debug)]
struct Entry {
    is_leaving: bool,
    paused_until: Option<Instant>,
    /// When the last notice came.
    at: Instant,
}

/// Notices of endpoints by incarnation.
#[derive(Debug)]
pub struct Notices<K> {
    entries: HashMap<K, Entry>,
}

impl<K> Default for Notices<K> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Notices<K> {
    /// Records that an endpoint is leaving. Returns whether that was not known. Nothing ends it: a new
    /// incarnation is another key.
    pub fn leave(&mut self, now: Instant, key: &K) -> bool {
        let entry = self.entry(now, key);
        !std::mem::replace(&mut entry.is_leaving, true)
    }

    /// Records that an endpoint wants nothing for `wait`, at most [`MAX_PAUSE`]. A shorter pause does
    /// not end a longer one. Returns the end if that is later than the one known.
    pub fn pause(&mut self, now: Instant, key: &K, wait: Duration) -> Option<Instant> {
        let until = now + wait.min(MAX_PAUSE);
        let entry = self.entry(now, key);
        let is_longer = until > now && entry.paused_until.is_none_or(|known| until > known);
        is_longer.then(|| *entry.paused_until.insert(until))
    }

    fn entry(&mut self, now: Instant, key: &K) -> &mut Entry {
        if self.entries.len() >= MAX_NOTICES && !self.entries.contains_key(key) {
            self.forget(now);
        }
        let entry = self.entries.entry(key.clone()).or_insert(Entry {
            is_leaving: false,
            paused_until: None,
            at: now,
        });
        entry.at = now;
        entry
    }

    /// Removes pauses that are over, then the older half of the notices if that is not enough.
    fn forget(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.is_leaving || entry.paused_until.is_some_and(|until| until > now)
        });
        if self.entries.len() < MAX_NOTICES {
            return;
        }
        let mut times: Vec<Instant> = self.entries.values().map(|entry| entry.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.entries.retain(|_, entry| entry.at > median);
    }

    /// Returns whether an endpoint may get a request.
    #[must_use]
    pub fn is_open(&self, now: Instant, key: &K) -> bool {
        // Most of the time there is no notice at all.
        self.entries.is_empty() || self.find_open(now, key)
    }

    fn find_open(&self, now: Instant, key: &K) -> bool {
        let entry = self.entries.get(key);
        entry.is_none_or(|entry| !entry.is_leaving && entry.paused_until.is_none_or(|at| at <= now))
    }

    /// Returns whether an endpoint has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, key: &K) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.is_leaving)
    }

    /// Returns when the pause of an endpoint ends; `None` if it is not paused or never comes back.
    #[must_use]
    pub fn paused_until(&self, now: Instant, key: &K) -> Option<Instant> {
        let entry = self.entries.get(key).filter(|entry| !entry.is_leaving)?;
        entry.paused_until.filter(|until| *until > now)
    }

    /// Returns the number of incarnations with a notice.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no incarnation has a notice.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
