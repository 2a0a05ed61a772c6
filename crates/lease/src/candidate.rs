//! Acquisition of the lease by a process that does not hold it.

use std::time::{Duration, Instant};

use agate_model::id::{HostId, Incarnation, Revision};

use crate::holder::Holder;
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
    /// Another process has written the row, so the attempt can no longer take effect.
    Lost,
}

/// A revision of the row and the time at which this process first read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Observation {
    revision: Revision,
    since: Instant,
}

/// Decides when the lease may be acquired. It times how long the row has been unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    terms: Terms,
    host: HostId,
    incarnation: Incarnation,
    observed: Option<Observation>,
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
}

impl Candidate {
    /// Creates a candidate that has not read the row yet.
    pub fn new(terms: Terms, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            terms,
            host,
            incarnation,
            observed: None,
        }
    }

    /// Records the row as read (`None` if absent) and decides whether it may be acquired.
    ///
    /// `now` is taken after the response arrived, so the holder's term started earlier.
    pub fn observe(&mut self, found: Option<&Entry>, now: Instant) -> Verdict {
        let Some(entry) = found else {
            return Verdict::Acquire;
        };
        let since = match self.observed {
            Some(observed) if observed.revision == entry.revision => observed.since,
            _ => now,
        };
        self.observed = Some(Observation {
            revision: entry.revision,
            since,
        });
        if entry.row.released {
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
                epoch: found.map_or(0, |entry| entry.row.epoch) + 1,
                host: self.host.clone(),
                incarnation: self.incarnation.clone(),
                nonce,
                renewals: 0,
                released: false,
            },
            terms: self.terms,
            started: now,
        }
    }
}

impl Attempt {
    /// Returns the holder. To be called once the store has confirmed the commit, at `revision`.
    pub fn committed(self, revision: Revision) -> Holder {
        Holder::new(self.terms, self.row, revision, self.started)
    }

    /// Resolves the attempt after a lost response or a conflict, from the row read afterwards
    /// (`None` if absent).
    pub fn settle(&self, found: Option<&Entry>) -> Settlement {
        match found {
            Some(entry) if entry.row == self.row => {
                let holder = self.clone().committed(entry.revision);
                Settlement::Held(Box::new(holder))
            }
            _ if found.map(|entry| entry.revision) == self.check => Settlement::Unchanged,
            _ => Settlement::Lost,
        }
    }
}
