//! In-process implementation of the platform's tables with fault injection, for protocol tests.

use std::cell::{Cell, RefCell};

use agate_store::Error;
use agate_store::interface::{self, ResponseFuture};
use agate_wire::table::{Commit, Page, Row, Transaction};

use crate::table;

/// Fault that applies to every call while it is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls take effect and return their results.
    #[default]
    None,
    /// Calls have no effect and fail with [`Error::Unreached`].
    Down,
    /// Calls take effect and fail with [`Error::Unknown`], as if the response were lost.
    ResponseLost,
}

/// Tables that are called without a network. Clones of an `Rc` of it share the rows.
#[derive(Debug, Default)]
pub struct Memory {
    /// Stored rows, which tests may read and change without a fault.
    pub tables: RefCell<table::Tables>,
    /// Fault that applies to new calls; set by the test.
    pub fault: Cell<Fault>,
    /// Number of calls so far, failed ones included, for measuring the load on the store.
    pub calls: Cell<u64>,
}

impl Memory {
    fn call<T>(&self, effect: impl FnOnce(&mut table::Tables) -> T) -> Result<T, Error> {
        self.calls.set(self.calls.get() + 1);
        match self.fault.get() {
            Fault::None => Ok(effect(&mut self.tables.borrow_mut())),
            Fault::Down => Err(Error::Unreached("down".to_owned())),
            Fault::ResponseLost => {
                effect(&mut self.tables.borrow_mut());
                Err(Error::Unknown("response lost".to_owned()))
            }
        }
    }
}

impl interface::Tables for Memory {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move { self.call(|tables| tables.get(table, key)) })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        Box::pin(async move { self.call(|tables| tables.scan(table, prefix, after, limit)) })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            self.call(|tables| tables.commit(transaction))?
                .map_err(Error::Conflict)
        })
    }
}
