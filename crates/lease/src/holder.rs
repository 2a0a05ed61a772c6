//! Renewal and release of the lease by the process that holds it.

use std::time::Instant;

use agate_model::id::{Epoch, Revision};
use agate_model::revision;

use crate::permit::Ticket;
use crate::row::{Entry, Row};
use crate::terms::Terms;

/// The row no longer shows this tenure: another process has acquired the lease, the lease was
/// released, or the row is absent. Or the store has returned from an older copy, and another process may have
/// held the lease in what it has lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease row is no longer of this tenure: epoch {epoch} (0: no row)")]
pub struct Lost {
    /// Epoch of the row that was found; 0 if the row is absent.
    pub epoch: Epoch,
}

/// A write that extends or releases the lease, to be committed with a check that the row has the
/// revision `check`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Revision that the row must have.
    pub check: Revision,
    /// Row to write; only its count of renewals and `released` differ from the last one.
    pub row: Row,
}

/// The last renewal that was started and whose outcome is not yet known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Pending {
    renewals: u64,
    started: Instant,
}

/// A tenure as its own process knows it. It stays usable for renewals after its term has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    terms: Terms,
    row: Row,
    revision: Revision,
    until: Instant,
    pending: Option<Pending>,
}

impl Holder {
    pub(crate) fn new(terms: Terms, row: Row, revision: Revision, started: Instant) -> Self {
        Self {
            terms,
            row,
            revision,
            until: started + (terms.term - terms.margin),
            pending: None,
        }
    }

    /// Returns the fencing epoch of this tenure.
    pub fn epoch(&self) -> Epoch {
        self.row.epoch
    }

    /// Returns the newest revision of the row that this process knows of.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the time at which the holder stops unless it renews: `margin` before its term ends.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Returns whether the holder may act at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Starts a renewal; `now` is taken before the request is sent.
    ///
    /// A holder whose term has ended may renew as long as no process has taken over.
    pub fn renew(&mut self, now: Instant) -> Renewal {
        self.row.renewals += 1;
        self.pending = Some(Pending {
            renewals: self.row.renewals,
            started: now,
        });
        Renewal {
            check: self.revision,
            row: self.row.clone(),
        }
    }

    /// Records that the last renewal was committed at `revision`, which extends the term. `now` is taken after the
    /// response arrived.
    pub fn renewed(&mut self, revision: Revision, now: Instant) -> Result<(), Lost> {
        self.move_to(revision, now)?;
        if let Some(pending) = self.pending.take() {
            self.until = pending.started + (self.terms.term - self.terms.margin);
        }
        Ok(())
    }

    /// Records the revision of the row. If the store has returned from an older copy, only a holder whose term goes on
    /// can know that no process had taken over in what is lost.
    fn move_to(&mut self, revision: Revision, now: Instant) -> Result<(), Lost> {
        if !revision::is_same_era(revision, self.revision) && !self.is_active(now) {
            return Err(Lost {
                epoch: self.epoch(),
            });
        }
        self.revision = revision;
        Ok(())
    }

    /// Resolves the last renewal from the row (`None` if absent) read after a lost response or a
    /// conflict, before `now`. An earlier renewal than the last does not extend the term.
    pub fn settle(&mut self, found: Option<&Entry>, now: Instant) -> Result<(), Lost> {
        let Some(entry) = found else {
            return Err(Lost { epoch: 0 });
        };
        if entry.row.nonce != self.row.nonce || entry.row.released {
            return Err(Lost {
                epoch: entry.row.epoch,
            });
        }
        match self.pending {
            Some(pending) if pending.renewals == entry.row.renewals => {
                self.renewed(entry.revision, now)
            }
            _ => self.move_to(entry.revision, now),
        }
    }

    /// Returns the write that releases the lease, for a holder with nothing in flight.
    ///
    /// It consumes the holder, which may not act any more whether or not the write takes effect.
    pub fn release(mut self) -> Renewal {
        self.row.renewals += 1;
        self.row.released = true;
        Renewal {
            check: self.revision,
            row: self.row,
        }
    }

    /// Returns a ticket for recording one order; `None` once the holder has stopped.
    pub fn ticket(&self, now: Instant) -> Option<Ticket> {
        self.is_active(now).then_some(Ticket {
            epoch: self.row.epoch,
            revision: self.revision,
            until: self.until,
        })
    }
}
