//! Learns the load and speed of endpoints from responses and from other hosts.

use std::collections::HashSet;
use std::time::Duration;

use agate_model::id::EndpointId;
use agate_pick::capacity::Sample;
use tokio::time::Instant;

use super::{Assignment, Balancer, Entry};
use crate::load::{Figure, Load};
use crate::share::{self, News, Tag};

/// Age of what is known of an endpoint from which it is presumed as busy as others.
const MIN_PRESUMED_AGE: Duration = Duration::from_secs(2);

impl Balancer {
    /// Records a complete response to this host. Returns whether the endpoint became slow or recovered.
    pub fn observe(&mut self, now: Instant, assignment: &Assignment, sample: &Sample) -> bool {
        let entry = self.entries.get_mut(assignment.key);
        // A cold endpoint is slow for another reason, which passes.
        let Some(entry) = entry.filter(|_| !assignment.is_cold) else {
            return false;
        };
        let service = entry.endpoint.service.clone();
        let pace = self.paces.entry(service.clone()).or_default();
        let Some(slowness) = pace.observe(now.into_std(), sample) else {
            return false;
        };
        let has_changed = entry.load.observe(now, slowness);
        if has_changed {
            self.sort(&service);
        }
        has_changed
    }

    /// Returns this host's requests in flight at the endpoints of services that are observed, and the
    /// responses that other hosts don't know yet, which count as known from now on.
    pub fn take_news(&mut self, now: Instant) -> News {
        let mut news = News::new();
        let mut changed = Vec::new();
        for service in self.paces.keys() {
            for key in self.by_service.get(service).into_iter().flatten() {
                let Some(entry) = self.entries.get_mut(*key) else {
                    continue;
                };
                if entry.load.refresh(now) {
                    changed.push(service.clone());
                }
                let (responses, slowness) = entry.load.untold();
                if entry.running == 0 && responses == 0.0 {
                    continue;
                }
                let figure = Figure {
                    running: f64::from(entry.running),
                    work: entry.work,
                    tokens: entry.tokens,
                    responses,
                    slowness,
                };
                news.insert(share::tag(&entry.endpoint.id), figure);
            }
        }
        for service in changed {
            self.sort(&service);
        }
        let news = share::select(news, share::MAX_PART);
        for tag in news.keys() {
            if let Some(entry) = self.tagged(*tag) {
                entry.load.mark_told();
            }
        }
        news
    }

    /// Keeps the responses of news that reached nobody for the next news.
    pub fn restore(&mut self, news: &News) {
        for (tag, figure) in news {
            if let Some(entry) = self.tagged(*tag) {
                entry.load.restore(figure.responses, figure.slowness);
            }
        }
    }

    /// Returns the listed endpoint with this short form of its id.
    fn tagged(&mut self, tag: Tag) -> Option<&mut Entry> {
        let key = self.by_tag.get(&tag)?;
        self.entries.get_mut(*key)
    }

    /// Learns the sums of all hosts, to which this host has contributed `own`. Returns the endpoints that
    /// became slow or recovered.
    pub fn learn(&mut self, now: Instant, totals: &News, own: &News) -> Vec<EndpointId> {
        self.learned_at = Some(now);
        let mut services = HashSet::new();
        let mut changed = Vec::new();
        for (tag, total) in totals {
            let Some(entry) = self.tagged(*tag) else {
                continue;
            };
            let own = own.get(tag).copied().unwrap_or_default();
            if entry.load.learn(now, total, &own) {
                services.insert(entry.endpoint.service.clone());
                changed.push(entry.endpoint.id.clone());
            }
        }
        for service in services {
            self.sort(&service);
        }
        self.presume(now, totals);
        changed
    }

    /// Presumes what other hosts have at the endpoints that the totals leave out. If these are as many as a
    /// receipt may hold, the others are presumed as busy as the less busy half of them, so that an endpoint
    /// does not look idle since it was left out; otherwise they are idle.
    fn presume(&mut self, now: Instant, totals: &News) {
        let mut told: Vec<&Figure> = totals.values().collect();
        told.sort_by(|left, right| left.running.total_cmp(&right.running));
        let half = &told[..told.len() / 2];
        let mut usual = Figure::default();
        let is_partial = totals.len() == share::MAX_TOTALS;
        if is_partial {
            for figure in half {
                usual.add_requests(figure, 1.0 / half.len() as f64);
            }
        }
        for key in self
            .paces
            .keys()
            .flat_map(|service| &self.by_service[service])
        {
            let entry = &mut self.entries[*key];
            let is_told = totals.contains_key(&share::tag(&entry.endpoint.id));
            let age = entry.load.age(now);
            let is_fresh = is_partial && age.is_some_and(|age| age < MIN_PRESUMED_AGE);
            if !is_told && !is_fresh {
                entry.load.presume(now, usual);
            }
        }
    }

    /// Returns the load and speed of an endpoint; `None` if it is not listed.
    pub fn load(&self, id: &str) -> Option<&Load> {
        let key = self.by_id.get(id)?;
        Some(&self.entries[*key].load)
    }
}
