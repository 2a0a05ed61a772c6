//! The choice itself.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use agate_model::endpoint::{Endpoint, Kind};
use agate_model::id::{EndpointId, PoolId, TIER_COUNT};
use rand::RngCore;
use slotmap::SlotMap;

use crate::endpoint::{Entry, Key};
use crate::pool::{self, Pool};
use crate::set::{Set, draw};
use crate::tuning::Tuning;
use crate::wish::{Choice, Flight, Outcome, Report, Room, Wish};

/// Draws before all available endpoints are looked through.
const MAX_DRAWS: usize = 8;
/// Prefix blocks looked at.
const MAX_BLOCKS: usize = 32;
/// Weight of load above the slots, where requests wait, against load below.
const QUEUE_WEIGHT: f64 = 3.0;
/// Load per slot below which the endpoint preferred for its cache is never overloaded.
const AFFINITY_FREE: f64 = 0.5;
/// A block is specific enough if it belongs to less of the requests than this
/// many times an endpoint's equal part.
const SPECIFIC: f64 = 1.0;

/// Endpoints of all pools as seen by one host.
#[derive(Debug)]
pub struct Picker {
    tuning: Tuning,
    live_hosts: u32,
    entries: SlotMap<Key, Entry>,
    names: HashMap<EndpointId, Key>,
    pools: SlotMap<pool::Key, Pool>,
    pool_names: HashMap<PoolId, pool::Key>,
    ejections: BTreeSet<(Instant, Key)>,
}

impl Default for Picker {
    fn default() -> Self {
        Self::new(Tuning::default())
    }
}

impl Picker {
    /// A picker without endpoints.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            live_hosts: 1,
            entries: SlotMap::with_key(),
            names: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_names: HashMap::new(),
            ejections: BTreeSet::new(),
        }
    }

    /// Adds an endpoint or takes up its changed declaration.
    pub fn upsert(&mut self, now: Instant, endpoint: &Endpoint) -> Key {
        let pool = self.pool(&endpoint.pool);
        if let Some(&key) = self.names.get(&endpoint.id) {
            if self.entries[key].pool == pool && self.entries[key].kind == endpoint.kind {
                self.update(key, endpoint);
                return key;
            }
            self.remove(&endpoint.id);
        }
        let key = self.entries.insert(Entry::new(now, pool, endpoint));
        self.names.insert(endpoint.id.clone(), key);
        if !endpoint.leaving {
            self.join(key);
        }
        key
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(key) = self.names.remove(id) else {
            return;
        };
        self.leave(key);
        self.entries.remove(key);
    }

    /// Marks an endpoint as taking no new work, or takes the mark back.
    pub fn set_leaving(&mut self, id: &EndpointId, leaving: bool) {
        let Some(&key) = self.names.get(id) else {
            return;
        };
        if leaving {
            self.leave(key);
        } else {
            self.join(key);
        }
    }

    /// Number of hosts that share the endpoints, this one included.
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

    /// Takes up a load report.
    pub fn report(&mut self, now: Instant, id: &EndpointId, report: &Report) {
        let Some(&key) = self.names.get(id) else {
            return;
        };
        let entry = &mut self.entries[key];
        let before = entry.reported();
        entry.report(now, report);
        if !entry.leaving {
            let pool = &mut self.pools[entry.pool];
            pool.others = (pool.others + entry.reported() - before).max(0.0);
            pool.adjust(now, self.live_hosts, &self.tuning);
        }
        self.refresh(key);
    }

    /// Key of an endpoint.
    pub fn key(&self, id: &EndpointId) -> Option<Key> {
        self.names.get(id).copied()
    }

    /// Whether endpoints of the pools may be chosen now.
    pub fn room(&mut self, now: Instant, pools: &[PoolId]) -> Room {
        self.readmit(now);
        let mut room = Room::default();
        for key in pools.iter().filter_map(|id| self.pool_names.get(id)) {
            let pool = &mut self.pools[*key];
            let allowances = pool.allowances(self.live_hosts, &self.tuning);
            pool.note_limits(&allowances);
            let lowest = |kind| pool.lowest_tier(kind, &allowances);
            room.standard = room.standard.max(lowest(Kind::Standard));
            room.reclaimable = room.reclaimable.max(lowest(Kind::Reclaimable));
        }
        room
    }

    /// Chooses an endpoint, or `None` if none may be chosen now.
    pub fn choose(
        &mut self,
        now: Instant,
        wish: &Wish<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        self.readmit(now);
        wish.pools.iter().find_map(|id| {
            let pool = *self.pool_names.get(id)?;
            self.choose_in(now, pool, wish, rng)
        })
    }

    /// Counts a request sent to an endpoint.
    pub fn start(&mut self, now: Instant, key: Key) -> Flight {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.set_own(now, entry.own + 1);
            if !entry.leaving {
                self.pools[entry.pool].own += 1;
            }
            self.refresh(key);
        }
        Flight { key }
    }

    /// Counts the end of a request.
    #[expect(clippy::needless_pass_by_value, reason = "a flight ends once")]
    pub fn finish(&mut self, now: Instant, flight: Flight, outcome: Outcome) {
        let key = flight.key;
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
                let pace = latency.total.as_secs_f64() / latency.tokens.max(1) as f64;
                entry.health.succeed(pace);
                pool.observe(pace);
                let age = entry.age(now);
                entry.health.forgive(age, &self.tuning);
            }
            Outcome::Failure => entry.health.fail(),
            Outcome::Cancelled => {}
        }
        self.judge(now, key);
        self.refresh(key);
    }

    /// Endpoints ejected now.
    pub fn ejected(&self) -> usize {
        self.ejections.len()
    }

    /// Own requests in flight on an endpoint.
    pub fn in_flight(&self, key: Key) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.own)
    }

    fn pool(&mut self, id: &PoolId) -> pool::Key {
        if let Some(&key) = self.pool_names.get(id) {
            return key;
        }
        let key = self.pools.insert(Pool::default());
        self.pool_names.insert(id.clone(), key);
        key
    }

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

    /// Makes an endpoint a member of its pool.
    fn join(&mut self, key: Key) {
        let entry = &mut self.entries[key];
        let pool = &mut self.pools[entry.pool];
        if !entry.leaving {
            return;
        }
        entry.leaving = false;
        pool.table.insert(key, &entry.id);
        pool.members += 1;
        pool.slots += entry.slots;
        pool.own += entry.own;
        pool.others += entry.reported();
        if entry.health.is_ejected() {
            pool.ejected += 1;
        }
        self.refresh(key);
    }

    /// Ends the membership of an endpoint; requests in flight go on.
    fn leave(&mut self, key: Key) {
        let entry = &mut self.entries[key];
        if entry.leaving {
            return;
        }
        entry.leaving = true;
        let pool = &mut self.pools[entry.pool];
        pool.table.remove(key);
        pool.members -= 1;
        pool.slots -= entry.slots;
        pool.own = pool.own.saturating_sub(entry.own);
        pool.others = (pool.others - entry.reported()).max(0.0);
        if entry.health.is_ejected() {
            pool.ejected -= 1;
        }
        self.refresh(key);
    }

    /// Updates whether an endpoint may be chosen.
    fn refresh(&mut self, key: Key) {
        let entry = &self.entries[key];
        let is_tested = entry.health.is_on_probation() && entry.own > 0;
        let lowest = match entry.leaving || entry.health.is_ejected() || is_tested {
            true => None,
            false => {
                let pool = &self.pools[entry.pool];
                let allowances = pool.allowances(self.live_hosts, &self.tuning);
                entry.lowest_tier(&allowances, pool.slots, &self.tuning)
            }
        };
        self.pools[entry.pool].set_open(entry.kind, key, lowest);
    }

    /// Ejects an outlier, unless too few endpoints would be left.
    fn judge(&mut self, now: Instant, key: Key) {
        let entry = &mut self.entries[key];
        let pool = &mut self.pools[entry.pool];
        if entry.leaving || entry.health.is_ejected() {
            return;
        }
        if !entry.health.is_outlier(pool.median(), &self.tuning) {
            return;
        }
        let kept = (pool.members as f64 * self.tuning.keep).ceil().max(1.0) as usize;
        if pool.members - pool.ejected <= kept {
            return;
        }
        pool.ejected += 1;
        let until = entry.health.eject(now, &self.tuning);
        self.ejections.insert((until, key));
    }

    /// Readmits the endpoints whose ejection is over.
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

    fn choose_in(
        &mut self,
        now: Instant,
        pool: pool::Key,
        wish: &Wish<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        let allowances = self.pools[pool].allowances(self.live_hosts, &self.tuning);
        if !self.pools[pool].allows(tier(wish), &allowances) {
            return None;
        }
        if let Some(key) = self.cached(now, pool, wish) {
            return Some(self.choice(now, key, wish, true));
        }
        let first = self.draw(pool, wish, None, rng)?;
        let second = self.draw(pool, wish, Some(first), rng);
        let key = match second {
            Some(second) if self.score(now, second, wish) < self.score(now, first, wish) => second,
            _ => first,
        };
        Some(self.choice(now, key, wish, false))
    }

    fn choice(&self, now: Instant, key: Key, wish: &Wish<'_>, cached: bool) -> Choice {
        let expected = match self.entries[key].health.pace() {
            Some(_) => Duration::try_from_secs_f64(self.score(now, key, wish)).unwrap_or_default(),
            None => Duration::ZERO,
        };
        Choice {
            key,
            id: self.entries[key].id.clone(),
            expected,
            cached,
        }
    }

    /// A random endpoint that may be chosen, other than `but`.
    fn draw(
        &self,
        pool: pool::Key,
        wish: &Wish<'_>,
        but: Option<Key>,
        rng: &mut dyn RngCore,
    ) -> Option<Key> {
        let pool = &self.pools[pool];
        let empty = Set::default();
        let tier = tier(wish);
        let standard = pool.open(Kind::Standard, tier);
        let reclaimable = match wish.reclaimable {
            true => pool.open(Kind::Reclaimable, tier),
            false => &empty,
        };
        let fits = |key: Key| Some(key) != but && !wish.excluded.contains(&self.entries[key].id);
        let prefer = but.is_none() && reclaimable.len() > 0;
        for _ in 0..MAX_DRAWS {
            let rest = if prefer { &empty } else { standard };
            let key = draw(reclaimable, rest, rng)?;
            if fits(key) {
                return Some(key);
            }
        }
        let all = reclaimable.iter().chain(standard.iter());
        let mut rest = all.filter(|&key| fits(key));
        rest.next()
    }

    /// The endpoint whose prefix cache probably holds the prompt, if it is not overloaded.
    fn cached(&mut self, now: Instant, pool: pool::Key, wish: &Wish<'_>) -> Option<Key> {
        if wish.prefix.is_empty() || self.tuning.affinity_bound <= 0.0 {
            return None;
        }
        let blocks = &wish.prefix[..wish.prefix.len().min(MAX_BLOCKS)];
        self.pools[pool].popularity.observe(blocks);
        let pool = &self.pools[pool];
        let tier = tier(wish);
        let most = SPECIFIC / pool.members.max(1) as f64;
        let block = *blocks
            .iter()
            .find(|&&block| pool.popularity.share(block) <= most)?;
        let bound = (pool.mean_load() * self.tuning.affinity_bound).max(AFFINITY_FREE);
        pool.table.get(block).find(|&key| {
            let entry = &self.entries[key];
            let open = pool.open(Kind::Standard, tier).contains(key)
                || (wish.reclaimable && pool.open(Kind::Reclaimable, tier).contains(key));
            open && !wish.excluded.contains(&entry.id) && self.load(now, key) <= bound
        })
    }

    /// Load per slot if one more request were sent.
    fn load(&self, now: Instant, key: Key) -> f64 {
        let entry = &self.entries[key];
        let guess = self.pools[entry.pool].guess(entry.slots);
        let others = entry.others(now, guess, &self.tuning);
        (f64::from(entry.own) + others + 1.0) / entry.warm_slots(now, &self.tuning)
    }

    /// Expected time of the request on an endpoint, in seconds.
    fn score(&self, now: Instant, key: Key, wish: &Wish<'_>) -> f64 {
        let entry = &self.entries[key];
        let median = self.pools[entry.pool].median();
        let pace = entry.health.pace().or(median).unwrap_or(1.0);
        let load = self.load(now, key);
        let waiting = (load - 1.0).max(0.0);
        let mut score = pace * wish.tokens.max(1) as f64 * (1.0 + load + QUEUE_WEIGHT * waiting);
        if &entry.zone != wish.zone {
            score += self.tuning.zone_cost.as_secs_f64();
        }
        if wish.reclaimable && entry.kind == Kind::Standard {
            score *= self.tuning.standard_factor;
        }
        score
    }
}

fn tier(wish: &Wish<'_>) -> usize {
    usize::from(wish.tier).min(TIER_COUNT - 1)
}
