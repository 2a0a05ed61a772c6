//! Keeps the ledger while this host holds the lease.

use std::rc::Rc;
use std::time::Duration;

use agate_store::interface::{Change, Changes};
use tokio::time::sleep;

use super::{Sink, follower};
use crate::edge::Edge;
use crate::ledger;

/// Interval between two reads of the ledger by the lease holder.
const LEDGER_INTERVAL: Duration = Duration::from_millis(900);
/// Interval at which a host without the lease checks whether it holds it.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the ledger while this host holds the lease, until the task is dropped. The ledger is
/// cleared when the lease is lost.
pub async fn ledger(edge: Rc<Edge>) {
    let mut active = None;
    loop {
        if edge.lease.permit().is_none() {
            if active.take().is_some() {
                edge.ledger.take();
            }
            sleep(LEASE_CHECK_INTERVAL).await;
            continue;
        }
        let follower = active.get_or_insert_with(|| {
            let wait = Duration::ZERO;
            follower(
                edge.clone(),
                ledger::TABLE,
                wait,
                LEDGER_INTERVAL,
                None,
                LedgerSink,
            )
        });
        follower.poll().await;
    }
}

/// Applies changes to the ledger.
struct LedgerSink;

impl LedgerSink {
    fn apply(edge: &Edge, change: &Change) {
        let mut ledger = edge.ledger.borrow_mut();
        let Some(value) = &change.value else {
            ledger.remove(&change.key);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(row) => ledger.insert(row),
            Err(err) => tracing::warn!(event = "ledger_malformed", row = change.key, error = %err),
        }
    }
}

impl Sink for LedgerSink {
    fn snapshot(&mut self, edge: &Edge, changes: Changes, _is_behind: bool) {
        for change in &changes.rows {
            Self::apply(edge, change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        Self::apply(edge, &change);
    }

    fn confirmed(&mut self, edge: &Edge, _at: Duration, clock: u64) {
        edge.ledger.borrow_mut().observe(clock);
    }
}
