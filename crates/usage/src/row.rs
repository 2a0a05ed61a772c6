//! Rows of usage counters in the store.

use std::collections::BTreeMap;

use agate_model::id::{AccountId, HostId, Incarnation, Window};

use crate::counters::Counters;

/// Store table of the usage rows, one row for each window, incarnation and shard.
pub const TABLE: &str = "usage";

/// Number of rows over which the accounts of one incarnation and window are distributed, to keep
/// each row below the store's size limit.
pub const SHARDS: u8 = 4;

/// Number of a shard, below [`SHARDS`].
pub type Shard = u8;

/// Process incarnation of a gate that counts usage.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Source {
    /// Host on which the gate runs.
    pub host: HostId,
    /// Incarnation of the gate's process, which changes with each start.
    pub incarnation: Incarnation,
}

/// Account and window that a set of counters belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bucket {
    /// Client account that the usage is counted for.
    pub account: AccountId,
    /// Window in which the requests ended; earlier than the row's window if the usage is late.
    pub origin: Window,
}

/// Usage counters by account and origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Row {
    /// Counters of each bucket; an absent bucket counts as zero.
    pub counters: BTreeMap<Bucket, Counters>,
}

impl Row {
    /// Merges all counters of another row by maximum, which is idempotent, commutative and
    /// associative.
    pub fn merge(&mut self, other: &Row) {
        for (bucket, counters) in &other.counters {
            self.observe(bucket.clone(), *counters);
        }
    }

    /// Merges the counters of one bucket by maximum.
    pub fn observe(&mut self, bucket: Bucket, counters: Counters) {
        let total = self.counters.entry(bucket).or_default();
        *total = total.max(counters);
    }

    /// Returns the counters of one bucket, or zero if it is absent.
    pub fn get(&self, bucket: &Bucket) -> Counters {
        self.counters.get(bucket).copied().unwrap_or_default()
    }

    /// Returns whether the row has no counters.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}

/// Returns the shard of an account: the FNV-1a hash of its name modulo [`SHARDS`].
pub fn shard(account: &str) -> Shard {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = account.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    });
    u8::try_from(hash % u32::from(SHARDS)).expect("a remainder of division by a u8 fits into a u8")
}

/// Returns the common prefix of the keys of all usage rows of a window.
pub fn window_prefix(window: Window) -> String {
    format!("{window:020}/")
}

/// Returns the key of a usage row.
pub fn key(window: Window, source: &Source, shard: Shard) -> String {
    format!(
        "{window:020}/{}/{}/{shard}",
        source.host, source.incarnation
    )
}
