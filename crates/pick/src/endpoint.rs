//! Load, health and declaration of one endpoint, as a picker tracks them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use agate_model::endpoint::{Kind, Protocol};
use agate_model::id::{EndpointId, TIER_COUNT, ZoneId};

use crate::health::Health;
use crate::pool;
use crate::selection::Report;
use crate::tuning::Tuning;

slotmap::new_key_type! {
    /// Identifies an endpoint within one [`crate::Picker`]; not valid in another one.
    pub struct Key;
}

/// Age of a load report up to which the number of own requests at that time is known.
const HISTORY: Duration = Duration::from_secs(10);
/// Most entries that the history of own requests holds; the oldest ones are dropped first.
const HISTORY_LEN: usize = 256;
/// Share of its slots that an endpoint counts with at the start of its slow start.
const SLOW_START_MIN: f64 = 0.1;

/// Load that other hosts put on the endpoint, derived from its last report.
#[derive(Clone, Copy, Debug)]
struct RemoteLoad {
    /// Requests running and queued, without those of this host.
    load: f64,
    /// Time at which the endpoint counted them.
    at: Instant,
}

/// State of one endpoint, which may or may not be a member of its pool.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Name, from which the ranks in the [`crate::table::Table`] follow.
    pub(crate) id: EndpointId,
    pub(crate) pool: pool::Key,
    pub(crate) zone: ZoneId,
    pub(crate) kind: Kind,
    /// Declared number of requests that run at once, at least 1.
    pub(crate) slots: u32,
    /// Whether the endpoint queues requests itself and starts higher tiers first.
    has_priorities: bool,
    /// Whether the endpoint takes no new work; it is then not a member of its pool.
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Number of requests that this host has in flight on the endpoint.
    pub(crate) own: u32,
    /// Values of `own` and the times at which it changed to them, oldest first.
    history: VecDeque<(Instant, u32)>,
    /// Load of other hosts as last reported; `None` before the first report.
    remote: Option<RemoteLoad>,
    /// Time at which the slow start started: the endpoint was added or readmitted.
    slow_start_since: Instant,
}

impl Entry {
    /// Creates an entry that is not yet a member of its pool, whatever `endpoint.leaving` says.
    pub(crate) fn new(
        now: Instant,
        pool: pool::Key,
        endpoint: &agate_model::endpoint::Endpoint,
    ) -> Self {
        Self {
            id: endpoint.id.clone(),
            pool,
            zone: endpoint.zone.clone(),
            kind: endpoint.kind,
            slots: endpoint.slots.max(1),
            has_priorities: endpoint.protocol == Protocol::Engine,
            leaving: true,
            health: Health::default(),
            own: 0,
            history: VecDeque::new(),
            remote: None,
            slow_start_since: now,
        }
    }

    /// Sets the number of own requests in flight and records it in the history.
    pub(crate) fn set_own(&mut self, now: Instant, own: u32) {
        self.own = own;
        self.history.push_back((now, own));
        while self.history.len() > HISTORY_LEN || self.is_stale(now) {
            self.history.pop_front();
        }
    }

    /// Returns whether the oldest entry of the history ended more than [`HISTORY`] ago.
    fn is_stale(&self, now: Instant) -> bool {
        self.history
            .get(1)
            .is_some_and(|next| now.saturating_duration_since(next.0) > HISTORY)
    }

    /// Replaces the remote load by that of a report. The report counts requests of all
    /// hosts, so those that this host had in flight at that time are subtracted.
    pub(crate) fn report(&mut self, now: Instant, report: &Report) {
        let at = now.checked_sub(report.age).unwrap_or(now);
        let total = f64::from(report.running + report.queued);
        let load = (total - f64::from(self.own_at(at))).max(0.0);
        self.remote = Some(RemoteLoad { load, at });
    }

    /// Returns the number of own requests in flight at a time; zero before the history starts.
    fn own_at(&self, at: Instant) -> u32 {
        let later = self.history.partition_point(|entry| entry.0 <= at);
        match later.checked_sub(1) {
            Some(index) => self.history[index].1,
            None => 0,
        }
    }

    /// Returns the load from other hosts. The weight of the last report decays with its age
    /// in favour of `estimate`, which is also used without a report.
    pub(crate) fn remote_load(&self, now: Instant, estimate: f64, tuning: &Tuning) -> f64 {
        let Some(remote) = self.remote else {
            return estimate;
        };
        let age = now.saturating_duration_since(remote.at).as_secs_f64();
        let weight = (-age / tuning.report_decay.as_secs_f64()).exp();
        weight * remote.load + (1.0 - weight) * estimate
    }

    /// Returns the load from other hosts as last reported, whatever its age; zero if never.
    pub(crate) fn reported_load(&self) -> f64 {
        self.remote.map_or(0.0, |remote| remote.load)
    }

    /// Returns the slots to count with: they grow linearly over the slow start, see
    /// [`Tuning::slow_start`].
    pub(crate) fn warm_slots(&self, now: Instant, tuning: &Tuning) -> f64 {
        let age = now
            .saturating_duration_since(self.slow_start_since)
            .as_secs_f64();
        let warm = age / tuning.slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
        f64::from(self.slots) * warm.clamp(SLOW_START_MIN, 1.0)
    }

    /// Returns the slots counted for a tier, relative to those of the endpoint. At most 1 if
    /// the endpoint knows no priorities.
    fn headroom(&self, tier: usize, tuning: &Tuning) -> f64 {
        let headroom = tuning.headroom[tier];
        if self.has_priorities {
            headroom
        } else {
            headroom.min(1.0)
        }
    }

    /// Returns the lowest tier of which this host may add another request, or `None` if the
    /// endpoint is full for every tier. `allowances` are the requests that the host may have
    /// in flight on the pool, by tier; the endpoint gets the part that its slots are of
    /// `pool_slots`, and at least one request.
    pub(crate) fn lowest_tier(
        &self,
        allowances: &[f64; TIER_COUNT],
        pool_slots: u32,
        tuning: &Tuning,
    ) -> Option<usize> {
        let slot_share = f64::from(self.slots) / f64::from(pool_slots.max(1));
        let fits = |&tier: &usize| {
            let capacity = (f64::from(self.slots) * self.headroom(tier, tuning)).ceil() as u32;
            let allowed = (allowances[tier] * slot_share).ceil() as u32;
            self.own < allowed.min(capacity).max(1)
        };
        (0..TIER_COUNT).rev().find(fits)
    }

    /// Ends an ejection and starts the slow start again. `median` is the time per token of
    /// the pool, which the endpoint is taken to have until it is measured anew.
    pub(crate) fn readmit(&mut self, now: Instant, median: Option<f64>) {
        self.health.readmit(median);
        self.slow_start_since = now;
    }

    /// Returns the time since the endpoint was added or readmitted.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.slow_start_since)
    }
}
