//! Rumours: facts that hosts pass on by gossip for a limited time, also while the store can't be
//! read.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::frame::Tag;

/// Age from which a rumour is no longer passed on.
pub const LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of rumours in a [`Queue`]; the oldest are evicted first.
pub const CAPACITY: usize = 1024;

/// Content of a rumour. Names are replaced by their tags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fact {
    /// A process of a host shuts down.
    HostLeaving {
        /// Tag of the host.
        host: Tag,
        /// Tag of the process incarnation that shuts down.
        incarnation: Tag,
    },
    /// An endpoint takes no new work.
    EndpointLeaving {
        /// Tag of the endpoint.
        endpoint: Tag,
    },
    /// A pool is under pressure on a host, which admits only some tiers.
    Pressure {
        /// Tag of the pool.
        pool: Tag,
        /// Lowest tier that the host still admits to the pool.
        floor: u8,
    },
    /// An endpoint has named the requests that it takes from all hosts together.
    Limit {
        /// Tag of the endpoint.
        endpoint: Tag,
        /// Requests in 1,000 s; `None` if it names no limit any more.
        rate: Option<u64>,
    },
}

/// A fact and its age, as frames carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// Fact that is passed on.
    pub fact: Fact,
    /// Time since the fact was observed, in units of 10 ms, rounded up.
    pub age: u16,
}

impl Rumour {
    /// Returns when the fact was observed, for a rumour that was received at `now`; `None` if it has
    /// expired.
    pub fn observed(&self, now: Instant) -> Option<Instant> {
        let age = AGE_UNIT * u32::from(self.age);
        now.checked_sub(age).filter(|_| age < LIFETIME)
    }
}

/// Unit of the age of a rumour in frames.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// A fact that this host passes on.
#[derive(Clone, Copy, Debug)]
struct Entry {
    fact: Fact,
    /// Time at which some host last observed the fact.
    observed: Instant,
    /// Number of frames that have carried the fact since then.
    sends: u32,
}

/// Queue of the rumours that this host passes on. Those sent least often come first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Records a fact that was observed at `observed`. Returns whether the fact is new or was
    /// observed more recently than known.
    pub fn record(&mut self, fact: Fact, observed: Instant) -> bool {
        match self.entries.iter_mut().find(|entry| entry.fact == fact) {
            Some(known) if observed <= known.observed => false,
            Some(known) => {
                *known = Entry {
                    fact,
                    observed,
                    sends: 0,
                };
                true
            }
            None => {
                self.evict_oldest();
                self.entries.push(Entry {
                    fact,
                    observed,
                    sends: 0,
                });
                true
            }
        }
    }

    /// Records a rumour of a frame that was received at `now`. Returns whether the fact is new or
    /// was observed more recently than known; false for a rumour that has expired.
    pub fn receive(&mut self, rumour: Rumour, now: Instant) -> bool {
        let observed = rumour.observed(now);
        observed.is_some_and(|observed| self.record(rumour.fact, observed))
    }

    /// Returns at most `limit` rumours for the next frame and counts them as sent.
    pub fn next(&mut self, limit: usize, now: Instant) -> Vec<Rumour> {
        self.expire(now);
        self.entries.sort_by_key(|entry| entry.sends);
        let chosen = self.entries.iter_mut().take(limit);
        chosen
            .map(|entry| {
                entry.sends += 1;
                entry.rumour(now)
            })
            .collect()
    }

    /// Returns all facts that are still passed on, with the time at which they were observed.
    pub fn facts(&self, now: Instant) -> impl Iterator<Item = (Fact, Instant)> + '_ {
        let is_valid =
            move |entry: &&Entry| now.saturating_duration_since(entry.observed) < LIFETIME;
        self.entries
            .iter()
            .filter(is_valid)
            .map(|entry| (entry.fact, entry.observed))
    }

    fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.observed) < LIFETIME);
    }

    /// Removes the fact observed longest ago if the queue is full.
    fn evict_oldest(&mut self) {
        if self.entries.len() < CAPACITY {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .min_by_key(|(_, entry)| entry.observed);
        if let Some((index, _)) = oldest {
            self.entries.swap_remove(index);
        }
    }
}

impl Entry {
    fn rumour(&self, now: Instant) -> Rumour {
        let age = now.saturating_duration_since(self.observed);
        let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
        Rumour {
            fact: self.fact,
            age: u16::try_from(units).unwrap_or(u16::MAX),
        }
    }
}
