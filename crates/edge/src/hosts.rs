//! What hosts tell each other by rows in the store: where callers reach them, and how their
//! clocks stand.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::id::{HostId, Incarnation, ZoneId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::clock;

/// Table of the hosts' rows.
pub const TABLE: &str = "hosts";
/// Key of the lease in the same table, so that one feed brings both.
pub const LEASE_KEY: &str = "lease";
/// Prefix of the keys of hosts.
pub const PREFIX: &str = "host/";

/// The row of one run of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Host.
    pub host: HostId,
    /// Run.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other hosts connect, if they may.
    pub relay: Option<SocketAddr>,
    /// Whether callers are to be sent there.
    pub ready: bool,
    /// Relative size, for the part of the callers that it takes.
    pub weight: f64,
    /// Time of day less the store's clock, in milliseconds.
    pub offset: Option<i64>,
    /// The store's clock at which it was written, in milliseconds.
    pub at: u64,
}

impl Row {
    /// Key of the row.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.host, self.incarnation)
    }
}

/// Rows of all hosts, as far as they were read.
///
/// A host lives if it wrote its row shortly before the store's newest answer. Ages are taken on
/// the store's clock only, so that an outage of the store ages nobody; just after one, all hosts
/// have the time to write again.
#[derive(Debug, Default)]
pub struct Hosts {
    rows: HashMap<String, Row>,
    clock: u64,
    held: Option<(u64, Instant)>,
    most: usize,
}

/// Without a write for this long a host is not named to callers: two heartbeats and the time of a
/// call.
const LAPSE: Duration = Duration::from_millis(3_500);
/// Two answers that are further apart than this have an outage between them.
const OUTAGE: Duration = Duration::from_millis(3_000);
/// Time after an outage within which hosts write again.
const RETURN: Duration = Duration::from_millis(2_000);

impl Hosts {
    /// Takes a row over, unless a newer one of the same run is known: the reader of a zone may
    /// write a copy after its host has written itself.
    pub fn insert(&mut self, row: Row) {
        let key = row.key();
        let is_newer = self.rows.get(&key).is_none_or(|known| known.at <= row.at);
        if is_newer {
            self.rows.insert(key, row);
        }
    }

    /// Forgets a row.
    pub fn remove(&mut self, key: &str) {
        self.rows.remove(key);
    }

    /// All rows were read up to `clock` of the store.
    pub fn observe(&mut self, now: Instant, clock: u64) {
        if self.clock > 0 && clock.saturating_sub(self.clock) > millis(OUTAGE) {
            self.held = Some((self.clock, now + RETURN));
        }
        self.clock = self.clock.max(clock);
    }

    /// The store's clock against which the ages of rows are taken.
    fn reference(&self, now: Instant) -> u64 {
        match self.held {
            Some((clock, until)) if now < until => clock,
            _ => self.clock,
        }
    }

    /// Rows of hosts that live: one run for each, the newest.
    pub fn live(&self, now: Instant) -> Vec<&Row> {
        let oldest = self.reference(now).saturating_sub(millis(LAPSE));
        let mut newest: HashMap<&HostId, &Row> = HashMap::new();
        for row in self.rows.values().filter(|row| row.at >= oldest) {
            let known = newest.entry(&row.host).or_insert(row);
            if row.at > known.at {
                *known = row;
            }
        }
        newest.into_values().collect()
    }

    /// Number of hosts that share budgets: those that live, and at least as many as half of the
    /// most that ever did, since hosts that can't be heard may serve on.
    pub fn sharing(&mut self, now: Instant) -> usize {
        let live = self.live(now).len();
        self.most = self.most.max(live);
        live.max(self.most.div_ceil(2))
    }

    /// The hosts that read the store and write to it for the others, one for each zone: the
    /// largest that is ready, by name among equals. All hosts find the same ones.
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

    /// All rows, of ended runs too.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Keys of rows that were not written for `limit`.
    pub fn stale(&self, limit: Duration) -> Vec<String> {
        let oldest = self.clock.saturating_sub(millis(limit));
        let stale = self.rows.iter().filter(|(_, row)| row.at < oldest);
        stale.map(|(key, _)| key.clone()).collect()
    }

    /// The offset between time of day and the store's clock on which most hosts agree.
    pub fn offset(&self, now: Instant) -> Option<i64> {
        let live = self.live(now);
        let mut offsets: Vec<i64> = live.iter().filter_map(|row| row.offset).collect();
        clock::agreed_offset(&mut offsets)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
