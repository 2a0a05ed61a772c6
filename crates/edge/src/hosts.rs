//! Rows that hosts publish in the store: their addresses, readiness, weight and clock offset.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::id::{Era, HostId, Incarnation, ZoneId};
use agate_poison::report::Report;
use agate_store::interface::Change;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::clock;
use crate::limits;
use crate::outage::RECOVERY_TIME;
use crate::relay;
use crate::share::Digest;
use crate::version::Held;

/// Table of the host rows.
pub const TABLE: &str = "hosts";
/// Key of the lease in the same table, so that one feed delivers both.
pub const LEASE_KEY: &str = "lease";
/// Name under which hosts hand the rows of live hosts on.
pub const RELAY_TABLE: &str = "live";
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
    /// Whether the host was told to stop, so that it no longer reads for others.
    #[serde(default)]
    pub leaving: bool,
    /// Relative size of the host, which determines its share of the callers.
    pub weight: f64,
    /// The host's time of day minus the store's clock, in milliseconds; `None` while the latter is
    /// not known.
    pub offset: Option<i64>,
    /// The store's clock at which the row was built, in milliseconds; 0 if not known.
    pub at: u64,
    /// Era of the store in which the row was built; `None` if not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// What the host had in force when the row was built; `None` if not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<Held>,
    /// What the host knows of prompts that crash endpoints.
    #[serde(default, skip_serializing_if = "Report::is_empty")]
    pub evidence: Report,
    /// What the host knows of limits that endpoints have named.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<limits::wire::Entry>,
    /// Load of the endpoints from the hosts for which this one reads. Only readers use it, so it is not
    /// handed on.
    #[serde(default, skip_serializing_if = "Digest::is_empty")]
    pub endpoints: Digest,
}

impl Row {
    /// Returns the key of the row, which is also the key of the incarnation.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.host, self.incarnation)
    }

    /// Returns whether both rows say the same of a host, but for the time of the heartbeat.
    fn is_like(&self, other: &Self) -> bool {
        let is_near = match (self.offset, other.offset) {
            (Some(left), Some(right)) => left.abs_diff(right) <= OFFSET_TOLERANCE,
            (left, right) => left == right,
        };
        // Versions of one era are known from the store.
        let held = match self.era == other.era {
            true => other.held,
            false => self.held,
        };
        let (at, offset) = (other.at, other.offset);
        let row = Self {
            at,
            offset,
            held,
            endpoints: other.endpoints.clone(),
            ..self.clone()
        };
        is_near && row == *other
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
    /// Whether the next clock is the first one after a return of the store from an older copy.
    may_step_back: bool,
    /// Era in which rows were last read; `None` before the first read.
    era: Option<Era>,
    /// Whether rows were read in an earlier era too.
    has_returned: bool,
    /// Largest number of live hosts so far.
    peak: usize,
    /// Number of hosts that share budgets and when it was counted, since each request asks for it.
    sharing: Option<(Instant, usize)>,
}

/// Time without a write after which a host is no longer live and not listed to callers: two
/// heartbeats and the duration of a call.
const HOST_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time between two responses of the store above which there was an outage between them.
const OUTAGE_GAP: Duration = Duration::from_millis(3_000);
/// Change of the offset of a host's time of day that is handed on, in milliseconds: a small part of
/// the tolerance of usage windows.
const OFFSET_TOLERANCE: u64 = 20;
/// Time for which a count of the live hosts is used.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

impl Hosts {
    /// Inserts a row, unless a newer one of the same incarnation is known: the reader of a zone may
    /// write an older copy after the host has written by itself. The era of the store comes first, since a relayed row
    /// has the time at which it was handed on.
    pub fn insert(&mut self, row: Row) {
        let key = row.key();
        let is_newer = self
            .rows
            .get(&key)
            .is_none_or(|current| (current.era, current.at) <= (row.era, row.at));
        if is_newer {
            self.rows.insert(key, row);
        }
    }

    /// Returns whether a row says of prompts what the known one of the same incarnation says.
    pub fn has_evidence(&self, row: &Row) -> bool {
        let known = self.rows.get(&row.key());
        match known {
            Some(known) => known.evidence == row.evidence,
            None => row.evidence.is_empty(),
        }
    }

    /// Returns whether a row is the first one of its incarnation since the store has returned.
    pub fn lacks_era(&self, row: &Row) -> bool {
        let known = self.rows.get(&row.key());
        known.is_some_and(|known| known.era.is_some() && known.era < row.era)
    }

    /// Returns whether a row says of limits what the known one of the same incarnation says.
    pub fn has_limits(&self, row: &Row) -> bool {
        let known = self.rows.get(&row.key());
        known.map_or(row.limits.is_empty(), |known| known.limits == row.limits)
    }

    /// Removes a row by its key.
    pub fn remove(&mut self, key: &str) {
        self.rows.remove(key);
    }

    /// Removes all rows.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Inserts the row of a live host as another host published it: its time is not that of the
    /// last heartbeat.
    pub fn replace(&mut self, row: Row) {
        let at = self.clock;
        self.rows.insert(row.key(), Row { at, ..row });
    }

    /// Records that another host, which reads the heartbeats, found the present live hosts live when
    /// the store's clock showed `clock`.
    pub fn renew(&mut self, now: Instant, clock: u64) {
        let live: Vec<String> = self.live(now).into_iter().map(Row::key).collect();
        for key in live {
            if let Some(row) = self.rows.get_mut(&key) {
                row.at = row.at.max(clock);
            }
        }
    }

    /// Returns the keys of live hosts that are missing in `published` or differ from it, with their
    /// rows, and the keys in `published` that no longer belong to live hosts.
    pub fn differences(
        &self,
        now: Instant,
        published: &BTreeMap<String, Change>,
    ) -> Vec<(String, Option<Bytes>)> {
        let live: BTreeMap<String, &Row> = self
            .live(now)
            .into_iter()
            .map(|row| (row.key(), row))
            .collect();
        let gone = published.keys().filter(|key| !live.contains_key(*key));
        let gone: Vec<_> = gone.map(|key| (key.clone(), None)).collect();
        let changed = live.into_iter().filter_map(|(key, row)| {
            let value = published.get(&key).and_then(|change| change.value.as_ref());
            let known = value.and_then(|value| serde_json::from_slice(value).ok());
            if known.is_some_and(|known| row.is_like(&known)) {
                return None;
            }
            let row = Row {
                endpoints: Digest::default(),
                ..row.clone()
            };
            let value = serde_json::to_vec(&row)
                .inspect_err(|err| tracing::error!(event = "host_not_published", error = %err));
            Some((key, Some(Bytes::from(value.ok()?))))
        });
        gone.into_iter().chain(changed).collect()
    }

    /// Returns a digest of the keys of the live hosts.
    pub fn digest(&self, now: Instant) -> u64 {
        let mut keys: Vec<String> = self.live(now).into_iter().map(Row::key).collect();
        keys.sort_unstable();
        relay::digest(keys.iter().map(String::as_str))
    }

    /// Records that the store has returned from an older copy, whose clock may be behind.
    pub fn start_era(&mut self) {
        self.may_step_back = true;
    }

    /// Records that all rows were read up to `clock`, the store's clock in milliseconds.
    pub fn observe(&mut self, now: Instant, clock: u64) {
        if std::mem::take(&mut self.may_step_back) && clock < self.clock {
            let step = self.clock - clock;
            for row in self.rows.values_mut() {
                row.at = row.at.saturating_sub(step);
            }
            self.clock = clock;
        }
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

    /// Records that all rows were read in an era of the store.
    pub fn enter(&mut self, era: Era) {
        self.has_returned |= self.era.replace(era).is_some_and(|before| before < era);
    }

    /// Returns whether all rows were read in `era`, and all hosts that may be live, but for the incarnation `own`,
    /// have written theirs in it. `since` is when the era became known. Rows of builds that name no era do not count.
    pub fn have_named(&self, now: Instant, era: Era, own: &str, since: Instant) -> bool {
        if era == 0 {
            return true;
        }
        if self.era != Some(era) {
            return false;
        }
        let has_named =
            |row: &&Row| row.incarnation == own || row.era.is_none_or(|named| named >= era);
        // The copy's rows may be older than those of live hosts, so they do not tell which hosts are live.
        let is_early = now.saturating_duration_since(since) < HOST_TIMEOUT;
        let may_lack = !self.has_returned && is_early;
        let live = self.live(now);
        live.iter().all(has_named) && (!may_lack || self.newest().values().all(has_named))
    }

    /// Returns the row of the newest incarnation of each host, whether that is live or not.
    fn newest(&self) -> HashMap<&HostId, &Row> {
        let mut newest: HashMap<&HostId, &Row> = HashMap::new();
        for row in self.rows.values() {
            let current = newest.entry(&row.host).or_insert(row);
            if row.at > current.at {
                *current = row;
            }
        }
        newest
    }

    /// Returns the number of hosts that share budgets: the live ones, and at least half of the
    /// largest number that was ever live, because hosts whose rows are missing may still serve.
    pub fn sharing_hosts(&mut self, now: Instant) -> usize {
        if let Some((at, count)) = self.sharing
            && now.saturating_duration_since(at) < COUNT_INTERVAL
        {
            return count;
        }
        let live = self.live(now).len();
        self.peak = self.peak.max(live);
        let count = live.max(self.peak.div_ceil(2));
        self.sharing = Some((now, count));
        count
    }

    /// Returns the reader of each zone, which reads and writes the store for the other hosts: the
    /// host of the largest weight that is not leaving, the first by name among equals. The choice is
    /// the same on all hosts.
    pub fn readers(&self, now: Instant) -> BTreeMap<&ZoneId, &Row> {
        let mut readers: BTreeMap<&ZoneId, &Row> = BTreeMap::new();
        for row in self.live(now).into_iter().filter(|row| !row.leaving) {
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
