//! Leave for single actions of the lease holder.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use agate_lease::{Entry, Holder, Lost, Permit, Row, row};
use agate_model::id::Epoch;
use agate_store::Error;
use agate_store::interface::Tables;
use agate_wire::lease;
use agate_wire::table::{Conflict, Transaction};
use tokio::time::Instant;

use crate::duty::store;

/// Attempts of a transaction against a lease that is being renewed.
const ATTEMPTS: usize = 3;

/// Why an action was not recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// This process does not hold the lease, or its term has ended.
    #[error("the lease is not held")]
    NotHeld,
    /// Another row has changed.
    #[error("row {}/{} has changed", .0.check.table, .0.check.key)]
    Conflict(Box<Conflict>),
    /// The store failed; the action is recorded perhaps, and may not be sent.
    #[error(transparent)]
    Store(Error),
}

/// The lease, if this process holds it.
#[derive(Debug, Default)]
pub struct Seat {
    holder: RefCell<Option<Holder>>,
    busy_until: Cell<Option<Instant>>,
}

impl Seat {
    /// Takes the seat.
    pub fn take(&self, holder: Holder) {
        *self.holder.borrow_mut() = Some(holder);
    }

    /// Leaves the seat; the holder that was in it.
    pub fn leave(&self) -> Option<Holder> {
        self.holder.borrow_mut().take()
    }

    /// Whether this process is the holder, its term over or not.
    pub fn is_taken(&self) -> bool {
        self.holder.borrow().is_some()
    }

    /// Epoch, while the term lasts.
    pub fn epoch(&self) -> Option<Epoch> {
        let holder = self.holder.borrow();
        let active = holder.as_ref().filter(|it| it.is_active(now()));
        active.map(Holder::epoch)
    }

    /// Changes the holder.
    pub fn with<T>(&self, change: impl FnOnce(&mut Holder) -> T) -> Option<T> {
        self.holder.borrow_mut().as_mut().map(change)
    }

    /// Takes note of the row as read; leaves the seat if it is another's.
    pub fn settle(&self, seen: Option<&Entry>) -> Result<(), Lost> {
        let outcome = self.with(|it| it.settle(seen));
        if let Some(Err(lost)) = outcome {
            self.leave();
            tracing::warn!(event = "lease_lost", epoch = lost.epoch);
            return Err(lost);
        }
        Ok(())
    }

    /// Something sent with a permit may be on its way until `until`.
    pub fn keep_busy(&self, duration: Duration) {
        let until = Instant::now() + duration;
        if self.busy_until.get().is_none_or(|it| it < until) {
            self.busy_until.set(Some(until));
        }
    }

    /// Whether something sent with a permit may still be on its way.
    pub fn is_busy(&self) -> bool {
        self.busy_until.get().is_some_and(|it| Instant::now() < it)
    }

    /// Commits a transaction that also checks that this process holds the lease.
    /// The permit covers what the transaction records.
    pub async fn commit(
        &self,
        tables: &dyn Tables,
        transaction: &Transaction,
    ) -> Result<Recorded, Failure> {
        for _ in 0..ATTEMPTS {
            let ticket = self.with(|it| it.ticket(now())).flatten();
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
                Err(Error::Conflict(conflict)) => self.weigh(conflict)?,
                Err(err) => return Err(Failure::Store(err)),
            }
        }
        Err(Failure::Store(Error::Unreached(
            "the lease's row keeps changing".to_owned(),
        )))
    }

    /// A conflict on the lease's row may be a renewal of this process.
    fn weigh(&self, conflict: Box<Conflict>) -> Result<(), Failure> {
        if conflict.check.table != row::TABLE {
            return Err(Failure::Conflict(conflict));
        }
        let seen = conflict.found.as_ref().map(seen).transpose();
        let seen = seen.map_err(Failure::Store)?;
        self.settle(seen.as_ref()).map_err(|_| Failure::NotHeld)
    }
}

/// A committed transaction of the lease holder.
#[derive(Clone, Copy, Debug)]
pub struct Recorded {
    /// Leave to send what was recorded.
    pub permit: Permit,
    /// Revision of the written rows.
    pub revision: u64,
}

/// The lease's row as read.
pub fn seen(row: &agate_wire::table::Row) -> Result<Entry, Error> {
    let found: store::Found<lease::Row> = store::parse(row)?;
    Ok(Entry {
        row: Row::from(found.value),
        revision: found.revision,
    })
}

/// Monotonic time of the runtime's clock.
pub fn now() -> std::time::Instant {
    Instant::now().into_std()
}
