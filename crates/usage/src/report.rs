//! Reports of closed windows.

use std::collections::BTreeMap;

use agate_model::id::{AccountId, Window};

use crate::counters::Counters;
use crate::row::Row;

/// Store table of the reports, one row for each window and account.
pub const TABLE: &str = "report";

/// Reported usage of one account in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Total {
    /// Counters of the account, late usage included.
    pub counters: Counters,
    /// Number of these requests that ended in earlier windows.
    pub late_requests: u64,
}

/// Returns the totals of a window by account. They depend only on the set of rows, not on its order.
pub fn totals<'a>(
    window: Window,
    rows: impl IntoIterator<Item = &'a Row>,
) -> BTreeMap<AccountId, Total> {
    let mut totals: BTreeMap<AccountId, Total> = BTreeMap::new();
    for row in rows {
        for (bucket, counters) in &row.counters {
            let total = totals.entry(bucket.account.clone()).or_default();
            total.counters = total.counters.saturating_add(*counters);
            if bucket.origin < window {
                total.late_requests = total.late_requests.saturating_add(counters.requests);
            }
        }
    }
    totals
}

/// Returns the key of a report's row, which also identifies the report to its receiver.
pub fn key(window: Window, account: &str) -> String {
    format!("{window:020}/{account}")
}
