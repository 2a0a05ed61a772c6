//! Keeps the list of endpoints.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::EndpointId;
use agate_store::interface::{Change, Changes};
use tokio::time::Instant;

use super::{Sink, follower};
use crate::edge::Edge;
use crate::removal::{Decision, Removals};

/// Duration of a long poll for a change of the list of endpoints.
const ENDPOINT_WAIT: Duration = Duration::from_millis(600);
/// Maximum age of a list of endpoints that is accepted from another host. It is longer than the
/// long poll and the interval of the reader; together with the interval of this host it is below
/// the time after which a leaving endpoint must get no new work.
const MAX_ENDPOINT_AGE: Duration = Duration::from_millis(1300);
/// Minimum interval between two reads of the list of endpoints.
const ENDPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// Subtracted from the time after which an endpoint that has left must get no new work, for the
/// transit of a request that is just being sent.
const HOLD_MARGIN: Duration = Duration::from_millis(300);

/// Follows the list of endpoints until the task is dropped.
pub async fn endpoints(edge: Rc<Edge>) {
    let table = edge.remote.decoder.endpoint_table();
    let hold = edge
        .settings
        .borrow()
        .bounds
        .drain
        .saturating_sub(HOLD_MARGIN);
    let sink = EndpointSink {
        lapses: Removals::new(hold),
    };
    follower(
        edge,
        table,
        ENDPOINT_WAIT,
        ENDPOINT_INTERVAL,
        Some((table, MAX_ENDPOINT_AGE)),
        sink,
    )
    .run()
    .await;
}

/// Applies changes to the list of endpoints.
struct EndpointSink {
    /// Removed rows whose endpoints are still kept.
    lapses: Removals,
}

impl EndpointSink {
    fn apply(&mut self, edge: &Edge, change: &Change) {
        let Some(value) = &change.value else {
            return self.remove(edge, &change.key);
        };
        match edge.remote.decoder.endpoint(&change.key, value) {
            Ok(endpoint) => {
                self.lapses.restore(&change.key);
                let change = edge.roster.borrow_mut().insert(endpoint);
                if let Some(change) = change {
                    edge.apply(&change);
                }
            }
            Err(fault) => {
                tracing::warn!(event = "endpoint_malformed", row = change.key, fault = %fault);
                drop_endpoint(edge, &change.key);
            }
        }
    }

    /// Removes an endpoint, or holds it for a while if its row may have been lost by an outage.
    fn remove(&mut self, edge: &Edge, id: &EndpointId) {
        match self.lapses.remove(Instant::now(), id) {
            Decision::Apply => drop_endpoint(edge, id),
            Decision::Hold => tracing::info!(event = "endpoint_lapsed", endpoint = id),
        }
    }
}

/// Removes an endpoint from the list at once.
fn drop_endpoint(edge: &Edge, id: &str) {
    let change = edge.roster.borrow_mut().remove(id);
    if let Some(change) = change {
        edge.apply(&change);
    }
}

impl Sink for EndpointSink {
    fn start_batch(&mut self) {
        self.lapses.start_response();
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool) {
        let listed: HashSet<&String> = changes.rows.iter().map(|change| &change.key).collect();
        let known: Vec<String> = edge.roster.borrow().ids().cloned().collect();
        for id in known.iter().filter(|id| !is_behind && !listed.contains(id)) {
            self.remove(edge, id);
        }
        for change in &changes.rows {
            self.apply(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        self.apply(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, _clock: u64) {
        if !edge.has_roster.replace(true) {
            tracing::info!(
                event = "endpoints_known",
                count = edge.roster.borrow().ids().count()
            );
        }
    }

    /// A leaving endpoint must get no new work after a while, whose larger part the age of changes
    /// from another host may take.
    fn max_delay(&self, edge: &Edge) -> Option<Duration> {
        let drain = edge.settings.borrow().bounds.drain;
        Some(drain.saturating_sub(MAX_ENDPOINT_AGE + ENDPOINT_INTERVAL + HOLD_MARGIN))
    }

    fn lost(&mut self) {
        self.lapses.store_unavailable();
    }

    fn due(&mut self, edge: &Edge) -> Option<Instant> {
        for id in self.lapses.take_expired(Instant::now()) {
            drop_endpoint(edge, &id);
        }
        self.lapses.next_expiry()
    }
}
