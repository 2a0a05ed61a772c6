//! A process that does not hold the lease.

use std::time::{Duration, Instant};

use agate_model::id::{HostId, Incarnation};

use crate::holder::Holder;
use crate::row::{Nonce, Row, Seen};
use crate::terms::Terms;

/// What a candidate may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Read again, and act after this time at the earliest.
    Wait(Duration),
    /// Try to acquire.
    Acquire,
}

/// Outcome of an attempt whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The lease was acquired.
    Held(Box<Holder>),
    /// The row is as before. The attempt may still take effect, so only the same
    /// one may be repeated.
    Unchanged,
    /// Another process was first.
    Lost,
}

/// One revision of the row and when it was first seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Watch {
    revision: u64,
    since: Instant,
}

/// A process that does not hold the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    terms: Terms,
    host: HostId,
    incarnation: Incarnation,
    watch: Option<Watch>,
}

/// An acquisition, to be committed with a check that the row has the revision
/// `check`, or is absent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Expected revision.
    pub check: Option<u64>,
    /// Row to write.
    pub row: Row,
    terms: Terms,
    began: Instant,
}

impl Candidate {
    /// A candidate that has seen nothing yet.
    pub fn new(terms: Terms, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            terms,
            host,
            incarnation,
            watch: None,
        }
    }

    /// Takes note of the row as read; `now` is after the answer arrived, so the
    /// holder's term began earlier.
    pub fn observe(&mut self, seen: Option<&Seen>, now: Instant) -> Verdict {
        let Some(seen) = seen else {
            return Verdict::Acquire;
        };
        let since = match self.watch {
            Some(watch) if watch.revision == seen.revision => watch.since,
            _ => now,
        };
        self.watch = Some(Watch {
            revision: seen.revision,
            since,
        });
        if seen.row.released {
            return Verdict::Acquire;
        }
        let wait = self.terms.takeover_wait();
        let watched = now.saturating_duration_since(since);
        if watched >= wait {
            Verdict::Acquire
        } else {
            Verdict::Wait(wait - watched)
        }
    }

    /// An acquisition that follows `seen`; `now` is before the request is sent.
    pub fn acquire(&self, seen: Option<&Seen>, nonce: Nonce, now: Instant) -> Attempt {
        Attempt {
            check: seen.map(|it| it.revision),
            row: Row {
                epoch: seen.map_or(0, |it| it.row.epoch) + 1,
                host: self.host.clone(),
                incarnation: self.incarnation.clone(),
                nonce,
                beat: 0,
                released: false,
            },
            terms: self.terms,
            began: now,
        }
    }
}

impl Attempt {
    /// The holder, once the commit with this revision was answered.
    pub fn committed(self, revision: u64) -> Holder {
        Holder::new(self.terms, self.row, revision, self.began)
    }

    /// Outcome after a lost answer or a conflict, from the row read after it.
    pub fn settle(&self, found: Option<&Seen>) -> Settlement {
        match found {
            Some(seen) if seen.row == self.row => {
                let holder = self.clone().committed(seen.revision);
                Settlement::Held(Box::new(holder))
            }
            _ if found.map(|it| it.revision) == self.check => Settlement::Unchanged,
            _ => Settlement::Lost,
        }
    }
}
