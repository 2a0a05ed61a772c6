//! The lagging list of hosts and endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use agate_wire::platform::{Listing, Machine};
use tokio::time::Instant;

/// Machines declared by the test, with the recent versions of their list.
#[derive(Debug)]
pub struct Hosts {
    lag: Duration,
    history: VecDeque<Version>,
}

#[derive(Debug)]
struct Version {
    at: Instant,
    listing: Listing,
}

impl Hosts {
    /// An empty list whose answers are `lag` old.
    pub fn new(lag: Duration) -> Self {
        let first = Version {
            at: Instant::now(),
            listing: Listing::default(),
        };
        Self {
            lag,
            history: VecDeque::from([first]),
        }
    }

    /// Replaces the declared machines.
    pub fn set(&mut self, machines: Vec<Machine>) {
        let newest = &self.history[self.history.len() - 1].listing;
        let revision = newest.revision + 1;
        self.history.push_back(Version {
            at: Instant::now(),
            listing: Listing { revision, machines },
        });
    }

    /// The list as of `lag` ago, together with that of the ordered endpoints.
    pub fn listing(&mut self, ordered: Listing) -> Listing {
        let lag = self.lag;
        let is_old = |it: &Version| it.at.elapsed() >= lag;
        while self.history.len() > 1 && is_old(&self.history[1]) {
            self.history.pop_front();
        }
        let mut listing = self.history[0].listing.clone();
        listing.revision += ordered.revision;
        listing.machines.extend(ordered.machines);
        listing
    }
}
