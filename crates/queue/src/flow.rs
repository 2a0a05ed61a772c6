//! Queued requests of one client account in one class.

use std::collections::BTreeMap;

use agate_model::id::AccountId;

use crate::class;
use crate::item::Ticket;
use crate::ranking::Counter;

slotmap::new_key_type! {
    /// Identifies a flow within one scheduler.
    pub(crate) struct Key;
}

/// Requests of one client account in one class, started in order of arrival.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) class: class::Key,
    /// `None` for the requests of open routes.
    pub(crate) account: Option<AccountId>,
    /// Weight of the account, which changes only while nothing is queued; at least 1.
    pub(crate) weight: u32,
    /// Service received, including the estimates of requests not yet settled.
    pub(crate) served: Counter,
    /// Sum of the costs of the queued requests.
    pub(crate) backlog: Counter,
    /// Queued requests by sequence number, which is ascending by arrival.
    pub(crate) queue: BTreeMap<u64, Ticket>,
    /// Number of requests started and not yet settled.
    pub(crate) running: u32,
}

impl Flow {
    /// Returns the counter as it will be after all queued requests, which tells how far the
    /// account is over its share.
    pub(crate) fn finish(&self) -> Counter {
        self.served.saturating_add(self.backlog)
    }

    /// Returns whether no request is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }
}
