//! Era of the store as this host knows it, and the calls that it orders.
//!
//! Whoever hears of a newer era first, from the store or from another host, makes it known here. From then on no
//! response of an earlier era counts, and nothing is written under a condition of one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{Era, Revision};
use agate_model::revision;
use agate_store::Error;
use agate_store::interface::{Changes, Feed, ResponseFuture, Tables};
use agate_wire::table::{Commit, Conflict, Page, Row, Transaction};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::metrics::{Outcome, count};

/// Largest step between two known eras. A larger one is taken for a fault of whoever named it, which would
/// otherwise stop all hosts that hear of it.
const MAX_STEP: Era = 100;

/// Newest known era of the store.
pub struct Eras {
    newest: watch::Sender<Option<Era>>,
    /// When the newest era became known.
    since: Cell<Instant>,
    gauge: Gauge,
    changes: Family<Outcome, Counter>,
}

impl Eras {
    /// Creates the state of a host that knows no era. The newest one is shown in `gauge`, and returns of
    /// the store are counted among `changes`.
    pub fn new(gauge: Gauge, changes: Family<Outcome, Counter>) -> Rc<Self> {
        Rc::new(Self {
            newest: watch::Sender::new(None),
            since: Cell::new(Instant::now()),
            gauge,
            changes,
        })
    }

    /// Returns the newest known era; 0 before the first.
    pub fn newest(&self) -> Era {
        self.newest.borrow().unwrap_or(0)
    }

    /// Returns the newest known era; `None` before the first.
    pub fn known(&self) -> Option<Era> {
        *self.newest.borrow()
    }

    /// Waits until a later era than `era` is known; never returns without one.
    pub async fn wait_return(&self, era: Option<Era>) {
        match era.and_then(|era| revision::join(era, 0)) {
            Some(revision) => self.wait_later(revision).await,
            None => std::future::pending().await,
        }
    }

    /// Returns when the newest era became known to this process. The store had returned by then.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Records the era of a revision that the store or another host has named. Returns whether it is the
    /// newest. Revision 0 is that of a host that knows none, so it says nothing of the era.
    pub fn observe(&self, revision: Revision) -> bool {
        let era = revision::era(revision);
        let before = *self.newest.borrow();
        if revision == 0 {
            return before.is_none_or(|before| before == 0);
        }
        if before >= Some(era) {
            return before == Some(era);
        }
        if let Some(before) = before.filter(|before| era - before > MAX_STEP) {
            tracing::error!(event = "store_era_implausible", era, before);
            return false;
        }
        self.newest.send_replace(Some(era));
        self.gauge.set(i64::try_from(era).unwrap_or(i64::MAX));
        match before {
            Some(before) => {
                tracing::warn!(event = "store_returned", era, before);
                count(&self.changes, "store_returned");
            }
            None => tracing::info!(event = "store_era", era),
        }
        self.since.set(Instant::now());
        true
    }

    /// Waits until a later era than that of `revision` is known.
    pub async fn wait_later(&self, revision: Revision) {
        let mut newest = self.newest.subscribe();
        let era = Some(revision::era(revision));
        // The call can't fail: `self` owns the sender.
        let _ = newest.wait_for(|newest| *newest > era).await;
    }

    /// Fails unless a response with this revision is of the newest era.
    fn check(&self, revision: Revision) -> Result<(), Error> {
        if self.observe(revision) {
            return Ok(());
        }
        let (era, newest) = (revision::era(revision), self.newest());
        if era < newest {
            tracing::warn!(event = "store_era_fell", era, newest);
        }
        let message =
            format!("a response of era {era} of the store came after one of era {newest}");
        Err(Error::Unknown(message))
    }
}

/// Tables and feed of a store that may return from an older copy.
pub struct Ordered<T: ?Sized> {
    remote: Rc<T>,
    eras: Rc<Eras>,
}

impl<T: ?Sized> Ordered<T> {
    /// Orders the calls to `remote` by the eras of their responses.
    pub fn new(remote: Rc<T>, eras: Rc<Eras>) -> Self {
        Self { remote, eras }
    }
}

impl Tables for Ordered<dyn Tables> {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            let row = self.remote.get(table, key).await?;
            row.iter()
                .try_for_each(|row| self.eras.check(row.revision))?;
            Ok(row)
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        Box::pin(async move {
            let page = self.remote.scan(table, prefix, after, limit).await?;
            self.eras.check(page.revision)?;
            Ok(page)
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            let newest = self.eras.newest();
            let outdated = transaction.checks.iter().find(|check| {
                let revision = check.revision;
                revision.is_some_and(|revision| revision::era(revision) < newest)
            });
            if let Some(check) = outdated {
                // Another row may have the same number by now.
                return Err(Error::Conflict(Box::new(Conflict {
                    check: check.clone(),
                    found: None,
                })));
            }
            let commit = self.remote.commit(transaction).await?;
            self.eras.check(commit.revision)?;
            Ok(commit)
        })
    }
}

impl Feed for Ordered<dyn Feed> {
    fn snapshot<'a>(&'a self, table: &'a str) -> ResponseFuture<'a, Changes> {
        Box::pin(async move {
            let changes = self.remote.snapshot(table).await?;
            self.eras.check(changes.revision)?;
            Ok(changes)
        })
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: Revision,
        wait: Duration,
    ) -> ResponseFuture<'a, Option<Changes>> {
        Box::pin(async move {
            let changes = self.remote.changes(table, after, wait).await?;
            changes
                .iter()
                .try_for_each(|changes| self.eras.check(changes.revision))?;
            Ok(changes)
        })
    }

    fn received(&self, table: &str) -> usize {
        self.remote.received(table)
    }
}
