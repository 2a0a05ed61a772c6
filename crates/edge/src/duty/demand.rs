//! Estimates from the work offered to all hosts how many endpoints a service needs.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::Row;

/// Utilization of an endpoint at which its responses are in time outside of bursts.
const TARGET_UTILIZATION: f64 = 0.45;
/// Endpoints in addition to those that the work needs, to serve a burst until more have started.
const SPARE_ENDPOINTS: f64 = 3.0;
/// Utilization of an endpoint above which its queue grows.
const MAX_UTILIZATION: f64 = 0.6;
/// Time window over which the highest load counts, so that endpoints are not released between two
/// bursts.
const PEAK_WINDOW: Duration = Duration::from_secs(15);
/// Time from the first observed work until standard endpoints that were there at the start may be
/// released. A burst may be in progress, and reclaimable endpoints may be taken away during it.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time without growth after which the list of endpoints counts as complete.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Share of standard endpoints, which are not taken away, among the needed endpoints.
const BASE_SHARE: f64 = 0.12;
/// Minimum number of standard endpoints.
const MIN_BASE: u32 = 2;

/// Number of endpoints that a service needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirement {
    /// Endpoints of both kinds, including the reserve for bursts.
    pub total: u32,
    /// Endpoints of both kinds without the reserve, to be met even with standard ones alone.
    pub minimum: u32,
    /// Minimum number of standard endpoints.
    pub base: u32,
    /// Load: the number of endpoints that the work would keep fully busy.
    pub load: f64,
    /// Whether the work was observed too briefly to release any standard endpoint.
    pub is_provisional: bool,
}

impl Requirement {
    fn new(total: u32, load: f64, is_provisional: bool) -> Self {
        let base = (f64::from(total) * BASE_SHARE).ceil() as u32;
        let minimum = (load / MAX_UTILIZATION).ceil() as u32 + 1;
        Self {
            total,
            minimum: minimum.min(total),
            base: base.max(MIN_BASE).min(total),
            load,
            is_provisional,
        }
    }
}

/// Work offered to one incarnation of a host, as of its last row.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// The store's clock at which the row was written, in milliseconds.
    at: u64,
    /// Total work since the incarnation started, in milliseconds of an engine.
    work: f64,
    /// Load between the last two rows: endpoints that its work keeps fully busy.
    rate: f64,
}

/// Work offered to one service at all hosts.
#[derive(Debug, Default)]
pub struct Demand {
    /// Last sample by key of the incarnation.
    samples: HashMap<String, Sample>,
    /// Total load at each observation within `PEAK_WINDOW`, oldest first.
    peaks: VecDeque<(Instant, f64)>,
    /// Listed endpoints before this host ordered any, and when their number last grew.
    initial: Option<(u32, Instant)>,
    /// Whether the list counts as complete, so that `initial` is final.
    is_settled: bool,
    /// When work was first observed; `None` before.
    started: Option<Instant>,
}

impl Demand {
    /// Records the rows of live hosts. Rows carry totals since the start of an incarnation, so the
    /// work of a host that was cut off counts as a mean over that time, not as one burst.
    pub fn observe(&mut self, now: Instant, service: &str, rows: &[&Row], listed: u32) {
        let mut total = 0.0;
        for row in rows {
            let Some(offer) = row.offers.get(service) else {
                continue;
            };
            let first = Sample {
                at: row.at,
                work: offer.work,
                rate: 0.0,
            };
            let sample = self.samples.entry(row.run.clone()).or_insert(first);
            if row.at > sample.at {
                let millis = (row.at - sample.at) as f64;
                sample.rate = (offer.work - sample.work).max(0.0) / millis;
                sample.at = row.at;
                sample.work = offer.work;
            }
            total += sample.rate;
        }
        if total > 0.0 {
            self.started.get_or_insert(now);
        }
        self.observe_initial(now, listed);
        push(&mut self.peaks, now, total, PEAK_WINDOW);
    }

    /// Restores the peak load that an earlier holder recorded `age` ago. That holder had observed
    /// the work for long enough, so this one does not wait for the warm-up. A load older than
    /// `PEAK_WINDOW` is ignored.
    pub fn restore(&mut self, now: Instant, load: f64, age: Duration) {
        if age >= PEAK_WINDOW {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        self.peaks.push_front((at, load));
        self.started = now.checked_sub(PEAK_WINDOW);
    }

    /// Returns the peak load for the next holder; `None` until work was observed for `WARM_UP`.
    pub fn peak(&self, now: Instant) -> Option<f64> {
        let started = self.started?;
        (now.saturating_duration_since(started) >= WARM_UP).then(|| self.load())
    }

    /// Records the number of endpoints that were listed before this host ordered any.
    fn observe_initial(&mut self, now: Instant, listed: u32) {
        if self.is_settled {
            return;
        }
        match self.initial {
            Some((count, since)) if listed <= count => {
                let age = now.saturating_duration_since(since);
                self.is_settled = age >= SETTLE_TIME || self.started.is_some();
            }
            _ => self.initial = Some((listed, now)),
        }
    }

    /// Returns the highest load within `PEAK_WINDOW`.
    fn load(&self) -> f64 {
        self.peaks.iter().map(|peak| peak.1).fold(0.0, f64::max)
    }

    /// Returns the number of endpoints that are needed; `None` until the list has settled. Until
    /// work was observed for `PEAK_WINDOW`, at least the initial endpoints are needed.
    pub fn endpoints(&self, now: Instant) -> Option<Requirement> {
        let load = self.load();
        let by_load = (load / TARGET_UTILIZATION + SPARE_ENDPOINTS).ceil() as u32;
        let observed_for = self.started.map(|at| now.saturating_duration_since(at));
        let is_provisional = observed_for.is_none_or(|time| time < WARM_UP);
        if observed_for.is_some_and(|time| time >= PEAK_WINDOW) {
            return Some(Requirement::new(by_load, load, is_provisional));
        }
        let (initial, _) = self.initial.filter(|_| self.is_settled)?;
        Some(Requirement::new(by_load.max(initial), load, is_provisional))
    }
}

/// Appends a value and drops those older than `span`.
fn push(values: &mut VecDeque<(Instant, f64)>, now: Instant, value: f64, span: Duration) {
    values.push_back((now, value));
    while values
        .front()
        .is_some_and(|oldest| now.saturating_duration_since(oldest.0) > span)
    {
        values.pop_front();
    }
}
