//! Requests that began to run, counted by window and account.

use std::collections::BTreeMap;

use agate_model::id::AccountId;

use crate::interface::Counts;

/// Windows that a host keeps in its row, the current one included.
const KEPT: usize = 6;

/// Counts of one run of a host.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    windows: BTreeMap<u64, Counts>,
}

impl Tally {
    /// Counts one request.
    pub fn count(&mut self, window: u64, account: &AccountId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        while self.windows.len() > KEPT {
            self.windows.pop_first();
        }
    }

    /// Counts by window.
    pub fn windows(&self) -> &BTreeMap<u64, Counts> {
        &self.windows
    }
}
