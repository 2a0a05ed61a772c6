//! Ranks the endpoints that may serve a request.

use std::collections::HashSet;
use std::time::Duration;

use agate_model::id::ZoneId;
use tokio::time::Instant;

use super::{Balancer, Criteria, Key};
use crate::estimate::hash_pair;

/// Least number of open endpoints in the host's zone, as a fraction of an equal share per zone, at
/// which the zone serves its requests alone.
const LOCAL_SHARE: f64 = 0.8;
/// Least absolute number of open endpoints in the zone for the same.
const LOCAL_MIN: usize = 4;
/// Age of the news of other hosts above which the choice rests on this host's own requests.
const MAX_NEWS_AGE: Duration = Duration::from_secs(3);
/// Least number of endpoints of which the one with the least work is chosen when hosts know each other's
/// load. All hosts know the same, so each looks at its own random few: otherwise all would choose the
/// same endpoint until the next news.
const MIN_DRAWN: usize = 3;
/// Multiple of this host's own slack while the load of other hosts is known and bounded: what is left of the bound
/// on its own work is for the time until they know of a surge.
const INFORMED_SLACK: f64 = 2.0;

impl Balancer {
    /// Returns the open endpoints of the request's subset, or all open ones if it has none. The
    /// light subset is the first part of an order of the warm ones that all hosts share. Light requests
    /// spill over to the other endpoints once those of their subset are at half of `limit`.
    pub(super) fn in_subset(
        &self,
        now: Instant,
        open: Vec<Key>,
        criteria: &Criteria<'_>,
        limit: u32,
    ) -> Vec<Key> {
        let Some(subset) = criteria.subset else {
            return open;
        };
        let ready = || {
            let ready = self.ready(criteria.service);
            ready.filter(|key| self.cold_until(now, &self.entries[*key]).is_none())
        };
        let light_count = subset.light_count(ready().count());
        // Both have the order of the service's endpoints.
        let mut rest = open.iter().copied().peekable();
        let mut is_open = |key: &Key| rest.next_if_eq(key).is_some();
        let preferred: Vec<Key> = if subset.is_light {
            let light = ready().take(light_count).filter(&mut is_open);
            let max_running = limit.div_ceil(2);
            light
                .filter(|key| self.entries[*key].running < max_running)
                .collect()
        } else {
            let light = ready().take(light_count).filter(&mut is_open).count();
            open[light..].to_vec()
        };
        if preferred.is_empty() {
            open
        } else {
            preferred
        }
    }

    /// Returns the open endpoints of this host's zone if they are about as many as in other zones,
    /// otherwise all open ones.
    pub(super) fn in_zone(&self, open: &[Key], criteria: &Criteria<'_>) -> Vec<Key> {
        let zone = |key: &Key| &self.entries[*key].endpoint.zone;
        let zones: HashSet<&ZoneId> = open.iter().map(zone).collect();
        let local = open
            .iter()
            .filter(|key| zone(key) == criteria.zone)
            .copied();
        let local: Vec<Key> = local.collect();
        let share = open.len() as f64 / zones.len().max(1) as f64;
        if local.len() >= LOCAL_MIN && local.len() as f64 >= share * LOCAL_SHARE {
            return local;
        }
        open.to_vec()
    }

    /// Returns whether the load of other hosts is known, so that the choice may rest on it.
    fn is_informed(&self, now: Instant, criteria: &Criteria<'_>) -> bool {
        let age = self.learned_at.map(|at| now.saturating_duration_since(at));
        criteria.hosts > 1 && age.is_some_and(|age| age < MAX_NEWS_AGE)
    }

    /// Returns the endpoint with the least load for its speed; a random one of several. Load is the
    /// work of all hosts if that is known, otherwise this host's requests in flight, then their work.
    pub(super) fn least_loaded(
        &self,
        now: Instant,
        open: &[Key],
        criteria: &Criteria<'_>,
    ) -> Option<Key> {
        let is_informed = self.is_informed(now, criteria);
        let drawn = match is_informed {
            true => MIN_DRAWN.max(open.len() / criteria.hosts),
            false => open.len(),
        };
        let offset = rand::random_range(0..open.len().max(1));
        let rotated = open.iter().cycle().skip(offset).take(open.len());
        let load = |key: Key| {
            let entry = &self.entries[key];
            let speed = entry.load.speed_step(now);
            if is_informed {
                let work = entry.work + entry.load.others(now).work + criteria.cost;
                return (work / speed, 0.0);
            }
            (f64::from(entry.running + 1) / speed, entry.work / speed)
        };
        let rotated = match drawn < open.len() {
            true => sample(open, drawn),
            false => rotated.copied().collect(),
        };
        let loads = rotated.into_iter().map(|key| (load(key), key));
        let least = loads.min_by(|(left, _), (right, _)| {
            left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal)
        });
        least.map(|(_, key)| key)
    }

    /// Returns the endpoint of the highest rank for `prefix` whose work is below the bound, or the
    /// least loaded one if none is. A slow endpoint has a lower bound. The work of other hosts is
    /// bounded too if it is known.
    pub(super) fn by_prefix(
        &self,
        now: Instant,
        open: &[Key],
        prefix: u64,
        criteria: &Criteria<'_>,
    ) -> Option<Key> {
        let work = criteria.cost;
        let bound = |total: f64, slack: f64| {
            let mean = (total + work) / open.len().max(1) as f64;
            mean * self.tuning.balance_factor + slack
        };
        let own_total: f64 = open.iter().map(|key| self.entries[*key].work).sum();
        let is_informed = self.is_informed(now, criteria);
        let own_slack = self.tuning.slack / criteria.hosts.max(1) as f64;
        let own_limit = match is_informed {
            true => bound(own_total, own_slack * INFORMED_SLACK),
            false => bound(own_total, own_slack),
        };
        let others = |key: &Key| self.entries[*key].load.others(now).work;
        let shared_limit = match is_informed {
            true => bound(own_total + open.iter().map(others).sum::<f64>(), 0.0),
            false => f64::INFINITY,
        };
        let is_below = |key: &&Key| {
            let entry = &self.entries[**key];
            let speed = entry.load.speed(now).min(1.0);
            let own = entry.work + work;
            // What it runs at once: below that, to disturb each other costs less than to read a prompt again.
            let slack = f64::from(entry.endpoint.slots) * work;
            let limit = shared_limit + slack;
            let is_below = own <= (own_limit * speed).max(work);
            is_below && (!is_informed || own + others(key) <= (limit * speed).max(work))
        };
        let found = open
            .iter()
            .filter(is_below)
            .max_by_key(|key| hash_pair(prefix, &self.entries[**key].endpoint.id));
        found
            .copied()
            .or_else(|| self.least_loaded(now, open, criteria))
    }
}

/// Returns `count` different keys at random.
fn sample(keys: &[Key], count: usize) -> Vec<Key> {
    let indices = rand::seq::index::sample(&mut rand::rng(), keys.len(), count);
    indices.into_iter().map(|index| keys[index]).collect()
}
