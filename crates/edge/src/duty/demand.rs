//! Work that all hosts are offered, and the endpoints that it takes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::Row;

/// Busy share of an endpoint at which its answers are in time beside bursts.
const BUSY: f64 = 0.45;
/// Endpoints beside those that the work takes, so that a burst is borne until more have started.
const RESERVE: f64 = 3.0;
/// Busy share of an endpoint above which its line grows.
const BUSIEST: f64 = 0.6;
/// Work of the highest seconds within this time counts, so that endpoints are not let go between
/// two bursts.
const MEMORY: Duration = Duration::from_secs(15);
/// Standard endpoints that were found are kept until work has been watched for this long: a burst
/// may be under way, and reclaimable ones may be taken away in it.
const WATCH: Duration = Duration::from_secs(5);
/// The list counts as complete once it has not grown for this long.
const SETTLED: Duration = Duration::from_secs(2);
/// Share of the needed endpoints that are of the kind that nobody takes away.
const BASE_SHARE: f64 = 0.12;
/// Fewest endpoints of that kind.
const LEAST_BASE: u32 = 2;

/// Endpoints that are needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Needed {
    /// Of both kinds, with a reserve.
    pub total: u32,
    /// Of both kinds, at any price.
    pub least: u32,
    /// Of the standard kind at least.
    pub base: u32,
    /// Endpoints that would be wholly busy with the work.
    pub load: f64,
    /// Whether too little is known to let any standard endpoint go.
    pub is_early: bool,
}

impl Needed {
    fn new(total: u32, load: f64, is_early: bool) -> Self {
        let base = (f64::from(total) * BASE_SHARE).ceil() as u32;
        let least = (load / BUSIEST).ceil() as u32 + 1;
        Self {
            total,
            least: least.min(total),
            base: base.max(LEAST_BASE).min(total),
            load,
            is_early,
        }
    }
}

/// What one run of a host has offered.
#[derive(Clone, Copy, Debug)]
struct Offered {
    /// The store's clock when it said so, in milliseconds.
    at: u64,
    work: f64,
    /// Endpoints that its work keeps busy.
    rate: f64,
}

/// Work offered to one service by all hosts.
#[derive(Debug, Default)]
pub struct Demand {
    runs: HashMap<String, Offered>,
    peaks: VecDeque<(Instant, f64)>,
    /// Endpoints that were there at the start, and since when.
    found: Option<(u32, Instant)>,
    /// Whether the list was complete when `found` was taken.
    is_settled: bool,
    /// When the first work came.
    began: Option<Instant>,
}

impl Demand {
    /// Takes the rows of live hosts in. Rows carry totals since the start of a run; a host that
    /// was cut off brings the work of that time as a mean over it, not as one burst.
    pub fn observe(&mut self, now: Instant, service: &str, rows: &[&Row], listed: u32) {
        let mut total = 0.0;
        for row in rows {
            let Some(offer) = row.offers.get(service) else {
                continue;
            };
            let fresh = Offered {
                at: row.at,
                work: offer.work,
                rate: 0.0,
            };
            let known = self.runs.entry(row.run.clone()).or_insert(fresh);
            if row.at > known.at {
                let millis = (row.at - known.at) as f64;
                known.rate = (offer.work - known.work).max(0.0) / millis;
                known.at = row.at;
                known.work = offer.work;
            }
            total += known.rate;
        }
        if total > 0.0 {
            self.began.get_or_insert(now);
        }
        self.find(now, listed);
        push(&mut self.peaks, now, total, MEMORY);
    }

    /// Takes over what an earlier holder knew: the work of its highest second, `age` ago. It had
    /// watched the work, so this holder need not wait until it has.
    pub fn recall(&mut self, now: Instant, load: f64, age: Duration) {
        if age >= MEMORY {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        self.peaks.push_front((at, load));
        self.began = now.checked_sub(MEMORY);
    }

    /// What the next holder is to know, once the work was watched: that of the highest second.
    pub fn peak(&self, now: Instant) -> Option<f64> {
        let began = self.began?;
        (now.saturating_duration_since(began) >= WATCH).then(|| self.load())
    }

    /// Notes the endpoints that were there before this host ordered any.
    fn find(&mut self, now: Instant, listed: u32) {
        if self.is_settled {
            return;
        }
        match self.found {
            Some((count, since)) if listed <= count => {
                let age = now.saturating_duration_since(since);
                self.is_settled = age >= SETTLED || self.began.is_some();
            }
            _ => self.found = Some((listed, now)),
        }
    }

    fn load(&self) -> f64 {
        self.peaks.iter().map(|it| it.1).fold(0.0, f64::max)
    }

    /// Endpoints that are needed; `None` until the list has settled. Before the work has been
    /// watched for a while, those that were found are needed too.
    pub fn endpoints(&self, now: Instant) -> Option<Needed> {
        let load = self.load();
        let by_load = (load / BUSY + RESERVE).ceil() as u32;
        let watched = self.began.map(|it| now.saturating_duration_since(it));
        let is_early = watched.is_none_or(|it| it < WATCH);
        if watched.is_some_and(|it| it >= MEMORY) {
            return Some(Needed::new(by_load, load, is_early));
        }
        let (found, _) = self.found.filter(|_| self.is_settled)?;
        Some(Needed::new(by_load.max(found), load, is_early))
    }
}

fn push(values: &mut VecDeque<(Instant, f64)>, now: Instant, value: f64, span: Duration) {
    values.push_back((now, value));
    while values
        .front()
        .is_some_and(|it| now.saturating_duration_since(it.0) > span)
    {
        values.pop_front();
    }
}
