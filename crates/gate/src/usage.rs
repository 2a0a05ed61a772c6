//! Usage counters of this run, by window and account.

use std::collections::{BTreeMap, BTreeSet};

use agate_model::id::{AccountId, Window};
use agate_wire::platform::Figures;
use agate_wire::sync::Usage;

/// Windows that are kept for repetition.
const KEPT_WINDOWS: usize = 4;

/// Totals of this run, and which of them the control process does not have yet.
#[derive(Debug, Default)]
pub struct Ledger {
    totals: BTreeMap<(Window, AccountId), Figures>,
    changed: BTreeSet<(Window, AccountId)>,
}

impl Ledger {
    /// Adds delivered work.
    pub fn add(&mut self, window: Window, account: &str, figures: Figures) {
        let key = (window, account.to_owned());
        let total = self.totals.entry(key.clone()).or_default();
        total.requests += figures.requests;
        total.prompt_tokens += figures.prompt_tokens;
        total.answer_tokens += figures.answer_tokens;
        total.late_requests += figures.late_requests;
        self.changed.insert(key);
    }

    /// Totals that changed since they were last acknowledged.
    pub fn changed(&self) -> Vec<Usage> {
        self.changed.iter().map(|key| self.usage(key)).collect()
    }

    /// Whether everything was acknowledged.
    pub fn is_settled(&self) -> bool {
        self.changed.is_empty()
    }

    /// A control process has taken these totals over. One that changed meanwhile stays due.
    pub fn acknowledge(&mut self, sent: &[Usage]) {
        for usage in sent {
            let key = (usage.window, usage.account.clone());
            if self.totals.get(&key) == Some(&usage.figures) {
                self.changed.remove(&key);
            }
        }
        self.prune();
    }

    /// Everything is due again, because another control process answers or
    /// the known one has lost its memory.
    pub fn repeat(&mut self) {
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
