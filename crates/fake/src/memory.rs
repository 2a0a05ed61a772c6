//! The platform's tables within the process, with faults, for tests of the protocols.

use std::cell::{Cell, RefCell};

use agate_store::Error;
use agate_store::interface::{self, ResponseFuture};
use agate_wire::table::{Commit, Page, Row, Transaction};

use crate::table;

/// What happens to the following calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls have no effect and fail.
    Down,
    /// Calls take effect, and their answers are lost.
    AnswerLost,
}

/// Tables without a network. Clones of an `Rc` of it share the rows.
#[derive(Debug, Default)]
pub struct Memory {
    /// Rows, for inspection.
    pub tables: RefCell<table::Tables>,
    /// Fault in force.
    pub fault: Cell<Fault>,
    /// Number of calls, for load figures.
    pub calls: Cell<u64>,
}

impl Memory {
    fn call<T>(&self, effect: impl FnOnce(&mut table::Tables) -> T) -> Result<T, Error> {
        self.calls.set(self.calls.get() + 1);
        match self.fault.get() {
            Fault::None => Ok(effect(&mut self.tables.borrow_mut())),
            Fault::Down => Err(Error::Unreached("down".to_owned())),
            Fault::AnswerLost => {
                effect(&mut self.tables.borrow_mut());
                Err(Error::Unknown("answer lost".to_owned()))
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
