//! Load balancing: chooses the endpoint for a request.
//!
//! Requests that share the long parts of their prompt go to the same endpoint, whichever host
//! receives them: all hosts rank the endpoints alike by rendezvous hashing of the shared part. The
//! load is bounded: an endpoint with more than its share of the work is skipped, so that one
//! popular prompt can't overload it. Work is counted in estimated milliseconds of the engine, not
//! in requests.

mod departed;
mod health;
mod learn;
mod limit;
mod rank;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_limit::book::Book;
use agate_limit::permit::Wallet;
use agate_model::id::{EndpointId, ZoneId};
use agate_notice::Notices;
use agate_pick::capacity::Pace;
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use self::departed::{Departed, Record};
use self::health::Health;
use crate::cold::Cold;
use crate::config::ServiceId;
use crate::load::Load;
use crate::roster::{Change, Endpoint, Incarnation};
use crate::share::{self, Tag};
use crate::subset::Subset;

new_key_type! {
    /// Key of an endpoint in a [`Balancer`].
    pub struct Key;
}

/// Parameters of a [`Balancer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// An endpoint is chosen by prompt only while its work is below this multiple of the mean.
    pub balance_factor: f64,
    /// Work of all hosts at one endpoint that is allowed above that multiple, in milliseconds.
    pub slack: f64,
    /// Consecutive failures after which an endpoint is ejected.
    pub max_failures: u32,
    /// Duration of the first ejection; it doubles with each further one up to `max_ejection`.
    pub base_ejection: Duration,
    /// Longest duration of one ejection.
    pub max_ejection: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            balance_factor: 1.5,
            slack: 4000.0,
            max_failures: 2,
            base_ejection: Duration::from_millis(500),
            max_ejection: Duration::from_secs(4),
        }
    }
}

/// Properties of a request by which its endpoint is chosen.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service whose endpoints are eligible.
    pub service: &'a ServiceId,
    /// Hash of the longest shared part of the prompt; None balances by load alone.
    pub prefix: Option<u64>,
    /// Estimated work of the request, in milliseconds.
    pub cost: f64,
    /// Tokens that the request takes in the memory of an endpoint.
    pub tokens: f64,
    /// Part of the endpoints that is preferred; None for all of them.
    pub subset: Option<Subset>,
    /// Number of hosts that share the endpoints.
    pub hosts: usize,
    /// Endpoints that were already tried for this request.
    pub excluded: &'a [EndpointId],
    /// Availability zone of this host, preferred for requests without prefix routing.
    pub zone: &'a ZoneId,
}

/// Result of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent a complete response, whatever its status other than a server error.
    Answered,
    /// The endpoint failed, reported a failure, or sent no response head before the deadline.
    Failed,
    /// No byte of the request was sent, as a rule since no connection could be opened.
    Unreached,
    /// The endpoint declined the request as not run.
    Full,
    /// The endpoint asked for a pause, or the request was withheld: neither says anything of its health.
    Excused,
    /// The caller disconnected, or the deadline passed during the response.
    Abandoned,
}

/// An endpoint and this host's requests at it.
#[derive(Debug)]
struct Entry {
    endpoint: Rc<Endpoint>,
    incarnation: Rc<Incarnation>,
    /// Whether the endpoint is still listed; an entry that is not is kept until its last request
    /// ends.
    is_listed: bool,
    /// This host's requests in flight.
    running: u32,
    /// Estimated work of those requests, in milliseconds.
    work: f64,
    /// Tokens of those requests in the memory of the endpoint.
    tokens: f64,
    health: Health,
    /// Whether the endpoint has said that it is leaving, as in the notices.
    is_leaving: bool,
    /// When the pause ends that the endpoint has asked for, as in the notices.
    paused_until: Option<Instant>,
    /// Load of other hosts, and the endpoint's speed.
    load: Load,
    /// For how long the endpoint is cold.
    cold: Cold,
    /// This host's permits; `None` if the endpoint has no limit.
    permits: Option<Wallet>,
}

/// A request counted at an endpoint until `Balancer::finish`.
#[derive(Debug)]
pub struct Assignment {
    key: Key,
    incarnation: Rc<Incarnation>,
    work: f64,
    tokens: f64,
    /// Whether the endpoint was chosen although it is cold.
    is_cold: bool,
    /// Whether the request uses a permit of an endpoint with a limit.
    has_permit: bool,
    /// Endpoint that the request was assigned to.
    pub endpoint: Rc<Endpoint>,
}

/// Endpoints of all services, with this host's requests in flight and their work.
#[derive(Debug, Default)]
pub struct Balancer {
    tuning: Tuning,
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<EndpointId, Key>,
    /// Endpoints of each service in an order that all hosts share, see [`Balancer::sort`].
    by_service: HashMap<ServiceId, Vec<Key>>,
    /// Usual times of the responses of services that are observed.
    paces: HashMap<ServiceId, Pace>,
    /// Endpoints by the short form of their ids.
    by_tag: HashMap<Tag, Key>,
    /// When this host last learned what others have at the endpoints; `None` before that.
    learned_at: Option<Instant>,
    /// Zones whose endpoints get no requests.
    evacuated: HashSet<ZoneId>,
    /// Services whose cold endpoints get only a share of requests, with the time for which they are cold.
    cold_starts: HashMap<ServiceId, Duration>,
    /// What endpoints asked for, also those that are not listed any more.
    notices: Notices<Rc<Incarnation>>,
    /// Limits that endpoints have named, also those that are not listed.
    limits: Book<Rc<Incarnation>>,
    /// Observations of endpoints off the list.
    departed: Departed,
    /// Endpoints for which requests want permits that this host does not hold.
    wanted: Vec<Rc<Endpoint>>,
}

impl Assignment {
    /// Returns the incarnation of the endpoint.
    pub fn incarnation(&self) -> &Rc<Incarnation> {
        &self.incarnation
    }
}

impl Balancer {
    /// Creates a balancer without endpoints.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Applies a change of the list of endpoints.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Joined(endpoint) => self.join(endpoint),
            Change::Updated(endpoint) => self.update(endpoint),
            Change::Left(id) => self.leave(id),
        }
    }

    fn join(&mut self, endpoint: &Rc<Endpoint>) {
        self.leave(&endpoint.id);
        let incarnation = Rc::new(Incarnation::from(&**endpoint));
        let now = Instant::now();
        let paused_until = self.notices.paused_until(now.into_std(), &incarnation);
        let mut cold = Cold::default();
        cold.observe(now, endpoint.cold);
        let record = self.departed.take(&incarnation, &endpoint.service);
        let (health, load) = record
            .map(|record| (record.health, record.load))
            .unwrap_or_default();
        let key = self.entries.insert(Entry {
            endpoint: endpoint.clone(),
            is_leaving: self.notices.is_leaving(&incarnation),
            paused_until: paused_until.map(Instant::from_std),
            permits: self.limits.rate(&incarnation).map(|_| Wallet::default()),
            incarnation,
            is_listed: true,
            running: 0,
            work: 0.0,
            tokens: 0.0,
            health,
            load,
            cold,
        });
        self.by_id.insert(endpoint.id.clone(), key);
        self.by_tag.insert(share::tag(&endpoint.id), key);
        let keys = self.by_service.entry(endpoint.service.clone()).or_default();
        keys.push(key);
        self.sort(&endpoint.service);
    }

    /// Sorts the endpoints of a service by their fitness for requests that must not be disturbed: those
    /// that are not slow, then those that are not reclaimable, and so are not taken away, come first, then
    /// the id decides. Hosts that know the same of the endpoints have the same order.
    fn sort(&mut self, service: &str) {
        let entries = &self.entries;
        let order = |left: &Key, right: &Key| {
            let rank = |key: &Key| {
                let entry = &entries[*key];
                let endpoint = &entry.endpoint;
                (entry.load.is_slow(), endpoint.reclaimable, &endpoint.id)
            };
            rank(left).cmp(&rank(right))
        };
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.sort_by(order);
        }
    }

    fn update(&mut self, endpoint: &Rc<Endpoint>) {
        let key = self.by_id.get(&endpoint.id);
        let entry = key.and_then(|key| self.entries.get_mut(*key));
        match entry {
            Some(entry) if entry.endpoint.service == endpoint.service => {
                let is_moved = entry.endpoint.reclaimable != endpoint.reclaimable;
                entry.endpoint = endpoint.clone();
                entry.cold.observe(Instant::now(), endpoint.cold);
                if is_moved {
                    self.sort(&endpoint.service);
                }
            }
            _ => self.join(endpoint),
        }
    }

    fn leave(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        self.by_tag.remove(&share::tag(id));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.is_listed = false;
            self.departed.insert(Record {
                incarnation: entry.incarnation.clone(),
                service: entry.endpoint.service.clone(),
                health: entry.health.clone(),
                load: entry.load.clone(),
            });
            if let Some(keys) = self.by_service.get_mut(&entry.endpoint.service) {
                keys.retain(|other| *other != key);
            }
            if entry.running == 0 {
                self.entries.remove(key);
            }
        }
    }

    /// Chooses an endpoint and counts the request there. `limit` bounds this host's requests in
    /// flight at one endpoint; None if every endpoint is at the limit, excluded or draining.
    pub fn choose(
        &mut self,
        now: Instant,
        criteria: &Criteria<'_>,
        limit: u32,
    ) -> Option<Assignment> {
        let is_light = criteria.subset.is_some_and(|subset| subset.is_light);
        // Light requests have the shortest targets, which a cold endpoint misses.
        let cold = self.admitted_cold(now, criteria, limit);
        if let Some(key) = cold.filter(|_| !is_light) {
            self.entries[key].cold.take(now);
            return Some(self.assign(now, key, criteria, true));
        }
        self.want_permit(now, criteria);
        let permitted = self.permitted(now, criteria, limit);
        if let Some(key) = permitted.filter(|_| !is_light) {
            return Some(self.assign(now, key, criteria, false));
        }
        let usable = self.usable(now, criteria.service);
        let open: Vec<Key> = usable
            .into_iter()
            .filter(|key| {
                let entry = &self.entries[*key];
                entry.running < limit && !criteria.excluded.contains(&entry.endpoint.id)
            })
            .collect();
        let open = self.in_subset(now, open, criteria, limit);
        let key = match criteria.prefix {
            Some(prefix) if !is_light => self.by_prefix(now, &open, prefix, criteria),
            _ => self.least_loaded(now, &self.in_zone(&open, criteria), criteria),
        }?;
        Some(self.assign(now, key, criteria, false))
    }

    /// Counts a request at an endpoint, and uses a permit if it has a limit.
    fn assign(
        &mut self,
        now: Instant,
        key: Key,
        criteria: &Criteria<'_>,
        is_cold: bool,
    ) -> Assignment {
        let entry = &mut self.entries[key];
        let permits = entry.permits.as_mut();
        let has_permit = permits.is_some_and(|permits| permits.take(now.into_std()));
        entry.running += 1;
        entry.work += criteria.cost;
        entry.tokens += criteria.tokens;
        Assignment {
            key,
            incarnation: entry.incarnation.clone(),
            work: criteria.cost,
            tokens: criteria.tokens,
            is_cold,
            has_permit,
            endpoint: entry.endpoint.clone(),
        }
    }

    /// Returns a cold endpoint to which this host may send the request: the one with the fewest requests
    /// in flight.
    fn admitted_cold(&self, now: Instant, criteria: &Criteria<'_>, limit: u32) -> Option<Key> {
        self.cold_starts.get(criteria.service)?;
        let admitted = self.ready(criteria.service).filter(|key| {
            let entry = &self.entries[*key];
            let is_paused = entry.paused_until.is_some_and(|until| until > now);
            let is_ejected = entry.health.is_ejected(now);
            let is_free = entry.running < limit && !is_paused && !is_ejected;
            let is_free = is_free && entry.may_send(now);
            is_free
                && entry.cold.until(now).is_some()
                && entry.cold.admits(now)
                && !criteria.excluded.contains(&entry.endpoint.id)
        });
        admitted.min_by_key(|key| self.entries[*key].running)
    }

    /// Returns the endpoints that get only a share of requests since they are cold, with their services.
    pub fn cold_endpoints(&self, now: Instant) -> Vec<(EndpointId, ServiceId)> {
        let entries = self.entries.values().filter(|entry| entry.is_listed);
        let cold = entries.filter(|entry| self.cold_until(now, entry).is_some());
        cold.map(|entry| (entry.endpoint.id.clone(), entry.endpoint.service.clone()))
            .collect()
    }

    /// Sets the rate at which this host may send to a cold endpoint, in requests per second. Returns
    /// whether it may send there from now on.
    pub fn set_cold_rate(&mut self, now: Instant, id: &EndpointId, rate: f64) -> bool {
        let key = self.by_id.get(id);
        let entry = key.and_then(|key| self.entries.get_mut(*key));
        entry.is_some_and(|entry| entry.cold.set_rate(now, rate))
    }

    /// Sets the zones whose endpoints get no requests. Those of zones that are taken back are presumed
    /// cold, since their rows may not tell it yet.
    pub fn evacuate(&mut self, now: Instant, zones: HashSet<ZoneId>) {
        let before = std::mem::replace(&mut self.evacuated, zones);
        for entry in self.entries.values_mut() {
            let zone = &entry.endpoint.zone;
            if before.contains(zone)
                && !self.evacuated.contains(zone)
                && let Some(time) = self.cold_starts.get(&entry.endpoint.service)
            {
                entry.cold.presume(now + *time);
            }
        }
    }

    /// Sets the services whose cold endpoints get only a share of requests, with the time for which they are cold.
    pub fn set_cold_starts(&mut self, cold_starts: HashMap<ServiceId, Duration>) {
        self.cold_starts = cold_starts;
    }

    /// Returns until when an endpoint gets only a share of requests since it is cold; `None` if it gets them
    /// like others.
    fn cold_until(&self, now: Instant, entry: &Entry) -> Option<Instant> {
        let is_spared = self.cold_starts.contains_key(&entry.endpoint.service);
        entry.cold.until(now).filter(|_| is_spared)
    }

    /// Returns the endpoints of a service that are not draining, did not say that they are leaving, and
    /// are in no evacuated zone.
    fn ready(&self, service: &str) -> impl Iterator<Item = Key> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let all = keys.iter().copied();
        all.filter(|key| {
            let entry = &self.entries[*key];
            let is_evacuated = self.evacuated.contains(&entry.endpoint.zone);
            !entry.endpoint.draining && !entry.is_leaving && !is_evacuated
        })
    }

    /// Returns the ready endpoints that did not ask for a pause, are not cold, and have no limit or one
    /// that leaves room for a request of this host.
    fn open(&self, now: Instant, service: &str) -> impl Iterator<Item = Key> {
        self.ready(service).filter(move |key| {
            let entry = &self.entries[*key];
            let is_paused = entry.paused_until.is_some_and(|until| until > now);
            !is_paused && self.cold_until(now, entry).is_none() && entry.may_send(now)
        })
    }

    /// Returns the open endpoints that are not ejected. If all are ejected, the ejections are ignored.
    fn usable(&self, now: Instant, service: &str) -> Vec<Key> {
        let admitted: Vec<Key> = self
            .open(now, service)
            .filter(|key| !self.entries[*key].health.is_ejected(now))
            .collect();
        if admitted.is_empty() {
            self.open(now, service).collect()
        } else {
            admitted
        }
    }

    /// Records that an endpoint is leaving; returns whether that is news.
    pub fn mark_leaving(&mut self, now: Instant, assignment: &Assignment) -> bool {
        let is_news = self.notices.leave(now.into_std(), &assignment.incarnation);
        if let Some(entry) = self.listed(assignment) {
            entry.is_leaving = true;
        }
        is_news
    }

    /// Returns the entry of an assignment's incarnation if it is listed now.
    fn listed(&mut self, assignment: &Assignment) -> Option<&mut Entry> {
        let key = self.by_id.get(&assignment.endpoint.id)?;
        let entry = self.entries.get_mut(*key)?;
        (entry.incarnation == assignment.incarnation).then_some(entry)
    }

    /// Records that an endpoint wants nothing for a while. Returns the end of the pause if it becomes
    /// longer.
    pub fn pause(
        &mut self,
        now: Instant,
        assignment: &Assignment,
        wait: Duration,
    ) -> Option<Instant> {
        let incarnation = &assignment.incarnation;
        let until = self.notices.pause(now.into_std(), incarnation, wait);
        let until = until.map(Instant::from_std);
        if let Some(entry) = self.listed(assignment) {
            entry.paused_until = entry.paused_until.max(until);
        }
        until
    }

    /// Returns whether the endpoint of an assignment may still get the request.
    pub fn is_open(&self, now: Instant, assignment: &Assignment) -> bool {
        let entry = self.by_id.get(&assignment.endpoint.id);
        let entry = entry.and_then(|key| self.entries.get(*key));
        let entry = entry.filter(|entry| entry.incarnation == assignment.incarnation);
        !self.evacuated.contains(&assignment.endpoint.zone)
            && (assignment.has_permit || !self.is_limited(&assignment.incarnation))
            && (assignment.is_cold
                || entry.is_none_or(|entry| self.cold_until(now, entry).is_none()))
            && self
                .notices
                .is_open(now.into_std(), &assignment.incarnation)
    }

    /// Returns when the first endpoint of a service ends its pause, is warm or may get a request within its
    /// limit if all are paused, cold or limited, otherwise `None`.
    pub fn opening(&self, now: Instant, service: &str) -> Option<Instant> {
        if self.open(now, service).next().is_some() {
            return None;
        }
        let ready = self.ready(service);
        let end = |key: Key| {
            let entry = &self.entries[key];
            let permits = entry.permits.as_ref();
            let permit = permits.map(|permits| Instant::from_std(permits.opening(now.into_std())));
            let closed_until = entry.paused_until.max(self.cold_until(now, entry));
            closed_until.max(permit)
        };
        ready.filter_map(end).min()
    }

    /// Releases a request and records its outcome. Returns whether this ejects the endpoint.
    pub fn finish(&mut self, now: Instant, assignment: &Assignment, outcome: Outcome) -> bool {
        let tuning = self.tuning;
        let Some(entry) = self.entries.get_mut(assignment.key) else {
            return false;
        };
        entry.running = entry.running.saturating_sub(1);
        entry.work = (entry.work - assignment.work).max(0.0);
        entry.tokens = (entry.tokens - assignment.tokens).max(0.0);
        if entry.running == 0 {
            entry.work = 0.0;
            entry.tokens = 0.0;
            if !entry.is_listed {
                self.entries.remove(assignment.key);
                return false;
            }
        }
        entry.health.record(now, &tuning, outcome)
    }

    /// Returns the number of endpoints of a service that are not draining, ejected ones included.
    pub fn ready_count(&self, service: &str) -> usize {
        self.ready(service).count()
    }

    /// Returns how many requests one endpoint of a service runs at once: the maximum that any of
    /// them registered, 1 without endpoints.
    pub fn slots(&self, service: &str) -> u32 {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let slots = keys.iter().map(|key| self.entries[*key].endpoint.slots);
        slots.max().unwrap_or(1)
    }

    /// Returns this host's requests in flight at the listed endpoints of a service and their work
    /// in milliseconds.
    pub fn running(&self, service: &str) -> (u32, f64) {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let entries = keys.iter().map(|key| &self.entries[*key]);
        entries.fold((0, 0.0), |(running, work), entry| {
            (running + entry.running, work + entry.work)
        })
    }
}
