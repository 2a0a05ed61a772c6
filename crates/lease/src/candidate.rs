//! Acquisition of the lease by a process that does not hold it.

use std::time::{Duration, Instant};

use agate_model::id::{Epoch, Era, HostId, Incarnation, Revision};
use agate_model::revision;

use crate::holder::{Holder, Lost};
use crate::row::{Entry, Nonce, Row};
use crate::terms::Terms;

/// Says what a candidate may do after it has read the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The lease may still be held: read the row again, and acquire after this time at the
    /// earliest.
    Wait(Duration),
    /// The lease is free, or its holder has stopped: an attempt to acquire it may start.
    Acquire,
}

/// Outcome of an acquisition whose commit got no response or conflicted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The row is the one that the attempt wrote, so the lease is acquired.
    Held(Box<Holder>),
    /// The row is as before. The attempt may still take effect, so only the same
    /// attempt may be retried.
    Unchanged,
    /// Another process has written the row, or the store has returned from an older copy, so the attempt can
    /// no longer take effect, or its epoch may not be its own.
    Lost,
}

/// What this process read of the row, and when it did so first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Observation {
    /// Revision of the row; `None` if it was absent.
    revision: Option<Revision>,
    era: Era,
    since: Instant,
}

/// Decides when the lease may be acquired. It times how long the row has been unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    terms: Terms,
    host: HostId,
    incarnation: Incarnation,
    observed: Option<Observation>,
    /// Newest known revision of the store, of any row; 0 before the first.
    newest: Revision,
}

/// An attempt to acquire the lease: a write to be committed with a check that the row has the
/// revision `check`, or is absent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Revision that the row must have; `None` if it must be absent.
    pub check: Option<Revision>,
    /// Row to write: the next epoch, with this process as the holder.
    pub row: Row,
    terms: Terms,
    started: Instant,
    /// Era of the store for which the epoch was chosen.
    era: Era,
}

impl Candidate {
    /// Creates a candidate that has not read the row yet.
    pub fn new(terms: Terms, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            terms,
            host,
            incarnation,
            observed: None,
            newest: 0,
        }
    }

    /// Records the newest known revision of the store, of any row.
    pub fn observe_revision(&mut self, newest: Revision) {
        self.newest = self.newest.max(newest);
    }

    /// Records the row as read (`None` if absent) and decides whether it may be acquired.
    ///
    /// `now` is taken after the response arrived, so the holder's term started earlier. Once the store has returned from
    /// an older copy, a row that is absent or released may be older than a tenure that goes on.
    pub fn observe(&mut self, found: Option<&Entry>, now: Instant) -> Verdict {
        let revision = found.map(|entry| entry.revision);
        self.observe_revision(revision.unwrap_or(0));
        let era = revision::era(self.newest);
        let since = match self.observed {
            Some(observed) if observed.revision == revision && observed.era == era => {
                observed.since
            }
            _ => now,
        };
        self.observed = Some(Observation {
            revision,
            era,
            since,
        });
        let is_free = found.is_none_or(|entry| entry.row.released);
        if is_free && era == 0 {
            return Verdict::Acquire;
        }
        let wait = self.terms.takeover_wait();
        let unchanged = now.saturating_duration_since(since);
        if unchanged >= wait {
            Verdict::Acquire
        } else {
            Verdict::Wait(wait - unchanged)
        }
    }

    /// Returns an attempt that replaces the row `found` (`None` if absent).
    ///
    /// `now` is taken before the request is sent, so that the term counts from then.
    pub fn acquire(&self, found: Option<&Entry>, nonce: Nonce, now: Instant) -> Attempt {
        Attempt {
            check: found.map(|entry| entry.revision),
            row: Row {
                epoch: self.last_epoch(found) + 1,
                host: self.host.clone(),
                incarnation: self.incarnation.clone(),
                nonce,
                renewals: 0,
                released: false,
            },
            terms: self.terms,
            started: now,
            era: revision::era(self.newest),
        }
    }

    /// Returns a number that no epoch exceeds which was given out so far. Epochs that the store has lost are below the
    /// first revision of its present era, and those of the era below its newest revision.
    fn last_epoch(&self, found: Option<&Entry>) -> Epoch {
        let (known, written) = found.map_or((0, 0), |entry| (entry.row.epoch, entry.revision));
        match revision::era(self.newest) {
            0 => known,
            _ => known.max(written).max(self.newest),
        }
    }
}

impl Attempt {
    /// Returns the holder. To be called once the store has confirmed the commit, at `revision`. If the store has
    /// returned from an older copy since the epoch was chosen, another process may have had the same one.
    pub fn committed(self, revision: Revision) -> Result<Holder, Lost> {
        if revision::era(revision) != self.era {
            return Err(Lost {
                epoch: self.row.epoch,
            });
        }
        Ok(Holder::new(self.terms, self.row, revision, self.started))
    }

    /// Resolves the attempt after a lost response or a conflict, from the row read afterwards
    /// (`None` if absent).
    pub fn settle(&self, found: Option<&Entry>) -> Settlement {
        match found {
            Some(entry) if entry.row == self.row => match self.clone().committed(entry.revision) {
                Ok(holder) => Settlement::Held(Box::new(holder)),
                Err(_) => Settlement::Lost,
            },
            _ if found.map(|entry| entry.revision) == self.check => Settlement::Unchanged,
            _ => Settlement::Lost,
        }
    }
}
