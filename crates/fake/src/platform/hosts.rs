//! List of hosts and endpoints that lags behind the declared state.

use std::collections::VecDeque;
use std::time::Duration;

use agate_wire::platform::{Listing, Machine};
use tokio::time::Instant;

/// Machines that the test declares, with the versions of their list that may still be returned.
#[derive(Debug)]
pub struct Hosts {
    lag: Duration,
    /// Versions from the one returned now to the newest; never empty.
    history: VecDeque<Version>,
}

#[derive(Debug)]
struct Version {
    declared_at: Instant,
    listing: Listing,
}

impl Hosts {
    /// Creates an empty list that returns its state as of `lag` ago.
    pub fn new(lag: Duration) -> Self {
        let first = Version {
            declared_at: Instant::now(),
            listing: Listing::default(),
        };
        Self {
            lag,
            history: VecDeque::from([first]),
        }
    }

    /// Replaces the declared machines and increments the revision.
    pub fn set(&mut self, machines: Vec<Machine>) {
        let newest = &self.history[self.history.len() - 1].listing;
        let revision = newest.revision + 1;
        self.history.push_back(Version {
            declared_at: Instant::now(),
            listing: Listing { revision, machines },
        });
    }

    /// Returns the list as of `lag` ago, with `ordered`, the list of the ordered endpoints, added;
    /// the revision is the sum of both.
    pub fn listing(&mut self, ordered: Listing) -> Listing {
        let lag = self.lag;
        let is_old = |version: &Version| version.declared_at.elapsed() >= lag;
        while self.history.len() > 1 && is_old(&self.history[1]) {
            self.history.pop_front();
        }
        let mut listing = self.history[0].listing.clone();
        listing.revision += ordered.revision;
        listing.machines.extend(ordered.machines);
        listing
    }
}
