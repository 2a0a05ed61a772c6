//! Queued requests of one client account in one class.

use std::collections::BTreeMap;

use agate_model::id::AccountId;

use crate::class;
use crate::item::Ticket;
use crate::share::Counter;

slotmap::new_key_type! {
    /// A flow.
    pub(crate) struct Key;
}

/// Requests of one account in one class, oldest first.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) class: class::Key,
    pub(crate) account: Option<AccountId>,
    pub(crate) weight: u32,
    /// Service received.
    pub(crate) served: Counter,
    /// Cost of the queued requests.
    pub(crate) backlog: Counter,
    /// Queued requests by order of arrival.
    pub(crate) queue: BTreeMap<u64, Ticket>,
    /// Requests started and not yet settled.
    pub(crate) running: u32,
}

impl Flow {
    /// Counter after all queued requests; how far the account is over its share.
    pub(crate) fn finish(&self) -> Counter {
        self.served.saturating_add(self.backlog)
    }

    /// Whether nothing is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }
}
