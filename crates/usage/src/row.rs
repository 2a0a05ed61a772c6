//! Rows of usage in the store.

use std::collections::BTreeMap;

use agate_model::id::{AccountId, HostId, Incarnation, Window};

use crate::figures::Figures;

/// Table of usage rows.
pub const TABLE: &str = "usage";

/// Rows into which the accounts of one run and window are divided, to keep each
/// below the store's limit.
pub const SHARDS: u8 = 4;

/// Number of a division, below [`SHARDS`].
pub type Shard = u8;

/// A run of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Source {
    /// Host.
    pub host: HostId,
    /// Run of its gate.
    pub incarnation: Incarnation,
}

/// What a figure belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Part {
    /// Account.
    pub account: AccountId,
    /// Window in which it was counted; earlier than the row's window if late.
    pub origin: Window,
}

/// Usage by account and origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Row {
    /// Figures.
    pub parts: BTreeMap<Part, Figures>,
}

impl Row {
    /// Merges totals by maximum: idempotent, commutative and associative.
    pub fn merge(&mut self, other: &Row) {
        for (part, figures) in &other.parts {
            self.observe(part.clone(), *figures);
        }
    }

    /// Merges one total by maximum.
    pub fn observe(&mut self, part: Part, figures: Figures) {
        let total = self.parts.entry(part).or_default();
        *total = total.max(figures);
    }

    /// Figures of one part; zero if absent.
    pub fn get(&self, part: &Part) -> Figures {
        self.parts.get(part).copied().unwrap_or_default()
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

/// Division that an account belongs to (FNV-1a).
pub fn shard(account: &str) -> Shard {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = account.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    });
    u8::try_from(hash % u32::from(SHARDS)).expect("a remainder of a u8")
}

/// Prefix of the keys of all rows of a window.
pub fn window_prefix(window: Window) -> String {
    format!("{window:020}/")
}

/// Key of a row.
pub fn key(window: Window, source: &Source, shard: Shard) -> String {
    format!(
        "{window:020}/{}/{}/{shard}",
        source.host, source.incarnation
    )
}
