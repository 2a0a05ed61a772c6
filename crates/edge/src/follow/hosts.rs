//! Keeps the rows of hosts, and the lease, which is a row of the same table.

use std::rc::Rc;
use std::time::Duration;

use agate_model::id::Epoch;
use agate_model::revision;
use agate_store::interface::{Change, Changes};
use tokio::time::Instant;

use super::{Outcome, Sink, follower};
use crate::edge::Edge;
use crate::hosts::{self, Row};
use crate::relay::Relayed;
use crate::share;

/// Interval between two reads of the host rows. They change all the time, so a long poll would
/// return at once.
const HOST_INTERVAL: Duration = Duration::from_millis(1200);
/// Maximum age of host rows that are accepted from another host.
const MAX_HOST_AGE: Duration = Duration::from_millis(1600);

/// Time after a return of the store within which live hosts have written their rows again, and others have lapsed.
const MAX_UNSETTLED: Duration = Duration::from_millis(4_500);

/// Follows the rows of hosts until the task is dropped.
pub async fn hosts(edge: Rc<Edge>) {
    let relay = Some((hosts::RELAY_TABLE, MAX_HOST_AGE));
    follower(
        edge,
        hosts::TABLE,
        Duration::ZERO,
        HOST_INTERVAL,
        relay,
        HostSink::default(),
    )
    .run()
    .await;
}

/// Applies changes to the rows of hosts and to the lease, which is a row of the same table.
#[derive(Default)]
struct HostSink {
    /// Epoch of the last lease of this host; `None` before the first.
    epoch: Option<Epoch>,
}

impl HostSink {
    /// Takes over what another host says of prompts and limits, if that is new.
    fn learn(edge: &Edge, row: &Row) {
        edge.hear_row(row);
        let is_known = edge.hosts.borrow().has_evidence(row);
        if !is_known && row.incarnation != edge.incarnation {
            edge.learn_evidence(vec![row.evidence.clone()]);
        }
        let is_known = edge.hosts.borrow().has_limits(row);
        if !is_known && row.incarnation != edge.incarnation {
            edge.learn_limits(&row.limits, &row.host);
        }
    }

    /// Takes over the load of the endpoints from another reader.
    fn learn_endpoints(edge: &Edge, row: &Row) {
        if row.endpoints.is_empty() || row.incarnation == edge.incarnation {
            return;
        }
        if let Some(sums) = share::decode(&row.endpoints, &row.host) {
            let mut shared = edge.shared.borrow_mut();
            shared.record_zone(Instant::now(), &row.key(), sums);
        }
    }

    fn apply(edge: &Edge, change: &Change) {
        if change.key == hosts::LEASE_KEY {
            edge.lease.observe_row(change);
            return;
        }
        let Some(value) = &change.value else {
            edge.hosts.borrow_mut().remove(&change.key);
            return;
        };
        match serde_json::from_slice::<Row>(value) {
            Ok(row) => {
                Self::learn(edge, &row);
                Self::learn_endpoints(edge, &row);
                edge.hosts.borrow_mut().insert(row);
            }
            Err(err) => tracing::warn!(event = "host_malformed", row = change.key, error = %err),
        }
    }
}

impl Sink for HostSink {
    /// The holder of the lease removes the rows of ended incarnations, which are not handed on. A host that lacks rows of
    /// a new era after all others should have written them reads them by itself.
    fn needs_snapshot(&mut self, edge: &Edge) -> bool {
        if !edge.is_settled() && edge.eras.since().elapsed() > MAX_UNSETTLED {
            return true;
        }
        let Some(permit) = edge.lease.permit() else {
            return false;
        };
        self.epoch.replace(permit.epoch()) != Some(permit.epoch())
    }

    /// Publishes the live hosts. Rows change with each heartbeat, but other hosts need them only
    /// when something else than their time has changed.
    fn publish(&mut self, edge: &Edge, changes: Changes, is_snapshot: bool) -> Changes {
        let known = edge.mirrors.rows(hosts::RELAY_TABLE);
        let (known, revision) = known.filter(|_| !is_snapshot).unwrap_or_default();
        let hosts = edge.hosts.borrow();
        let rows = match is_snapshot || changes.revision > revision {
            true => hosts.differences(Instant::now(), &known),
            // Other hosts have read everything up to this revision, so they would miss the rows.
            false => Vec::new(),
        };
        let rows = rows.into_iter().map(|(key, value)| Change {
            key,
            value,
            revision: changes.revision,
        });
        Changes {
            rows: rows.collect(),
            ..changes
        }
    }

    fn relayed(&mut self, edge: &Edge, relayed: Relayed) -> Outcome {
        if relayed.is_snapshot {
            edge.hosts.borrow_mut().clear();
        }
        let era = revision::era(relayed.changes.revision);
        edge.hosts.borrow_mut().enter(era);
        for change in &relayed.changes.rows {
            match &change.value {
                None => edge.hosts.borrow_mut().remove(&change.key),
                Some(value) => match serde_json::from_slice::<Row>(value) {
                    Ok(row) => {
                        Self::learn(edge, &row);
                        edge.hosts.borrow_mut().replace(row);
                    }
                    Err(err) => {
                        tracing::warn!(event = "host_malformed", row = change.key, error = %err);
                    }
                },
            }
        }
        let now = Instant::now();
        let mut hosts = edge.hosts.borrow_mut();
        hosts.renew(now, relayed.changes.clock);
        match relayed
            .digest
            .is_none_or(|digest| digest == hosts.digest(now))
        {
            true => Outcome::Complete,
            false => Outcome::Diverged,
        }
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, _is_behind: bool) {
        for change in &changes.rows {
            Self::apply(edge, change);
        }
        let era = revision::era(changes.revision);
        edge.hosts.borrow_mut().enter(era);
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        Self::apply(edge, &change);
    }

    fn start_era(&mut self, edge: &Edge) {
        edge.lease.forget_row();
        edge.hosts.borrow_mut().start_era();
    }

    fn is_urgent(&self, edge: &Edge) -> bool {
        !edge.is_settled() || edge.takes_urgent_read()
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, clock: u64) {
        edge.hosts.borrow_mut().observe(Instant::now(), clock);
        edge.settle();
        edge.lease.mark_read();
    }
}
