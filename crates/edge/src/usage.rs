//! Counts the requests that started to run, by usage window and account.

use std::collections::BTreeMap;

use agate_model::id::AccountId;

use crate::interface::Counts;

/// Number of usage windows that a host keeps in its row, including the current one.
const MAX_WINDOWS: usize = 6;

/// Usage of one process incarnation of a host.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Counts by number of the window.
    windows: BTreeMap<u64, Counts>,
}

impl Counters {
    /// Counts one request of an account, and drops the oldest windows beyond `MAX_WINDOWS`.
    pub fn count(&mut self, window: u64, account: &AccountId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts by number of the window.
    pub fn windows(&self) -> &BTreeMap<u64, Counts> {
        &self.windows
    }
}
