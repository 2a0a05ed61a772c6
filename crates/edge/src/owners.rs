//! Whether this host may own endpoints, see [`agate_limit::owner`].

use std::time::Duration;

use tokio::time::Instant;

use crate::edge::Edge;

/// Age of the evidence that this host reaches the store, itself or by others, beyond which its table of
/// hosts may be outdated: two heartbeats and a call.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(2_600);
/// Time from the start of a process until it owns endpoints: hosts that start together have read each
/// other's rows by then, with two heartbeats and two reads of the table.
const SETTLE_TIME: Duration = Duration::from_secs(5);

impl Edge {
    /// Returns whether this host may own endpoints: other hosts have had time to learn of it, and it has
    /// read its own row back, so that row was in the table with those of the others.
    pub fn may_own(&self, now: Instant) -> bool {
        let hosts = self.hosts.borrow();
        let rows = hosts.live(now);
        self.uptime() >= SETTLE_TIME && rows.iter().any(|row| row.incarnation == self.incarnation)
    }

    /// Returns whether the table of hosts is known to be up to date.
    pub fn has_current_hosts(&self) -> bool {
        let age = self.evidence_age();
        age.is_some_and(|age| age <= MAX_EVIDENCE_AGE)
    }
}
