//! In-memory tables with conditional transactions.

use std::collections::BTreeMap;
use std::ops::Bound;

use agate_wire::table::{Check, Commit, Conflict, Page, Row, Transaction};

/// Rows of one table, ordered by key.
type Rows = BTreeMap<String, Row>;

/// Tables by name, and the revision, which every commit increments.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    tables: BTreeMap<String, Rows>,
    revision: u64,
}

impl Tables {
    /// Returns a row; `None` if the table or the key does not exist.
    pub fn get(&self, table: &str, key: &str) -> Option<Row> {
        self.tables.get(table)?.get(key).cloned()
    }

    /// Returns up to `limit` rows in key order whose key starts with `prefix` and is greater than
    /// `after`.
    pub fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Page {
        let from = if after >= prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        let mut rows: Vec<Row> = self
            .tables
            .get(table)
            .into_iter()
            .flat_map(|rows| rows.range::<str, _>((from, Bound::Unbounded)))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit.saturating_add(1))
            .cloned()
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Page {
            rows,
            revision: self.revision,
            more,
        }
    }

    /// Applies all writes if every check holds; otherwise returns the first conflict and changes
    /// nothing.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<Commit, Box<Conflict>> {
        if let Some(conflict) = transaction
            .checks
            .iter()
            .find_map(|check| self.conflict(check))
        {
            return Err(Box::new(conflict));
        }
        self.revision += 1;
        for write in &transaction.writes {
            let rows = self.tables.entry(write.table.clone()).or_default();
            match &write.value {
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        value: value.clone(),
                        revision: self.revision,
                    };
                    rows.insert(write.key.clone(), row);
                }
                None => {
                    rows.remove(&write.key);
                }
            }
        }
        Ok(Commit {
            revision: self.revision,
        })
    }

    fn conflict(&self, check: &Check) -> Option<Conflict> {
        let found = self.get(&check.table, &check.key);
        if found.as_ref().map(|row| row.revision) == check.revision {
            return None;
        }
        Some(Conflict {
            check: check.clone(),
            found,
        })
    }
}
