//! Transactional tables in memory.

use std::collections::BTreeMap;
use std::ops::Bound;

use agate_wire::table::{Check, Commit, Conflict, Page, Row, Transaction};

/// Rows of one table, by key.
type Rows = BTreeMap<String, Row>;

/// All tables and the number of the last commit.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    tables: BTreeMap<String, Rows>,
    revision: u64,
}

impl Tables {
    /// One row.
    pub fn get(&self, table: &str, key: &str) -> Option<Row> {
        self.tables.get(table)?.get(key).cloned()
    }

    /// Rows whose key starts with `prefix` and is above `after`.
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

    /// Commits if every check holds.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<Commit, Box<Conflict>> {
        if let Some(conflict) = transaction.checks.iter().find_map(|it| self.conflict(it)) {
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
