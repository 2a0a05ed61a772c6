//! Usage counters of this process incarnation, by window and account.

use std::collections::{BTreeMap, BTreeSet};

use agate_model::id::{AccountId, Window};
use agate_wire::platform::Counters;
use agate_wire::sync::Usage;

/// Newest windows whose acknowledged totals are kept so that they can be sent again.
const KEPT_WINDOWS: usize = 4;

/// Totals of this process incarnation, and which of them the control process has not acknowledged.
#[derive(Debug, Default)]
pub struct Ledger {
    totals: BTreeMap<(Window, AccountId), Counters>,
    changed: BTreeSet<(Window, AccountId)>,
}

impl Ledger {
    /// Adds the counters of delivered work to the total of its window and account.
    pub fn add(&mut self, window: Window, account: &str, counters: Counters) {
        let key = (window, account.to_owned());
        let total = self.totals.entry(key.clone()).or_default();
        total.requests += counters.requests;
        total.prompt_tokens += counters.prompt_tokens;
        total.answer_tokens += counters.answer_tokens;
        total.late_requests += counters.late_requests;
        self.changed.insert(key);
    }

    /// Returns the totals that changed since they were last acknowledged.
    pub fn changed(&self) -> Vec<Usage> {
        self.changed.iter().map(|key| self.usage(key)).collect()
    }

    /// Returns whether all totals are acknowledged.
    pub fn is_settled(&self) -> bool {
        self.changed.is_empty()
    }

    /// Records that a control process has taken over these totals. A total that has changed since
    /// stays due.
    pub fn acknowledge(&mut self, sent: &[Usage]) {
        for usage in sent {
            let key = (usage.window, usage.account.clone());
            if self.totals.get(&key) == Some(&usage.figures) {
                self.changed.remove(&key);
            }
        }
        self.prune();
    }

    /// Marks all totals as due again, because another control process responds or the known one has
    /// lost its state.
    pub fn mark_all_changed(&mut self) {
        self.changed.extend(self.totals.keys().cloned());
    }

    fn usage(&self, key: &(Window, AccountId)) -> Usage {
        Usage {
            window: key.0,
            account: key.1.clone(),
            figures: self.totals.get(key).copied().unwrap_or_default(),
        }
    }

    fn prune(&mut self) {
        let windows: BTreeSet<Window> = self.totals.keys().map(|key| key.0).collect();
        let Some(oldest) = windows.iter().rev().nth(KEPT_WINDOWS - 1).copied() else {
            return;
        };
        let changed = &self.changed;
        self.totals
            .retain(|key, _| key.0 >= oldest || changed.contains(key));
    }
}
