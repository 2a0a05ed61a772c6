//! Choice of the endpoint for a request.
//!
//! Requests that share the long parts of their prompt go to the same endpoint, whichever host
//! takes them: all hosts rank the endpoints alike by rendezvous hashing of the shared part. An
//! endpoint that has more than its share of the work is passed over, so that one popular prompt
//! can't overload it. Work is counted in estimated milliseconds of the engine, not in requests.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{EndpointId, ZoneId};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::config::ServiceId;
use crate::lane::Lane;
use crate::roster::{Change, Endpoint};

new_key_type! {
    /// An endpoint that a [`Board`] knows.
    pub struct Key;
}

/// Parameters of a [`Board`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// An endpoint takes a request for its prompt only while its work is below this multiple of
    /// the mean.
    pub bound: f64,
    /// Work of all hosts at one endpoint that counts as none when endpoints are compared, in
    /// milliseconds.
    pub slack: f64,
    /// Failures in a row after which an endpoint is left out.
    pub failures: u32,
    /// How long it is left out the first time; doubles up to `longest_rest`.
    pub rest: Duration,
    /// Longest time for which an endpoint is left out.
    pub longest_rest: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            bound: 1.5,
            slack: 4000.0,
            failures: 2,
            rest: Duration::from_millis(500),
            longest_rest: Duration::from_secs(4),
        }
    }
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct Wish<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Identity of the longest shared part of its prompt.
    pub prefix: Option<u64>,
    /// Estimated work, in milliseconds.
    pub work: f64,
    /// Endpoints that it is for; `None` for all.
    pub lane: Option<Lane>,
    /// Hosts that give the endpoints work.
    pub hosts: usize,
    /// Endpoints that were tried.
    pub excluded: &'a [EndpointId],
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of the endpoint, whatever it said.
    Answered,
    /// The endpoint failed, or said that it failed.
    Failed,
    /// It could not be reached.
    Unreached,
    /// It said that it has no room.
    Full,
    /// The caller went away.
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    endpoint: Rc<Endpoint>,
    is_listed: bool,
    running: u32,
    work: f64,
    failures: u32,
    /// Share of recent requests that failed.
    failing: f64,
    rests: u32,
    resting_until: Option<Instant>,
}

/// Fewest open endpoints of a zone, as a part of an equal share, that take the work of their zone
/// alone.
const NEAR_SHARE: f64 = 0.8;
/// Fewest endpoints of a zone that do.
const NEAR_LEAST: usize = 4;
/// Weight of one request in the share of recent failures.
const FAILING_WEIGHT: f64 = 0.15;
/// Share of failures above which an endpoint is left out.
const FAILING_LIMIT: f64 = 0.4;

/// A request that runs at an endpoint.
#[derive(Debug)]
pub struct Ticket {
    key: Key,
    work: f64,
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
}

/// Endpoints of all services, with the work that this host has given them.
#[derive(Debug, Default)]
pub struct Board {
    tuning: Tuning,
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<EndpointId, Key>,
    by_service: HashMap<ServiceId, Vec<Key>>,
}

impl Board {
    /// An empty board.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Takes a change of the list over.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Joined(endpoint) => self.join(endpoint),
            Change::Updated(endpoint) => self.update(endpoint),
            Change::Left(id) => self.leave(id),
        }
    }

    fn join(&mut self, endpoint: &Rc<Endpoint>) {
        self.leave(&endpoint.id);
        let key = self.entries.insert(Entry {
            endpoint: endpoint.clone(),
            is_listed: true,
            running: 0,
            work: 0.0,
            failures: 0,
            failing: 0.0,
            rests: 0,
            resting_until: None,
        });
        self.by_id.insert(endpoint.id.clone(), key);
        let keys = self.by_service.entry(endpoint.service.clone()).or_default();
        keys.push(key);
    }

    fn update(&mut self, endpoint: &Rc<Endpoint>) {
        let known = self.by_id.get(&endpoint.id);
        let entry = known.and_then(|key| self.entries.get_mut(*key));
        match entry {
            Some(entry) if entry.endpoint.service == endpoint.service => {
                entry.endpoint = endpoint.clone();
            }
            _ => self.join(endpoint),
        }
    }

    fn leave(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(key) {
            entry.is_listed = false;
            if let Some(keys) = self.by_service.get_mut(&entry.endpoint.service) {
                keys.retain(|it| *it != key);
            }
            if entry.running == 0 {
                self.entries.remove(key);
            }
        }
    }

    /// Chooses an endpoint and counts the request there; `limit` bounds the requests of this host
    /// at one endpoint.
    pub fn choose(&mut self, now: Instant, wish: &Wish<'_>, limit: u32) -> Option<Ticket> {
        let usable = self.usable(now, wish.service);
        let open: Vec<Key> = usable
            .into_iter()
            .filter(|key| {
                let entry = &self.entries[*key];
                entry.running < limit && !wish.excluded.contains(&entry.endpoint.id)
            })
            .collect();
        let open = self.in_lane(open, wish, limit);
        let is_light = wish.lane.is_some_and(|lane| lane.is_light);
        let key = match wish.prefix {
            Some(prefix) if !is_light => self.nearest(&open, prefix, wish),
            _ => self.least(&self.near(&open, wish)),
        }?;
        let entry = &mut self.entries[key];
        entry.running += 1;
        entry.work += wish.work;
        Some(Ticket {
            key,
            work: wish.work,
            endpoint: entry.endpoint.clone(),
        })
    }

    /// The endpoints of a request's lane, or all if none of them is open. Those of light requests
    /// come first in an order that all hosts share: standard ones, which nobody takes away, and
    /// then by id. Light requests use the others too once theirs are half taken.
    fn in_lane(&self, open: Vec<Key>, wish: &Wish<'_>, limit: u32) -> Vec<Key> {
        let Some(lane) = wish.lane else { return open };
        let mut ready: Vec<Key> = self.ready(wish.service).collect();
        ready.sort_by(|left, right| {
            let order = |key: &Key| {
                let endpoint = &self.entries[*key].endpoint;
                (endpoint.reclaimable, endpoint.id.clone())
            };
            order(left).cmp(&order(right))
        });
        let count = lane.light_count(ready.len());
        let (light, heavy) = ready.split_at(count);
        let is_lane = |key: &Key| match lane.is_light {
            true => light.contains(key) && self.entries[*key].running < limit.div_ceil(2),
            false => heavy.contains(key),
        };
        let own: Vec<Key> = open.iter().copied().filter(is_lane).collect();
        if own.is_empty() { open } else { own }
    }

    /// Endpoints of this host's zone, if these are about as many as in other zones, or all.
    fn near(&self, open: &[Key], wish: &Wish<'_>) -> Vec<Key> {
        let zone = |key: &Key| &self.entries[*key].endpoint.zone;
        let zones: HashSet<&ZoneId> = open.iter().map(zone).collect();
        let own = open.iter().filter(|key| zone(key) == wish.zone).copied();
        let own: Vec<Key> = own.collect();
        let share = open.len() as f64 / zones.len().max(1) as f64;
        if own.len() >= NEAR_LEAST && own.len() as f64 >= share * NEAR_SHARE {
            return own;
        }
        open.to_vec()
    }

    fn ready(&self, service: &str) -> impl Iterator<Item = Key> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let all = keys.iter().copied();
        all.filter(|key| !self.entries[*key].endpoint.draining)
    }

    /// Endpoints that take new work. If all of them are left out, none is.
    fn usable(&self, now: Instant, service: &str) -> Vec<Key> {
        let rested: Vec<Key> = self
            .ready(service)
            .filter(|key| {
                let until = self.entries[*key].resting_until;
                until.is_none_or(|until| until <= now)
            })
            .collect();
        if rested.is_empty() {
            self.ready(service).collect()
        } else {
            rested
        }
    }

    fn least(&self, open: &[Key]) -> Option<Key> {
        let offset = rand::random_range(0..open.len().max(1));
        let rotated = open.iter().cycle().skip(offset).take(open.len());
        rotated.copied().min_by(|left, right| {
            let load = |key: Key| (self.entries[key].running, self.entries[key].work);
            load(*left)
                .partial_cmp(&load(*right))
                .unwrap_or(std::cmp::Ordering::Equal)
        })
    }

    fn nearest(&self, open: &[Key], prefix: u64, wish: &Wish<'_>) -> Option<Key> {
        let work = wish.work;
        let total: f64 = open.iter().map(|key| self.entries[*key].work).sum();
        let mean = (total + work) / open.len().max(1) as f64;
        let slack = self.tuning.slack / wish.hosts.max(1) as f64;
        let limit = mean * self.tuning.bound + slack;
        let mut ranked: Vec<(u64, Key)> = open
            .iter()
            .map(|key| (rank(prefix, &self.entries[*key].endpoint.id), *key))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let found = ranked
            .iter()
            .find(|(_, key)| self.entries[*key].work + work <= limit.max(work));
        found.map(|(_, key)| *key).or_else(|| self.least(open))
    }

    /// Ends a request. Returns whether the endpoint is left out from now on.
    pub fn finish(&mut self, now: Instant, ticket: &Ticket, outcome: Outcome) -> bool {
        let tuning = self.tuning;
        let Some(entry) = self.entries.get_mut(ticket.key) else {
            return false;
        };
        entry.running = entry.running.saturating_sub(1);
        entry.work = (entry.work - ticket.work).max(0.0);
        if entry.running == 0 {
            entry.work = 0.0;
            if !entry.is_listed {
                self.entries.remove(ticket.key);
                return false;
            }
        }
        match outcome {
            Outcome::Answered => {
                entry.failures = 0;
                entry.failing *= 1.0 - FAILING_WEIGHT;
                if entry.resting_until.is_some_and(|until| until <= now) {
                    entry.resting_until = None;
                    entry.rests = 0;
                }
                false
            }
            Outcome::Abandoned => false,
            Outcome::Failed | Outcome::Unreached | Outcome::Full => {
                entry.failures += 1;
                entry.failing += (1.0 - entry.failing) * FAILING_WEIGHT;
                let is_due = entry.failures >= tuning.failures
                    || outcome != Outcome::Failed
                    || entry.failing > FAILING_LIMIT;
                if is_due {
                    let rest = tuning.rest * 2_u32.pow(entry.rests.min(8));
                    entry.resting_until = Some(now + rest.min(tuning.longest_rest));
                    entry.rests += 1;
                    entry.failures = 0;
                }
                is_due
            }
        }
    }

    /// Endpoints of a service that take new work, rested or not.
    pub fn ready_count(&self, service: &str) -> usize {
        self.ready(service).count()
    }

    /// Requests that one endpoint of a service runs at once: the most that any registered.
    pub fn slots(&self, service: &str) -> u32 {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let slots = keys.iter().map(|key| self.entries[*key].endpoint.slots);
        slots.max().unwrap_or(1)
    }

    /// Requests of this host that run at endpoints of a service, and their work in milliseconds.
    pub fn running(&self, service: &str) -> (u32, f64) {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let entries = keys.iter().map(|key| &self.entries[*key]);
        entries.fold((0, 0.0), |(running, work), it| {
            (running + it.running, work + it.work)
        })
    }
}

fn rank(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
}
