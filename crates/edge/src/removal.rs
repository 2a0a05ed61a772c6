//! Decides when an entry missing from the list of endpoints counts as removed.
//!
//! The store drops the entry of an endpoint that leaves, and also the entries of live endpoints
//! that could not be renewed while the store was unavailable; these reappear soon after its
//! recovery. A removal read in the first response after an outage may be of either kind and is
//! held for a while. Any later one was made by a working store and applies at once.

use std::collections::HashMap;
use std::time::Duration;

use agate_model::id::EndpointId;
use tokio::time::Instant;

/// How a removal is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The endpoint has left and is dropped at once.
    Apply,
    /// The endpoint may reappear; it is dropped when the hold time expires.
    Hold,
}

/// Removals that are held until the entry reappears or the hold time expires.
#[derive(Debug)]
pub struct Removals {
    hold_time: Duration,
    /// Whether the store was unavailable since the last response.
    was_unavailable: bool,
    /// Whether the current response is the first one after an outage.
    is_after_outage: bool,
    /// Deadline of each held removal.
    held: HashMap<EndpointId, Instant>,
}

impl Removals {
    /// Creates an empty set whose removals are held for `hold_time`, counted from the response that
    /// shows them.
    pub fn new(hold_time: Duration) -> Self {
        Self {
            hold_time,
            was_unavailable: false,
            is_after_outage: false,
            held: HashMap::new(),
        }
    }

    /// Records that the store was unavailable.
    pub fn store_unavailable(&mut self) {
        self.was_unavailable = true;
    }

    /// Starts a response of the store; removals until the next call belong to it.
    pub fn start_response(&mut self) {
        self.is_after_outage = std::mem::take(&mut self.was_unavailable);
    }

    /// Decides on an entry that is missing from the current response, and holds it if need be.
    pub fn remove(&mut self, now: Instant, id: &EndpointId) -> Decision {
        if !self.is_after_outage {
            self.held.remove(id);
            return Decision::Apply;
        }
        self.held.entry(id.clone()).or_insert(now + self.hold_time);
        Decision::Hold
    }

    /// Cancels a held removal, since the entry is in the list.
    pub fn restore(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Removes and returns the entries whose hold time has expired.
    pub fn take_expired(&mut self, now: Instant) -> Vec<EndpointId> {
        let expired = self.held.iter().filter(|(_, deadline)| **deadline <= now);
        let expired: Vec<EndpointId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.held.remove(id);
        }
        expired
    }

    /// Returns when the next hold time expires; None if no removal is held.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.values().min().copied()
    }
}
