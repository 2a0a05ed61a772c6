//! Figures of a closed window.

use std::collections::BTreeMap;

use agate_model::id::{AccountId, Window};

use crate::figures::Figures;
use crate::row::Row;

/// Table of reports.
pub const TABLE: &str = "report";

/// What is reported of one account in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Total {
    /// Figures, late ones included.
    pub figures: Figures,
    /// Requests among them that were counted in earlier windows.
    pub late_requests: u64,
}

/// Figures by account. They depend on the rows alone, in any order.
pub fn figures<'a>(
    window: Window,
    rows: impl IntoIterator<Item = &'a Row>,
) -> BTreeMap<AccountId, Total> {
    let mut totals: BTreeMap<AccountId, Total> = BTreeMap::new();
    for row in rows {
        for (part, figures) in &row.parts {
            let total = totals.entry(part.account.clone()).or_default();
            total.figures = total.figures.plus(*figures);
            if part.origin < window {
                total.late_requests = total.late_requests.saturating_add(figures.requests);
            }
        }
    }
    totals
}

/// Key of a report's row, and its identity towards the receiver.
pub fn key(window: Window, account: &str) -> String {
    format!("{window:020}/{account}")
}
