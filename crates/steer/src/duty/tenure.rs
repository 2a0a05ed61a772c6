//! Permission for single actions of the lease holder.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use agate_lease::{Entry, Holder, Lost, Permit, Row, row};
use agate_model::id::{Epoch, Revision};
use agate_store::Error;
use agate_store::interface::Tables;
use agate_wire::lease;
use agate_wire::table::{Conflict, Transaction};
use tokio::time::Instant;

use crate::duty::store;

/// Attempts to commit a transaction; renewals of the lease cause conflicts in between.
const ATTEMPTS: usize = 3;

/// Reason why an action was not recorded for certain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// This process is not the lease holder, or its term has ended.
    #[error("this process does not hold the lease")]
    NotHeld,
    /// A row other than the lease's differs from what the transaction expected.
    #[error("row {}/{} changed before the commit", .0.check.table, .0.check.key)]
    Conflict(Box<Conflict>),
    /// The store failed. The action may or may not be recorded, and must not be sent.
    #[error(transparent)]
    Store(Error),
}

/// Time during which this process is the lease holder, and what it may do in it.
#[derive(Debug, Default)]
pub struct Tenure {
    /// Holder state; `None` while this process is not the lease holder.
    holder: RefCell<Option<Holder>>,
    /// Latest time at which something sent with a permit may be in flight; `None` before the first.
    in_flight_until: Cell<Option<Instant>>,
}

impl Tenure {
    /// Starts a tenure with the lease just acquired.
    pub fn start(&self, holder: Holder) {
        *self.holder.borrow_mut() = Some(holder);
    }

    /// Ends the tenure and returns its holder, `None` if there was none.
    pub fn end(&self) -> Option<Holder> {
        self.holder.borrow_mut().take()
    }

    /// Returns whether this process is the holder, also if its term has ended unrenewed.
    pub fn has_holder(&self) -> bool {
        self.holder.borrow().is_some()
    }

    /// Returns the fencing epoch; `None` without a holder, or while its term has ended and is not
    /// renewed.
    pub fn epoch(&self) -> Option<Epoch> {
        let holder = self.holder.borrow();
        let active = holder.as_ref().filter(|holder| holder.is_active(now()));
        active.map(Holder::epoch)
    }

    /// Applies `change` to the holder; `None` if this process is not the holder.
    pub fn with<T>(&self, change: impl FnOnce(&mut Holder) -> T) -> Option<T> {
        self.holder.borrow_mut().as_mut().map(change)
    }

    /// Records that the last renewal was committed at `revision`. Ends the tenure if another process may have held the
    /// lease meanwhile.
    pub fn renewed(&self, revision: Revision) {
        if let Some(Err(lost)) = self.with(|holder| holder.renewed(revision, now())) {
            self.end();
            tracing::warn!(event = "lease_lost", epoch = lost.epoch);
        }
    }

    /// Resolves the last renewal from the lease's row (`None` if absent). Ends the tenure if
    /// another process holds the lease.
    pub fn settle(&self, found: Option<&Entry>) -> Result<(), Lost> {
        let outcome = self.with(|holder| holder.settle(found, now()));
        if let Some(Err(lost)) = outcome {
            self.end();
            tracing::warn!(event = "lease_lost", epoch = lost.epoch);
            return Err(lost);
        }
        Ok(())
    }

    /// Records that something sent with a permit may be in flight for the next `duration`.
    pub fn mark_in_flight(&self, duration: Duration) {
        let until = Instant::now() + duration;
        if self.in_flight_until.get().is_none_or(|known| known < until) {
            self.in_flight_until.set(Some(until));
        }
    }

    /// Returns whether something sent with a permit may still be in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight_until
            .get()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Commits a transaction that also checks that this process holds the lease, and returns a
    /// permit to send what the transaction records.
    pub async fn commit(
        &self,
        tables: &dyn Tables,
        transaction: &Transaction,
    ) -> Result<Recorded, Failure> {
        for _ in 0..ATTEMPTS {
            let ticket = self.with(|holder| holder.ticket(now())).flatten();
            let ticket = ticket.ok_or(Failure::NotHeld)?;
            let mut checked = transaction.clone();
            let lease = store::check(row::TABLE, row::KEY, Some(ticket.revision()));
            checked.checks.insert(0, lease);
            match tables.commit(&checked).await {
                Ok(commit) => {
                    return Ok(Recorded {
                        permit: ticket.recorded(),
                        revision: commit.revision,
                    });
                }
                Err(Error::Conflict(conflict)) => self.resolve(conflict)?,
                Err(err) => return Err(Failure::Store(err)),
            }
        }
        Err(Failure::Store(Error::Unreached(
            "the lease's row changed during every attempt to commit".to_owned(),
        )))
    }

    /// Returns `Ok` if the transaction may be retried: the conflict is on the lease's row, and a
    /// renewal by this process has caused it.
    fn resolve(&self, conflict: Box<Conflict>) -> Result<(), Failure> {
        if conflict.check.table != row::TABLE {
            return Err(Failure::Conflict(conflict));
        }
        let found = conflict.found.as_ref().map(entry).transpose();
        let found = found.map_err(Failure::Store)?;
        self.settle(found.as_ref()).map_err(|_| Failure::NotHeld)
    }
}

/// Result of a transaction that the lease holder has committed.
#[derive(Clone, Copy, Debug)]
pub struct Recorded {
    /// Permission to send what the transaction records.
    pub permit: Permit,
    /// Revision that the store gave to the written rows.
    pub revision: u64,
}

/// Parses the lease's row; [`Error::Unknown`] if it is malformed.
pub fn entry(row: &agate_wire::table::Row) -> Result<Entry, Error> {
    let found: store::Found<lease::Row> = store::parse(row)?;
    Ok(Entry {
        row: Row::from(found.value),
        revision: found.revision,
    })
}

/// Returns the monotonic time of the Tokio clock, which tests can pause.
pub fn now() -> std::time::Instant {
    Instant::now().into_std()
}
