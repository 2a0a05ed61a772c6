//! Rows that hosts publish in the store: their addresses, readiness, weight and clock offset.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::id::{HostId, Incarnation, ZoneId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::clock;

/// Table of the host rows.
pub const TABLE: &str = "hosts";
/// Key of the lease in the same table, so that one feed delivers both.
pub const LEASE_KEY: &str = "lease";
/// Prefix of the keys of host rows.
pub const PREFIX: &str = "host/";

/// Row of one process incarnation of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the host.
    pub host: HostId,
    /// Process incarnation of the host.
    pub incarnation: Incarnation,
    /// Availability zone in which the host runs.
    pub zone: ZoneId,
    /// Address to which callers connect.
    pub address: SocketAddr,
    /// Address to which other hosts connect; `None` if the host takes no part in the relay.
    pub relay: Option<SocketAddr>,
    /// Whether callers may be sent to the host.
    pub ready: bool,
    /// Relative size of the host, which determines its share of the callers.
    pub weight: f64,
    /// The host's time of day minus the store's clock, in milliseconds; `None` while the latter is
    /// not known.
    pub offset: Option<i64>,
    /// The store's clock at which the row was built, in milliseconds; 0 if not known.
    pub at: u64,
}

impl Row {
    /// Returns the key of the row, which is also the key of the incarnation.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.host, self.incarnation)
    }
}

/// Rows of all hosts as last read from the store.
///
/// A host is live if it wrote its row shortly before the store's newest response. Ages are measured
/// on the store's clock only, so that rows do not expire during an outage of the store. For a short
/// time after one, ages count as before it, so that all hosts can write again.
#[derive(Debug, Default)]
pub struct Hosts {
    rows: HashMap<String, Row>,
    /// The store's clock at its newest response, in milliseconds; 0 before the first.
    clock: u64,
    /// After an outage: the store's clock before it, and until when ages are measured against that.
    frozen: Option<(u64, Instant)>,
    /// Largest number of live hosts so far.
    peak: usize,
}

/// Time without a write after which a host is no longer live and not listed to callers: two
/// heartbeats and the duration of a call.
const HOST_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time between two responses of the store above which there was an outage between them.
const OUTAGE_GAP: Duration = Duration::from_millis(3_000);
/// Time after an outage within which all hosts write again.
const RECOVERY_TIME: Duration = Duration::from_millis(2_000);

impl Hosts {
    /// Inserts a row, unless a newer one of the same incarnation is known: the reader of a zone may
    /// write an older copy after the host has written by itself.
    pub fn insert(&mut self, row: Row) {
        let key = row.key();
        let is_newer = self
            .rows
            .get(&key)
            .is_none_or(|current| current.at <= row.at);
        if is_newer {
            self.rows.insert(key, row);
        }
    }

    /// Removes a row by its key.
    pub fn remove(&mut self, key: &str) {
        self.rows.remove(key);
    }

    /// Records that all rows were read up to `clock`, the store's clock in milliseconds.
    pub fn observe(&mut self, now: Instant, clock: u64) {
        if self.clock > 0 && clock.saturating_sub(self.clock) > millis(OUTAGE_GAP) {
            self.frozen = Some((self.clock, now + RECOVERY_TIME));
        }
        self.clock = self.clock.max(clock);
    }

    /// Returns the store's clock against which the ages of rows are measured, in milliseconds.
    fn reference(&self, now: Instant) -> u64 {
        match self.frozen {
            Some((clock, until)) if now < until => clock,
            _ => self.clock,
        }
    }

    /// Returns the rows of live hosts, with the newest incarnation of each.
    pub fn live(&self, now: Instant) -> Vec<&Row> {
        let oldest = self.reference(now).saturating_sub(millis(HOST_TIMEOUT));
        let mut newest: HashMap<&HostId, &Row> = HashMap::new();
        for row in self.rows.values().filter(|row| row.at >= oldest) {
            let current = newest.entry(&row.host).or_insert(row);
            if row.at > current.at {
                *current = row;
            }
        }
        newest.into_values().collect()
    }

    /// Returns the number of hosts that share budgets: the live ones, and at least half of the
    /// largest number that was ever live, because hosts whose rows are missing may still serve.
    pub fn sharing_hosts(&mut self, now: Instant) -> usize {
        let live = self.live(now).len();
        self.peak = self.peak.max(live);
        live.max(self.peak.div_ceil(2))
    }

    /// Returns the reader of each zone, which reads and writes the store for the other hosts: the
    /// ready host of the largest weight, the first by name among equals. The choice is the same on
    /// all hosts.
    pub fn readers(&self, now: Instant) -> BTreeMap<&ZoneId, &Row> {
        let mut readers: BTreeMap<&ZoneId, &Row> = BTreeMap::new();
        for row in self.live(now).into_iter().filter(|row| row.ready) {
            let reader = readers.entry(&row.zone).or_insert(row);
            let by_size = row.weight.total_cmp(&reader.weight);
            if by_size.then_with(|| reader.host.cmp(&row.host)).is_gt() {
                *reader = row;
            }
        }
        readers
    }

    /// Returns all rows, including those of ended incarnations.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the keys of rows that were not written for `limit`.
    pub fn stale(&self, limit: Duration) -> Vec<String> {
        let oldest = self.clock.saturating_sub(millis(limit));
        let stale = self.rows.iter().filter(|(_, row)| row.at < oldest);
        stale.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the offset between time of day and the store's clock on which most live hosts agree,
    /// in milliseconds; `None` if no live host reports one.
    pub fn offset(&self, now: Instant) -> Option<i64> {
        let live = self.live(now);
        let mut offsets: Vec<i64> = live.iter().filter_map(|row| row.offset).collect();
        clock::agreed_offset(&mut offsets)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
