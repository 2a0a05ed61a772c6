//! Learns the load and speed of endpoints from responses and from other hosts.

use std::collections::HashSet;

use agate_model::id::EndpointId;
use agate_pick::capacity::Sample;
use tokio::time::Instant;

use super::{Assignment, Balancer};
use crate::load::{Figure, Load};
use crate::share::{self, News};

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
    pub fn take_news(&mut self) -> News {
        let mut news = News::new();
        for service in self.paces.keys() {
            for key in self.by_service.get(service).into_iter().flatten() {
                let Some(entry) = self.entries.get_mut(*key) else {
                    continue;
                };
                let (responses, slowness) = entry.load.take_untold();
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
        share::select(news, share::MAX_PART)
    }

    /// Learns the sums of all hosts, to which this host has contributed `own`. Returns the endpoints that
    /// became slow or recovered.
    pub fn learn(&mut self, now: Instant, totals: &News, own: &News) -> Vec<EndpointId> {
        self.learned_at = Some(now);
        let mut services = HashSet::new();
        let mut changed = Vec::new();
        for (tag, total) in totals {
            let key = self.by_tag.get(tag);
            let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) else {
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
        changed
    }

    /// Returns the load and speed of an endpoint; `None` if it is not listed.
    pub fn load(&self, id: &str) -> Option<&Load> {
        let key = self.by_id.get(id)?;
        Some(&self.entries[*key].load)
    }
}
