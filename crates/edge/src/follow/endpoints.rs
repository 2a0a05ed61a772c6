//! Keeps the list of endpoints.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::EndpointId;
use agate_store::interface::{Change, Changes};
use tokio::time::Instant;

use super::{Sink, follower};
use crate::edge::Edge;
use crate::metrics::count;
use crate::recall::Recall;
use crate::removal::{Decision, Removals};
use crate::roster::Endpoint;

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
    let (drain, grace) = {
        let bounds = &edge.settings.borrow().bounds;
        (bounds.drain, bounds.grace)
    };
    let sink = EndpointSink {
        lapses: Removals::new(drain.saturating_sub(HOLD_MARGIN)),
        // An endpoint that leaves serves on while it drains, and has ended after its grace.
        recall: Recall::new(drain + grace),
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
    /// Statements that the store may have lost.
    recall: Recall,
}

impl EndpointSink {
    fn apply(&mut self, edge: &Edge, change: &Change) {
        let Some(value) = &change.value else {
            return self.remove(edge, &change.key);
        };
        match edge.remote.decoder.endpoint(&change.key, value) {
            Ok(endpoint) => {
                self.lapses.restore(&change.key);
                let known = edge.roster.borrow().get(&change.key).cloned();
                if self
                    .recall
                    .admit(Instant::now(), known.as_deref(), &endpoint)
                {
                    list_endpoint(edge, endpoint);
                } else if known.is_none_or(|known| !known.is_same_content(&endpoint)) {
                    report_outdated(edge, &endpoint);
                }
            }
            Err(fault) => {
                tracing::warn!(event = "endpoint_malformed", row = change.key, fault = %fault);
                self.drop_endpoint(edge, &change.key);
            }
        }
    }

    /// Removes an endpoint, or holds it for a while if its row may have been lost by an outage.
    fn remove(&mut self, edge: &Edge, id: &EndpointId) {
        self.recall.forget_outdated(id);
        match self.lapses.remove(Instant::now(), id) {
            Decision::Apply => self.drop_endpoint(edge, id),
            Decision::Hold => tracing::info!(event = "endpoint_lapsed", endpoint = id),
        }
    }

    /// Removes an endpoint from the list at once.
    fn drop_endpoint(&mut self, edge: &Edge, id: &str) {
        let known = edge.roster.borrow().get(id).cloned();
        if let Some(known) = known {
            self.recall.record_removed((*known).clone());
        }
        let change = edge.roster.borrow_mut().remove(id);
        if let Some(change) = change {
            edge.apply(&change);
        }
    }
}

/// Adds an endpoint to the list, or replaces it.
fn list_endpoint(edge: &Edge, endpoint: Endpoint) {
    let change = edge.roster.borrow_mut().insert(endpoint);
    if let Some(change) = change {
        edge.apply(&change);
    }
}

/// Counts and logs a row that does not count yet.
fn report_outdated(edge: &Edge, endpoint: &Endpoint) {
    count(&edge.metrics.changes, "endpoint_outdated");
    tracing::info!(
        event = "endpoint_statement_outdated",
        endpoint = endpoint.id,
        number = endpoint.number,
        draining = endpoint.draining,
        reason = "a newer statement was known before the store returned",
    );
}

impl Sink for EndpointSink {
    fn start_batch(&mut self) {
        self.lapses.start_response();
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, is_behind: bool) {
        let listed: HashSet<&String> = changes.rows.iter().map(|change| &change.key).collect();
        let known: Vec<String> = edge.roster.borrow().ids().cloned().collect();
        if !is_behind {
            self.recall.retain_listed(&listed);
        }
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

    /// Rows that the copy lacks are held as after an outage.
    fn start_era(&mut self, _edge: &Edge) {
        self.lapses.store_unavailable();
        self.recall.start_era(Instant::now());
    }

    fn lost(&mut self) {
        self.lapses.store_unavailable();
    }

    fn due(&mut self, edge: &Edge) -> Option<Instant> {
        let now = Instant::now();
        for id in self.lapses.take_expired(now) {
            self.drop_endpoint(edge, &id);
        }
        for endpoint in self.recall.take_expired(now) {
            tracing::info!(
                event = "endpoint_statement_restored",
                endpoint = endpoint.id,
                number = endpoint.number,
                draining = endpoint.draining,
                reason = "its row still stands",
            );
            list_endpoint(edge, endpoint);
        }
        let expiries = [self.lapses.next_expiry(), self.recall.next_expiry()];
        expiries.into_iter().flatten().min()
    }
}
