//! Recalls statements of endpoints that the store may have lost.
//!
//! A store that returns from an older copy lists endpoints as they were some time ago: as ready although they drain
//! since, or although their rows were removed. Endpoints that live state anew what is lost, but only after a while. Until
//! then a row from the copy does not count if this host knows a newer statement of the endpoint.

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use agate_model::id::EndpointId;
use tokio::time::Instant;

use crate::roster::Endpoint;

/// Removed endpoints that are remembered; the oldest are forgotten first.
const MAX_REMOVED: usize = 1024;

/// Last statement of an endpoint whose row was removed.
#[derive(Debug)]
struct Removed {
    endpoint: Endpoint,
    /// Number of returns of the store before the removal.
    returns: u64,
}

/// What this host knows of endpoints beyond the rows of the store.
#[derive(Debug)]
pub struct Recall {
    /// Time after a return of the store at which a row counts that still stands.
    hold_time: Duration,
    /// Returns of the store so far.
    returns: u64,
    /// When rows count whatever was known before; `None` if they do.
    until: Option<Instant>,
    /// Removed endpoints, oldest first.
    removed: VecDeque<Removed>,
    /// Rows that do not count yet.
    outdated: HashMap<EndpointId, Endpoint>,
}

impl Recall {
    /// Creates the state of a host that knows no endpoints. An outdated row counts if it still stands
    /// `hold_time` after the return of the store.
    pub fn new(hold_time: Duration) -> Self {
        Self {
            hold_time,
            returns: 0,
            until: None,
            removed: VecDeque::new(),
            outdated: HashMap::new(),
        }
    }

    /// Records that the store has returned from an older copy; the next rows are the first ones after it.
    pub fn start_era(&mut self, now: Instant) {
        self.returns += 1;
        self.until = Some(now + self.hold_time);
        self.outdated.clear();
    }

    /// Records an endpoint that is dropped from the list.
    pub fn record_removed(&mut self, endpoint: Endpoint) {
        self.outdated.remove(&endpoint.id);
        self.removed
            .retain(|removed| removed.endpoint.id != endpoint.id);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(Removed {
            endpoint,
            returns: self.returns,
        });
    }

    /// Returns whether the row of an endpoint counts, whose newest statement in the list is `known`.
    pub fn admit(&mut self, now: Instant, known: Option<&Endpoint>, endpoint: &Endpoint) -> bool {
        let is_open = self.until.is_none_or(|until| until <= now);
        if is_open || !self.is_outdated(known, endpoint) {
            self.accept(&endpoint.id);
            return true;
        }
        self.outdated.insert(endpoint.id.clone(), endpoint.clone());
        false
    }

    /// Forgets rows that do not count yet and that the store does not list any more.
    pub fn retain_listed(&mut self, listed: &HashSet<&EndpointId>) {
        self.outdated.retain(|id, _| listed.contains(id));
    }

    /// Forgets a row that does not count yet, since it was removed.
    pub fn forget_outdated(&mut self, id: &str) {
        self.outdated.remove(id);
    }

    /// Removes and returns the rows that still stand and count from now on.
    pub fn take_expired(&mut self, now: Instant) -> Vec<Endpoint> {
        if self.until.is_none_or(|until| until > now) {
            return Vec::new();
        }
        self.until = None;
        let standing: Vec<Endpoint> = self.outdated.drain().map(|(_, row)| row).collect();
        for endpoint in &standing {
            self.accept(&endpoint.id);
        }
        standing
    }

    /// Returns when rows count that still stand; `None` if all do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.until
    }

    /// Forgets what was known before a row that counts.
    fn accept(&mut self, id: &str) {
        self.outdated.remove(id);
        self.removed.retain(|removed| removed.endpoint.id != id);
    }

    /// Returns whether a row is older than what is known. Without an order of the two, it is taken for older if
    /// the same incarnation would get work again.
    fn is_outdated(&self, known: Option<&Endpoint>, endpoint: &Endpoint) -> bool {
        if let Some(known) = known {
            return match endpoint.order(known) {
                Some(order) => order == Ordering::Less,
                None => endpoint.is_same_incarnation(known) && known.draining && !endpoint.draining,
            };
        }
        let mut removed = self.removed.iter();
        let removed = removed.find(|removed| removed.endpoint.id == endpoint.id);
        removed.is_some_and(|removed| {
            // A row that was written since a removal in this era is newer than it.
            let is_before = removed.returns < self.returns;
            match endpoint.order(&removed.endpoint) {
                Some(Ordering::Equal) => is_before,
                Some(order) => order == Ordering::Less,
                None => is_before && endpoint.is_same_incarnation(&removed.endpoint),
            }
        })
    }
}
