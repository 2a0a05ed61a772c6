//! Store in memory, and the connection of one host to it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::Revision;
use agate_model::revision;
use agate_store::Error;
use agate_store::interface::{Change, Changes, Feed, ResponseFuture, Tables};
use agate_wire::table::{Commit, Conflict, Page, Row, Transaction, Write};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// Largest value of a row, in bytes.
pub const ROW_BYTES: usize = 64 << 10;

/// Rows of a store, and how they came about.
#[derive(Clone, Default)]
pub struct Contents {
    /// Value and revision of each row, by table and key.
    rows: BTreeMap<(String, String), (Bytes, Revision)>,
    /// All changes with their tables, oldest first.
    history: Vec<(String, Change)>,
    /// Revision of the last change.
    revision: Revision,
}

/// Store in memory that keeps the history of its rows.
#[derive(Default)]
pub struct Store {
    /// Value and revision of each row, by table and key.
    rows: RefCell<BTreeMap<(String, String), (Bytes, Revision)>>,
    /// All changes with their tables, oldest first.
    history: RefCell<Vec<(String, Change)>>,
    /// Revision of the last change.
    revision: Cell<Revision>,
    /// Notified after each change.
    changed: Notify,
    /// Calls fail while this is set.
    pub is_down: Cell<bool>,
    /// Long polls never return while this is set.
    pub is_silent: Cell<bool>,
    /// Duration of a commit.
    pub commit_time: Cell<Duration>,
    /// Number of calls for changes by table.
    pub calls: RefCell<HashMap<String, usize>>,
    /// Number of snapshots read by table.
    pub snapshots: RefCell<HashMap<String, usize>>,
    /// Number of commits requested.
    pub commits: Cell<usize>,
    /// When the clock was first read; it starts then.
    started: RefCell<Option<Instant>>,
}

impl Store {
    /// Writes a row, or removes it if `value` is `None`.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.write(table, key, value, revision);
        self.changed.notify_waiters();
    }

    /// Writes a row, or removes it if `value` is `None`, under a revision.
    fn write(&self, table: &str, key: &str, value: Option<&str>, revision: Revision) {
        let value = value.map(|text| Bytes::from(text.to_owned()));
        let row_key = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(
                self.rows
                    .borrow_mut()
                    .insert(row_key, (value.clone(), revision)),
            ),
            None => drop(self.rows.borrow_mut().remove(&row_key)),
        }
        let change = Change {
            key: key.to_owned(),
            value,
            revision,
        };
        self.history.borrow_mut().push((table.to_owned(), change));
    }

    /// Returns a copy, from which the store may return later.
    pub fn copy(&self) -> Contents {
        Contents {
            rows: self.rows.borrow().clone(),
            history: self.history.borrow().clone(),
            revision: self.revision.get(),
        }
    }

    /// Returns from a copy: what was written since is gone, and a new era begins. As clients see it, what the copy has is of
    /// the new era too. Waiting reads fail.
    pub fn return_from(&self, copy: Contents) {
        let era = revision::era(self.revision.get()) + 1;
        let renew = |old| revision::join(era, revision::number(old)).expect("eras are small");
        let rows = copy.rows.into_iter();
        *self.rows.borrow_mut() = rows
            .map(|(key, (value, revision))| (key, (value, renew(revision))))
            .collect();
        let history = copy.history.into_iter();
        *self.history.borrow_mut() = history
            .map(|(table, change)| {
                let revision = renew(change.revision);
                (table, Change { revision, ..change })
            })
            .collect();
        self.revision.set(renew(copy.revision));
        self.changed.notify_waiters();
    }

    /// Returns the number of commits, snapshots and calls for changes so far.
    pub fn call_count(&self) -> usize {
        let snapshots: usize = self.snapshots.borrow().values().sum();
        self.commits.get() + self.calls.borrow().values().sum::<usize>() + snapshots
    }

    /// Returns the values of all rows of a table.
    pub fn contents(&self, table: &str) -> Vec<String> {
        let rows = self.rows.borrow();
        let rows = rows.iter().filter(|((name, _), _)| name == table);
        rows.map(|(_, (value, _))| String::from_utf8_lossy(value).into_owned())
            .collect()
    }

    /// Returns the store's clock in milliseconds; it starts at 1000.
    fn clock(&self) -> u64 {
        let mut started = self.started.borrow_mut();
        let started = started.get_or_insert_with(Instant::now);
        1000 + u64::try_from(started.elapsed().as_millis()).unwrap_or(0)
    }

    /// Fails while the store is down.
    fn check(&self) -> Result<(), Error> {
        match self.is_down.get() {
            true => Err(Error::Unknown("the test store is down".to_owned())),
            false => Ok(()),
        }
    }

    /// Returns the changes of a table after a revision.
    fn since(&self, table: &str, after: Revision) -> Vec<Change> {
        let history = self.history.borrow();
        let newer = history
            .iter()
            .filter(|(name, change)| name == table && change.revision > after);
        newer.map(|(_, change)| change.clone()).collect()
    }

    fn row(&self, table: &str, key: &str) -> Option<Row> {
        let rows = self.rows.borrow();
        let (value, revision) = rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(Row {
            key: key.to_owned(),
            value: String::from_utf8_lossy(value).into_owned(),
            revision: *revision,
        })
    }
}

impl Tables for Store {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            self.check()?;
            Ok(self.row(table, key))
        })
    }

    fn scan<'a>(
        &'a self,
        _table: &'a str,
        _prefix: &'a str,
        _after: &'a str,
        _limit: usize,
    ) -> ResponseFuture<'a, Page> {
        Box::pin(async {
            Err(Error::Unreached(
                "scans are not implemented by the test store".to_owned(),
            ))
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            self.commits.set(self.commits.get() + 1);
            sleep(self.commit_time.get()).await;
            self.check()?;
            for check in &transaction.checks {
                let found = self.row(&check.table, &check.key);
                if found.as_ref().map(|row| row.revision) != check.revision {
                    let check = check.clone();
                    return Err(Error::Conflict(Box::new(Conflict { check, found })));
                }
            }
            let size = |write: &Write| write.value.as_ref().map_or(0, String::len);
            if transaction
                .writes
                .iter()
                .any(|write| size(write) > ROW_BYTES)
            {
                return Err(Error::Refused {
                    status: 413,
                    message: "a row is too large".to_owned(),
                });
            }
            let revision = self.revision.get() + 1;
            self.revision.set(revision);
            for write in &transaction.writes {
                self.write(&write.table, &write.key, write.value.as_deref(), revision);
            }
            self.changed.notify_waiters();
            Ok(Commit { revision })
        })
    }
}

impl Feed for Store {
    fn snapshot<'a>(&'a self, table: &'a str) -> ResponseFuture<'a, Changes> {
        Box::pin(async move {
            *self
                .snapshots
                .borrow_mut()
                .entry(table.to_owned())
                .or_default() += 1;
            self.check()?;
            let rows = self.rows.borrow();
            let rows = rows.iter().filter(|((name, _), _)| name == table);
            let rows = rows.map(|((_, key), (value, revision))| Change {
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            });
            Ok(Changes {
                rows: rows.collect(),
                revision: self.revision.get(),
                clock: self.clock(),
            })
        })
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: Revision,
        wait: Duration,
    ) -> ResponseFuture<'a, Option<Changes>> {
        Box::pin(async move {
            *self.calls.borrow_mut().entry(table.to_owned()).or_default() += 1;
            self.check()?;
            let deadline = Instant::now() + wait;
            let era = revision::era(self.revision.get());
            if revision::era(after) != era {
                return Ok(None);
            }
            while self.since(table, after).is_empty() && Instant::now() < deadline {
                let _ = timeout_at(deadline, self.changed.notified()).await;
            }
            if self.is_silent.get() && !wait.is_zero() {
                std::future::pending::<()>().await;
            }
            self.check()?;
            if revision::era(self.revision.get()) != era {
                return Err(Error::Unknown("the test store was away".to_owned()));
            }
            Ok(Some(Changes {
                rows: self.since(table, after),
                revision: self.revision.get(),
                clock: self.clock(),
            }))
        })
    }
}

/// Connection of one host to a store, which can be cut.
pub struct Connection {
    /// Store to which the connection leads.
    pub store: Rc<Store>,
    /// Calls fail while this is set. Calls for changes also fail if it was set while they waited.
    pub is_cut: Cell<bool>,
    /// Time that it takes to read rows of one table, as over a slow link.
    pub read_time: Cell<(&'static str, Duration)>,
    /// Pieces of those rows that have arrived; each takes 50 ms.
    pub received: Cell<usize>,
    /// Called once, after a row with this key was read.
    pub after_get: RefCell<Option<(String, AfterGet)>>,
}

/// What happens at the store after a read.
pub type AfterGet = Box<dyn FnOnce(&Store)>;

impl Connection {
    /// Creates a connection that is not cut.
    pub fn new(store: Rc<Store>) -> Rc<Self> {
        Rc::new(Self {
            store,
            is_cut: Cell::new(false),
            read_time: Cell::new(("", Duration::ZERO)),
            received: Cell::new(0),
            after_get: RefCell::default(),
        })
    }

    /// Waits until rows of a table have arrived.
    async fn receive(&self, table: &str, changes: &Changes) {
        let (slow, time) = self.read_time.get();
        if table != slow || changes.rows.is_empty() {
            return;
        }
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
            self.received.set(self.received.get() + 1);
        }
    }

    /// Fails after 300 ms while the connection is cut.
    async fn check(&self) -> Result<(), Error> {
        if self.is_cut.get() {
            sleep(Duration::from_millis(300)).await;
            return Err(Error::Unreached(
                "the connection to the test store is cut".to_owned(),
            ));
        }
        Ok(())
    }
}

impl Tables for Connection {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            self.check().await?;
            let row = self.store.get(table, key).await;
            let after = self.after_get.borrow_mut().take_if(|(at, _)| at == key);
            if let Some((_, after)) = after {
                after(&self.store);
            }
            row
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        self.store.scan(table, prefix, after, limit)
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            self.check().await?;
            self.store.commit(transaction).await
        })
    }
}

impl Feed for Connection {
    fn snapshot<'a>(&'a self, table: &'a str) -> ResponseFuture<'a, Changes> {
        Box::pin(async move {
            self.check().await?;
            let changes = self.store.snapshot(table).await?;
            self.receive(table, &changes).await;
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
            self.check().await?;
            let changes = self.store.changes(table, after, wait).await?;
            if let Some(changes) = &changes {
                self.receive(table, changes).await;
            }
            self.check().await?;
            Ok(changes)
        })
    }

    fn received(&self, table: &str) -> usize {
        match self.read_time.get().0 == table {
            true => self.received.get(),
            false => 0,
        }
    }
}
