//! Builder for items.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use agate_queue::Item;

/// Returns an item of class `c<tier>` with 100 tokens and a deadline in an hour.
pub(crate) fn item(now: Instant, account: &str, tier: u8) -> Item {
    Item {
        account: Some(account.to_owned()),
        class: format!("c{tier}"),
        tier,
        class_weight: 1,
        account_weight: 1,
        queue_limit: 8,
        arrival: now,
        deadline: now + Duration::from_secs(3600),
        start_by: now + Duration::from_secs(3600),
        work: Duration::ZERO,
        tokens: 100,
        idempotent: true,
        reclaimable: false,
    }
}
