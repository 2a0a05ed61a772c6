//! Estimates from the work offered to all hosts how many endpoints a service needs.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::config::Scale;
use crate::ledger::Row;

/// Endpoints in addition to those that the work needs, to serve a burst until more have started.
const SPARE_ENDPOINTS: f64 = 3.0;
/// Time window over which the highest load counts, so that endpoints are not released between two
/// bursts.
const PEAK_WINDOW: Duration = Duration::from_secs(15);
/// Boots for which the highest load counts as present: what was ordered for a burst serves the next one if
/// that comes before others could have started.
const HOLD_BOOTS: u32 = 2;
/// Consecutive observations, each above the one before, after which the load counts as growing. A burst
/// rises in fewer: each host's row tells of it within 1.2 s, and once more.
const MIN_GROWTH: usize = 6;
/// Factor between two of them below which the load counts as steady.
const MIN_RISE: f64 = 1.01;
/// Largest load foreseen at the end of a boot, as a multiple of the present one: growth rarely lasts.
const MAX_GROWTH: f64 = 1.5;
/// Time from the order of an endpoint until it accepts requests, unless the configuration states it.
const DEFAULT_BOOT: Duration = Duration::from_secs(4);
/// Time from the first observed work until standard endpoints that were there at the start may be
/// released. A burst may be in progress, and reclaimable endpoints may be taken away during it.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time without growth after which the list of endpoints counts as complete.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Share of standard endpoints, which are not taken away, among the needed endpoints.
const BASE_SHARE: f64 = 0.12;
/// Minimum number of standard endpoints.
const MIN_BASE: u32 = 2;

/// Work that one endpoint takes: the share of its time for which the work keeps it busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capability {
    /// Work with which its responses are in time outside of bursts.
    pub target: f64,
    /// Work above which its queue grows.
    pub limit: f64,
}

impl Default for Capability {
    fn default() -> Self {
        Self {
            target: 0.45,
            limit: 0.6,
        }
    }
}

/// Number of endpoints that a service needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirement {
    /// Endpoints of both kinds, including the reserve for bursts.
    pub total: u32,
    /// Endpoints of both kinds without the reserve, to be met even with standard ones alone.
    pub minimum: u32,
    /// Endpoints of both kinds for the load foreseen over a boot, without the reserve and without earlier
    /// peaks: standard ones beyond the plan are kept for these only.
    pub present: u32,
    /// Minimum number of standard endpoints.
    pub base: u32,
    /// Load: the number of endpoints that the work would keep fully busy, in earlier peaks too.
    pub load: f64,
    /// Whether the work was observed too briefly to release any standard endpoint.
    pub is_provisional: bool,
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
#[derive(Debug)]
pub struct Demand {
    /// What one endpoint takes.
    capability: Capability,
    /// Time from the order of an endpoint until it accepts requests.
    boot: Duration,
    /// Endpoints that all zones together allow.
    room: u32,
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

impl Default for Demand {
    fn default() -> Self {
        Self {
            capability: Capability::default(),
            boot: DEFAULT_BOOT,
            room: u32::MAX,
            samples: HashMap::new(),
            peaks: VecDeque::new(),
            initial: None,
            is_settled: false,
            started: None,
        }
    }
}

impl Demand {
    /// Sets what one endpoint takes, and the bounds for orders.
    pub fn set_bounds(&mut self, capability: Capability, scale: &Scale) {
        let zones = u32::try_from(scale.zone_prices.len()).unwrap_or(u32::MAX);
        self.capability = capability;
        self.boot = scale.boot;
        self.room = scale.max.saturating_mul(zones);
    }

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
        (now.saturating_duration_since(started) >= WARM_UP).then(|| self.held())
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
    fn held(&self) -> f64 {
        self.peaks.iter().map(|peak| peak.1).fold(0.0, f64::max)
    }

    /// Returns the load that is foreseen until an endpoint ordered now accepts requests: the highest one
    /// of the last boots, or more while it grows.
    fn foreseen(&self, now: Instant) -> f64 {
        let is_recent = |peak: &&(Instant, f64)| {
            now.saturating_duration_since(peak.0) <= self.boot * HOLD_BOOTS
        };
        let recent = self.peaks.iter().filter(is_recent);
        let level = recent.map(|peak| peak.1).fold(0.0, f64::max);
        let last = self
            .peaks
            .range(self.peaks.len().saturating_sub(MIN_GROWTH)..);
        let last: Vec<(Instant, f64)> = last.copied().collect();
        let is_growing = last.windows(2).all(|pair| pair[0].1 * MIN_RISE < pair[1].1);
        let (Some(from), Some(to)) = (last.first(), last.last()) else {
            return level;
        };
        if last.len() < MIN_GROWTH || !is_growing || from.1 <= 0.0 {
            return level;
        }
        let span = to.0.saturating_duration_since(from.0).as_secs_f64();
        let growth = (to.1 - from.1) / span.max(f64::EPSILON) * self.boot.as_secs_f64();
        level.max((to.1 + growth).min(to.1 * MAX_GROWTH))
    }

    /// Returns the number of endpoints that are needed; `None` until the list has settled. Until
    /// work was observed for `PEAK_WINDOW`, at least the initial endpoints are needed.
    pub fn endpoints(&self, now: Instant) -> Option<Requirement> {
        let Capability { target, limit } = self.capability;
        let foreseen = self.foreseen(now);
        let load = self.held().max(foreseen);
        let by_load = (load / target + SPARE_ENDPOINTS).ceil() as u32;
        let observed_for = self.started.map(|at| now.saturating_duration_since(at));
        let is_known = observed_for.is_some_and(|time| time >= PEAK_WINDOW);
        let total = match is_known {
            true => by_load,
            false => by_load.max(self.initial.filter(|_| self.is_settled)?.0),
        };
        let total = total.min(self.room);
        let without_reserve = |load: f64| ((load / limit).ceil() as u32 + 1).min(total);
        let base = (f64::from(total) * BASE_SHARE).ceil() as u32;
        Some(Requirement {
            total,
            minimum: without_reserve(load),
            // How high the load rises is not known before.
            present: without_reserve(if is_known { foreseen } else { load }),
            base: base.max(MIN_BASE).min(total),
            load,
            is_provisional: observed_for.is_none_or(|time| time < WARM_UP),
        })
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
