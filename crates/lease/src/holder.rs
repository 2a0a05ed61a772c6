//! The process that holds the lease.

use std::time::Instant;

use agate_model::id::Epoch;

use crate::permit::Ticket;
use crate::row::{Row, Seen};
use crate::terms::Terms;

/// Another process has acquired the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease was taken over with epoch {epoch}")]
pub struct Lost {
    /// Epoch found; 0 if the row is absent.
    pub epoch: Epoch,
}

/// A renewal, to be committed with a check that the row has the revision `check`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Expected revision.
    pub check: u64,
    /// Row to write.
    pub row: Row,
}

/// A renewal whose outcome is not yet known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Pending {
    beat: u64,
    began: Instant,
}

/// The process that holds the lease, or held it until its term ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    terms: Terms,
    row: Row,
    revision: u64,
    until: Instant,
    pending: Option<Pending>,
}

impl Holder {
    pub(crate) fn new(terms: Terms, row: Row, revision: u64, began: Instant) -> Self {
        Self {
            terms,
            row,
            revision,
            until: began + (terms.term - terms.margin),
            pending: None,
        }
    }

    /// Fencing number.
    pub fn epoch(&self) -> Epoch {
        self.row.epoch
    }

    /// Revision of the row, as far as known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the holder stops unless it renews.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Whether the holder may act.
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Begins a renewal; `now` is before the request is sent. A holder whose
    /// term has ended may renew as long as nobody has taken over.
    pub fn renew(&mut self, now: Instant) -> Renewal {
        self.row.beat += 1;
        self.pending = Some(Pending {
            beat: self.row.beat,
            began: now,
        });
        Renewal {
            check: self.revision,
            row: self.row.clone(),
        }
    }

    /// The last renewal was committed with this revision.
    pub fn renewed(&mut self, revision: u64) {
        self.revision = revision;
        if let Some(pending) = self.pending.take() {
            self.until = pending.began + (self.terms.term - self.terms.margin);
        }
    }

    /// Takes note of the row as read after a lost answer or a conflict. An earlier
    /// renewal than the last does not extend the term.
    pub fn settle(&mut self, found: Option<&Seen>) -> Result<(), Lost> {
        let Some(seen) = found else {
            return Err(Lost { epoch: 0 });
        };
        if seen.row.nonce != self.row.nonce || seen.row.released {
            return Err(Lost {
                epoch: seen.row.epoch,
            });
        }
        match self.pending {
            Some(pending) if pending.beat == seen.row.beat => self.renewed(seen.revision),
            _ => self.revision = seen.revision,
        }
        Ok(())
    }

    /// The write that gives the lease up, for a holder with nothing in flight.
    /// The holder may not act any more, whatever becomes of the write.
    pub fn release(mut self) -> Renewal {
        self.row.beat += 1;
        self.row.released = true;
        Renewal {
            check: self.revision,
            row: self.row,
        }
    }

    /// Ticket for recording an order; `None` once the term has ended.
    pub fn ticket(&self, now: Instant) -> Option<Ticket> {
        self.is_active(now).then_some(Ticket {
            epoch: self.row.epoch,
            revision: self.revision,
            until: self.until,
        })
    }
}
