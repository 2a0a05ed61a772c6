//! Rumours: facts that are passed on for a while, whether or not the store can be read.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::frame::Tag;

/// Time for which a rumour is passed on.
pub const LIFETIME: Duration = Duration::from_secs(30);

/// Rumours kept; the oldest give way.
pub const KEPT_LIMIT: usize = 1024;

/// What a rumour says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fact {
    /// A run of a host shuts down.
    HostLeaving {
        /// Host.
        host: Tag,
        /// Run.
        incarnation: Tag,
    },
    /// An endpoint takes no new work.
    EndpointLeaving {
        /// Endpoint.
        endpoint: Tag,
    },
    /// A pool is under pressure on some host.
    Pressure {
        /// Pool.
        pool: Tag,
        /// Lowest tier still admitted there.
        floor: u8,
    },
}

/// A fact and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// What it says.
    pub fact: Fact,
    /// Time since it was first told, in units of 10 ms.
    pub age: u16,
}

const AGE_UNIT: Duration = Duration::from_millis(10);

/// A rumour that this host has heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    fact: Fact,
    told: Instant,
    passed_on: u32,
}

/// Rumours that this host passes on. Those passed on least come first.
#[derive(Clone, Debug, Default)]
pub struct Mill {
    heard: Vec<Heard>,
}

impl Mill {
    /// Records a fact that was first told at `told`. Whether it is new or told again more recently.
    pub fn tell(&mut self, fact: Fact, told: Instant) -> bool {
        match self.heard.iter_mut().find(|it| it.fact == fact) {
            Some(known) if told <= known.told => false,
            Some(known) => {
                *known = Heard {
                    fact,
                    told,
                    passed_on: 0,
                };
                true
            }
            None => {
                self.make_room();
                self.heard.push(Heard {
                    fact,
                    told,
                    passed_on: 0,
                });
                true
            }
        }
    }

    /// Records a rumour of a frame that came at `now`.
    pub fn hear(&mut self, rumour: Rumour, now: Instant) -> bool {
        let age = AGE_UNIT * u32::from(rumour.age);
        match now.checked_sub(age) {
            Some(told) if age < LIFETIME => self.tell(rumour.fact, told),
            _ => false,
        }
    }

    /// At most `limit` rumours for the next frame.
    pub fn next(&mut self, limit: usize, now: Instant) -> Vec<Rumour> {
        self.forget(now);
        self.heard.sort_by_key(|it| it.passed_on);
        let chosen = self.heard.iter_mut().take(limit);
        chosen
            .map(|it| {
                it.passed_on += 1;
                it.rumour(now)
            })
            .collect()
    }

    /// All facts that are still passed on, with the time at which they were first told.
    pub fn facts(&self, now: Instant) -> impl Iterator<Item = (Fact, Instant)> + '_ {
        let is_young = move |it: &&Heard| now.saturating_duration_since(it.told) < LIFETIME;
        self.heard
            .iter()
            .filter(is_young)
            .map(|it| (it.fact, it.told))
    }

    fn forget(&mut self, now: Instant) {
        self.heard
            .retain(|it| now.saturating_duration_since(it.told) < LIFETIME);
    }

    fn make_room(&mut self) {
        if self.heard.len() < KEPT_LIMIT {
            return;
        }
        let oldest = self.heard.iter().enumerate().min_by_key(|(_, it)| it.told);
        if let Some((at, _)) = oldest {
            self.heard.swap_remove(at);
        }
    }
}

impl Heard {
    fn rumour(&self, now: Instant) -> Rumour {
        let age = now.saturating_duration_since(self.told);
        let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
        Rumour {
            fact: self.fact,
            age: u16::try_from(units).unwrap_or(u16::MAX),
        }
    }
}
