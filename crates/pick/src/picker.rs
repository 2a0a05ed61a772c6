//! Choice between the endpoints of all pools.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use agate_model::endpoint::{Endpoint, Kind};
use agate_model::id::{EndpointId, PoolId, TIER_COUNT};
use rand::RngCore;
use slotmap::SlotMap;

use crate::endpoint::{Entry, Key};
use crate::pool::{self, Pool};
use crate::selection::{Choice, Criteria, InFlight, Outcome, Report, Room};
use crate::set::{Set, draw};
use crate::tuning::Tuning;

/// Random draws that may hit an excluded endpoint before the available ones are searched in
/// turn.
const MAX_DRAWS: usize = 8;
/// Most prefix blocks of a prompt that are used; later ones are ignored.
const MAX_BLOCKS: usize = 32;
/// Additional weight of the load above the slots, where requests wait on the endpoint.
const QUEUE_WEIGHT: f64 = 3.0;
/// Load per slot up to which an endpoint preferred for its cache never counts as overloaded.
const AFFINITY_FREE: f64 = 0.5;
/// Highest share of requests, relative to the equal part of one endpoint, at which a prefix
/// block is specific enough to decide the endpoint.
const SPECIFIC: f64 = 1.0;

/// Endpoints of all pools, with the load and health that one host knows of them.
#[derive(Debug)]
pub struct Picker {
    tuning: Tuning,
    /// Number of hosts that share the endpoints, this one included; at least 1.
    live_hosts: u32,
    /// Endpoints, including those that take no new work.
    entries: SlotMap<Key, Entry>,
    /// Keys of the endpoints by name.
    keys: HashMap<EndpointId, Key>,
    /// Pools of all endpoints that were ever added.
    pools: SlotMap<pool::Key, Pool>,
    /// Keys of the pools by name.
    pool_keys: HashMap<PoolId, pool::Key>,
    /// End of each current ejection, earliest first.
    ejections: BTreeSet<(Instant, Key)>,
}

impl Default for Picker {
    fn default() -> Self {
        Self::new(Tuning::default())
    }
}

impl Picker {
    /// Creates a picker without endpoints.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            live_hosts: 1,
            entries: SlotMap::with_key(),
            keys: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_keys: HashMap::new(),
            ejections: BTreeSet::new(),
        }
    }

    /// Adds an endpoint or updates its declaration, and returns its key. Load and health start
    /// anew if the pool or the kind has changed.
    pub fn upsert(&mut self, now: Instant, endpoint: &Endpoint) -> Key {
        let pool = self.pool(&endpoint.pool);
        if let Some(&key) = self.keys.get(&endpoint.id) {
            if self.entries[key].pool == pool && self.entries[key].kind == endpoint.kind {
                self.update(key, endpoint);
                return key;
            }
            self.remove(&endpoint.id);
        }
        let key = self.entries.insert(Entry::new(now, pool, endpoint));
        self.keys.insert(endpoint.id.clone(), key);
        if !endpoint.leaving {
            self.join(key);
        }
        key
    }

    /// Removes an endpoint with its load and health; unknown names are ignored.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(key) = self.keys.remove(id) else {
            return;
        };
        self.leave(key);
        self.entries.remove(key);
    }

    /// Sets whether an endpoint takes no new work; unknown names are ignored.
    pub fn set_leaving(&mut self, id: &EndpointId, leaving: bool) {
        let Some(&key) = self.keys.get(id) else {
            return;
        };
        if leaving {
            self.leave(key);
        } else {
            self.join(key);
        }
    }

    /// Sets the number of hosts that share the endpoints, this one included; zero counts as 1.
    pub fn set_live_hosts(&mut self, live_hosts: u32) {
        let live_hosts = live_hosts.max(1);
        if self.live_hosts == live_hosts {
            return;
        }
        self.live_hosts = live_hosts;
        let keys: Vec<Key> = self.entries.keys().collect();
        for key in keys {
            self.refresh(key);
        }
    }

    /// Records a load report of an endpoint; unknown names are ignored.
    pub fn report(&mut self, now: Instant, id: &EndpointId, report: &Report) {
        let Some(&key) = self.keys.get(id) else {
            return;
        };
        let entry = &mut self.entries[key];
        let previous = entry.reported_load();
        entry.report(now, report);
        if !entry.leaving {
            let pool = &mut self.pools[entry.pool];
            pool.remote_load = (pool.remote_load + entry.reported_load() - previous).max(0.0);
            pool.adjust(now, self.live_hosts, &self.tuning);
        }
        self.refresh(key);
    }

    /// Returns the key of an endpoint, or `None` if its name is unknown.
    pub fn key(&self, id: &EndpointId) -> Option<Key> {
        self.keys.get(id).copied()
    }

    /// Returns the lowest tiers for which an endpoint of any of the pools may be chosen now.
    pub fn room(&mut self, now: Instant, pools: &[PoolId]) -> Room {
        self.readmit(now);
        let mut room = Room::default();
        for key in pools.iter().filter_map(|id| self.pool_keys.get(id)) {
            let pool = &mut self.pools[*key];
            let allowances = pool.allowances(self.live_hosts, &self.tuning);
            pool.record_limits(&allowances);
            let lowest_tier = |kind| pool.lowest_tier(kind, &allowances);
            room.standard = room.standard.max(lowest_tier(Kind::Standard));
            room.reclaimable = room.reclaimable.max(lowest_tier(Kind::Reclaimable));
        }
        room
    }

    /// Chooses an endpoint, or returns `None` if none may be chosen now. The choice counts only
    /// once [`Picker::start`] is called.
    pub fn choose(
        &mut self,
        now: Instant,
        criteria: &Criteria<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        self.readmit(now);
        criteria.pools.iter().find_map(|id| {
            let pool = *self.pool_keys.get(id)?;
            self.choose_in(now, pool, criteria, rng)
        })
    }

    /// Counts a request that is sent to an endpoint as in flight.
    pub fn start(&mut self, now: Instant, key: Key) -> InFlight {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.set_own(now, entry.own + 1);
            if !entry.leaving {
                self.pools[entry.pool].own += 1;
            }
            self.refresh(key);
        }
        InFlight { key }
    }

    /// Ends a request in flight and records its outcome for the health of the endpoint, which
    /// may eject it.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a request in flight ends once"
    )]
    pub fn finish(&mut self, now: Instant, request: InFlight, outcome: Outcome) {
        let key = request.key;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.set_own(now, entry.own.saturating_sub(1));
        let pool = &mut self.pools[entry.pool];
        if !entry.leaving {
            pool.own = pool.own.saturating_sub(1);
        }
        match outcome {
            Outcome::Success(latency) => {
                let time_per_token = latency.total.as_secs_f64() / latency.tokens.max(1) as f64;
                entry.health.succeed(time_per_token);
                pool.observe(time_per_token);
                let age = entry.age(now);
                entry.health.reset_ejections(age, &self.tuning);
            }
            Outcome::Failure => entry.health.fail(),
            Outcome::Cancelled => {}
        }
        self.eject_outlier(now, key);
        self.refresh(key);
    }

    /// Returns the number of endpoints that are ejected now.
    pub fn ejected(&self) -> usize {
        self.ejections.len()
    }

    /// Returns how many requests this host has in flight on an endpoint; zero if the key is
    /// unknown.
    pub fn in_flight(&self, key: Key) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.own)
    }

    /// Returns the key of a pool, which is added if its name is new.
    fn pool(&mut self, id: &PoolId) -> pool::Key {
        if let Some(&key) = self.pool_keys.get(id) {
            return key;
        }
        let key = self.pools.insert(Pool::default());
        self.pool_keys.insert(id.clone(), key);
        key
    }

    /// Updates the declaration of a known endpoint.
    fn update(&mut self, key: Key, endpoint: &Endpoint) {
        let entry = &mut self.entries[key];
        entry.zone.clone_from(&endpoint.zone);
        let slots = endpoint.slots.max(1);
        if !entry.leaving {
            let pool = &mut self.pools[entry.pool];
            pool.slots = pool.slots - entry.slots + slots;
        }
        entry.slots = slots;
        if endpoint.leaving {
            self.leave(key);
        } else {
            self.join(key);
        }
        self.refresh(key);
    }

    /// Makes an endpoint a member of its pool unless it is one, so that it takes new work.
    fn join(&mut self, key: Key) {
        let entry = &mut self.entries[key];
        let pool = &mut self.pools[entry.pool];
        if !entry.leaving {
            return;
        }
        entry.leaving = false;
        pool.affinity.insert(key, &entry.id);
        pool.members += 1;
        pool.slots += entry.slots;
        pool.own += entry.own;
        pool.remote_load += entry.reported_load();
        if entry.health.is_ejected() {
            pool.ejected += 1;
        }
        self.refresh(key);
    }

    /// Ends the membership of an endpoint in its pool; requests in flight continue.
    fn leave(&mut self, key: Key) {
        let entry = &mut self.entries[key];
        if entry.leaving {
            return;
        }
        entry.leaving = true;
        let pool = &mut self.pools[entry.pool];
        pool.affinity.remove(key);
        pool.members -= 1;
        pool.slots -= entry.slots;
        pool.own = pool.own.saturating_sub(entry.own);
        pool.remote_load = (pool.remote_load - entry.reported_load()).max(0.0);
        if entry.health.is_ejected() {
            pool.ejected -= 1;
        }
        self.refresh(key);
    }

    /// Updates the lowest tier for which an endpoint may be chosen. None may be while it leaves,
    /// is ejected, or has a request in flight on probation.
    fn refresh(&mut self, key: Key) {
        let entry = &self.entries[key];
        let is_probe_in_flight = entry.health.is_on_probation() && entry.own > 0;
        let lowest = match entry.leaving || entry.health.is_ejected() || is_probe_in_flight {
            true => None,
            false => {
                let pool = &self.pools[entry.pool];
                let allowances = pool.allowances(self.live_hosts, &self.tuning);
                entry.lowest_tier(&allowances, pool.slots, &self.tuning)
            }
        };
        self.pools[entry.pool].set_available(entry.kind, key, lowest);
    }

    /// Ejects an endpoint if it is an outlier, unless fewer endpoints of its pool would be left
    /// than [`Tuning::min_in_use`] requires.
    fn eject_outlier(&mut self, now: Instant, key: Key) {
        let entry = &mut self.entries[key];
        let pool = &mut self.pools[entry.pool];
        if entry.leaving || entry.health.is_ejected() {
            return;
        }
        if !entry.health.is_outlier(pool.median(), &self.tuning) {
            return;
        }
        let min_in_use = (pool.members as f64 * self.tuning.min_in_use)
            .ceil()
            .max(1.0) as usize;
        if pool.members - pool.ejected <= min_in_use {
            return;
        }
        pool.ejected += 1;
        let until = entry.health.eject(now, &self.tuning);
        self.ejections.insert((until, key));
    }

    /// Readmits the endpoints whose ejection has ended.
    fn readmit(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.ejections.first() {
            if until > now {
                return;
            }
            self.ejections.remove(&(until, key));
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            let pool = &mut self.pools[entry.pool];
            entry.readmit(now, pool.median());
            if !entry.leaving {
                pool.ejected -= 1;
            }
            self.refresh(key);
        }
    }

    /// Chooses an endpoint of one pool: the one preferred for its prefix cache, else the better
    /// of two drawn at random.
    fn choose_in(
        &mut self,
        now: Instant,
        pool: pool::Key,
        criteria: &Criteria<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        let allowances = self.pools[pool].allowances(self.live_hosts, &self.tuning);
        if !self.pools[pool].allows(tier(criteria), &allowances) {
            return None;
        }
        if let Some(key) = self.preferred_by_prefix(now, pool, criteria) {
            return Some(self.choice(now, key, criteria, true));
        }
        let first = self.draw(pool, criteria, None, rng)?;
        let second = self.draw(pool, criteria, Some(first), rng);
        let key = match second {
            Some(key) if self.score(now, key, criteria) < self.score(now, first, criteria) => key,
            _ => first,
        };
        Some(self.choice(now, key, criteria, false))
    }

    /// Returns the choice of an endpoint with its expected time.
    fn choice(&self, now: Instant, key: Key, criteria: &Criteria<'_>, cached: bool) -> Choice {
        let expected = match self.entries[key].health.time_per_token() {
            Some(_) => {
                Duration::try_from_secs_f64(self.score(now, key, criteria)).unwrap_or_default()
            }
            None => Duration::ZERO,
        };
        Choice {
            key,
            id: self.entries[key].id.clone(),
            expected,
            cached,
        }
    }

    /// Draws a random endpoint that may be chosen, other than `first`. The first draw prefers
    /// reclaimable endpoints if the request may run on them.
    fn draw(
        &self,
        pool: pool::Key,
        criteria: &Criteria<'_>,
        first: Option<Key>,
        rng: &mut dyn RngCore,
    ) -> Option<Key> {
        let pool = &self.pools[pool];
        let empty = Set::default();
        let tier = tier(criteria);
        let standard = pool.available(Kind::Standard, tier);
        let reclaimable = match criteria.reclaimable {
            true => pool.available(Kind::Reclaimable, tier),
            false => &empty,
        };
        let fits =
            |key: Key| Some(key) != first && !criteria.excluded.contains(&self.entries[key].id);
        let prefers_reclaimable = first.is_none() && reclaimable.len() > 0;
        for _ in 0..MAX_DRAWS {
            let second_set = if prefers_reclaimable {
                &empty
            } else {
                standard
            };
            let key = draw(reclaimable, second_set, rng)?;
            if fits(key) {
                return Some(key);
            }
        }
        let all = reclaimable.iter().chain(standard.iter());
        let mut fitting = all.filter(|&key| fits(key));
        fitting.next()
    }

    /// Returns the endpoint whose prefix cache probably holds the prompt, if it may be chosen and
    /// is not overloaded. The first block that is specific enough decides; each call counts the
    /// blocks.
    fn preferred_by_prefix(
        &mut self,
        now: Instant,
        pool: pool::Key,
        criteria: &Criteria<'_>,
    ) -> Option<Key> {
        if criteria.prefix.is_empty() || self.tuning.affinity_bound <= 0.0 {
            return None;
        }
        let blocks = &criteria.prefix[..criteria.prefix.len().min(MAX_BLOCKS)];
        self.pools[pool].popularity.observe(blocks);
        let pool = &self.pools[pool];
        let tier = tier(criteria);
        let max_share = SPECIFIC / pool.members.max(1) as f64;
        let block = *blocks
            .iter()
            .find(|&&block| pool.popularity.share(block) <= max_share)?;
        let bound = (pool.mean_load() * self.tuning.affinity_bound).max(AFFINITY_FREE);
        pool.affinity.get(block).find(|&key| {
            let entry = &self.entries[key];
            let is_available = pool.available(Kind::Standard, tier).contains(key)
                || (criteria.reclaimable && pool.available(Kind::Reclaimable, tier).contains(key));
            is_available && !criteria.excluded.contains(&entry.id) && self.load(now, key) <= bound
        })
    }

    /// Returns the load per slot that an endpoint would have with one more request.
    fn load(&self, now: Instant, key: Key) -> f64 {
        let entry = &self.entries[key];
        let estimate = self.pools[entry.pool].estimate_remote_load(entry.slots);
        let remote_load = entry.remote_load(now, estimate, &self.tuning);
        (f64::from(entry.own) + remote_load + 1.0) / entry.warm_slots(now, &self.tuning)
    }

    /// Returns the score of an endpoint for a request, the lower the better: the expected time in
    /// seconds, with the costs of [`Tuning`] for zone and kind.
    fn score(&self, now: Instant, key: Key, criteria: &Criteria<'_>) -> f64 {
        let entry = &self.entries[key];
        let median = self.pools[entry.pool].median();
        let time_per_token = entry.health.time_per_token().or(median).unwrap_or(1.0);
        let load = self.load(now, key);
        let overload = (load - 1.0).max(0.0);
        let mut score =
            time_per_token * criteria.tokens.max(1) as f64 * (1.0 + load + QUEUE_WEIGHT * overload);
        if &entry.zone != criteria.zone {
            score += self.tuning.zone_cost.as_secs_f64();
        }
        if criteria.reclaimable && entry.kind == Kind::Standard {
            score *= self.tuning.standard_factor;
        }
        score
    }
}

/// Returns the tier of a request as an index; tiers beyond the last one count as the last.
fn tier(criteria: &Criteria<'_>) -> usize {
    usize::from(criteria.tier).min(TIER_COUNT - 1)
}
