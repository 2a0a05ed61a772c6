//! One endpoint as a picker sees it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use agate_model::endpoint::{Kind, Protocol};
use agate_model::id::{EndpointId, TIER_COUNT, ZoneId};

use crate::health::Health;
use crate::pool;
use crate::tuning::Tuning;
use crate::wish::Report;

slotmap::new_key_type! {
    /// An endpoint.
    pub struct Key;
}

/// Longest lag of a report for which own requests are remembered.
const HISTORY: Duration = Duration::from_secs(10);
/// Longest history.
const HISTORY_LEN: usize = 256;
/// Share of an endpoint that it gets at the begin of its slow start.
const SLOW_START_MIN: f64 = 0.1;

/// Load from other hosts, as last reported.
#[derive(Clone, Copy, Debug)]
struct Others {
    load: f64,
    at: Instant,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) id: EndpointId,
    pub(crate) pool: pool::Key,
    pub(crate) zone: ZoneId,
    pub(crate) kind: Kind,
    pub(crate) slots: u32,
    /// Whether its own queue starts higher tiers first.
    has_priorities: bool,
    /// Takes no new work; not a member of its pool.
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Own requests in flight.
    pub(crate) own: u32,
    /// Own requests in flight since these times, oldest first.
    history: VecDeque<(Instant, u32)>,
    others: Option<Others>,
    /// Begin of the slow start.
    since: Instant,
}

impl Entry {
    /// An entry that is not yet a member of its pool.
    pub(crate) fn new(now: Instant, pool: pool::Key, it: &agate_model::endpoint::Endpoint) -> Self {
        Self {
            id: it.id.clone(),
            pool,
            zone: it.zone.clone(),
            kind: it.kind,
            slots: it.slots.max(1),
            has_priorities: it.protocol == Protocol::Engine,
            leaving: true,
            health: Health::default(),
            own: 0,
            history: VecDeque::new(),
            others: None,
            since: now,
        }
    }

    /// Changes the number of own requests in flight.
    pub(crate) fn set_own(&mut self, now: Instant, own: u32) {
        self.own = own;
        self.history.push_back((now, own));
        while self.history.len() > HISTORY_LEN || self.is_stale(now) {
            self.history.pop_front();
        }
    }

    fn is_stale(&self, now: Instant) -> bool {
        self.history
            .get(1)
            .is_some_and(|next| now.saturating_duration_since(next.0) > HISTORY)
    }

    /// Takes up a report. Its figures include the requests that this host had
    /// in flight when they were taken.
    pub(crate) fn report(&mut self, now: Instant, report: &Report) {
        let at = now.checked_sub(report.age).unwrap_or(now);
        let total = f64::from(report.running + report.queued);
        let load = (total - f64::from(self.own_at(at))).max(0.0);
        self.others = Some(Others { load, at });
    }

    fn own_at(&self, at: Instant) -> u32 {
        let later = self.history.partition_point(|entry| entry.0 <= at);
        match later.checked_sub(1) {
            Some(place) => self.history[place].1,
            None => 0,
        }
    }

    /// Load from other hosts: the report, fading into `guess` with its age.
    pub(crate) fn others(&self, now: Instant, guess: f64, tuning: &Tuning) -> f64 {
        let Some(others) = self.others else {
            return guess;
        };
        let age = now.saturating_duration_since(others.at).as_secs_f64();
        let weight = (-age / tuning.report_memory.as_secs_f64()).exp();
        weight * others.load + (1.0 - weight) * guess
    }

    /// Load from other hosts as last reported, whatever its age.
    pub(crate) fn reported(&self) -> f64 {
        self.others.map_or(0.0, |it| it.load)
    }

    /// Slots that it can be trusted with so soon after its start.
    pub(crate) fn warm_slots(&self, now: Instant, tuning: &Tuning) -> f64 {
        let age = now.saturating_duration_since(self.since).as_secs_f64();
        let warm = age / tuning.slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
        f64::from(self.slots) * warm.clamp(SLOW_START_MIN, 1.0)
    }

    fn headroom(&self, tier: usize, tuning: &Tuning) -> f64 {
        let headroom = tuning.headroom[tier];
        if self.has_priorities {
            headroom
        } else {
            headroom.min(1.0)
        }
    }

    /// The lowest tier for which another request may be added, when this host
    /// may have `allowances` on the whole pool.
    pub(crate) fn lowest_tier(
        &self,
        allowances: &[f64; TIER_COUNT],
        pool_slots: u32,
        tuning: &Tuning,
    ) -> Option<usize> {
        let part = f64::from(self.slots) / f64::from(pool_slots.max(1));
        let fits = |&tier: &usize| {
            let whole = (f64::from(self.slots) * self.headroom(tier, tuning)).ceil() as u32;
            let cap = (allowances[tier] * part).ceil() as u32;
            self.own < cap.min(whole).max(1)
        };
        (0..TIER_COUNT).rev().find(fits)
    }

    /// Ends an ejection; the endpoint starts slowly again.
    pub(crate) fn readmit(&mut self, now: Instant, median: Option<f64>) {
        self.health.readmit(median);
        self.since = now;
    }

    /// Time since it was added or readmitted.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
