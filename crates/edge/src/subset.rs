//! Separates requests with short prompts from those with long ones.
//!
//! An engine prefills prompts in chunks between the tokens that it generates, so a few long prompts
//! in a row stall every response generated on the same engine. Routes whose prompts are short
//! compared with the mean of their service are light; they get a subset of the endpoints, sized by
//! their share of the work.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agate_model::id::RouteId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::config::ServiceId;

/// A route is light if its mean prompt is shorter than this fraction of the service's mean.
const LIGHT_RATIO: f64 = 0.35;
/// Weight of one request in the moving averages.
const WEIGHT: f64 = 0.02;
/// Least change of the light share that resizes the subsets.
const HYSTERESIS: f64 = 0.08;
/// Requests of a service that are observed before its routes are classified.
const MIN_REQUESTS: u32 = 30;
/// Least number of endpoints of a service that are divided.
const MIN_ENDPOINTS: usize = 3;
/// Endpoints added to the light subset on top of its share of the work, before rounding up.
const SPARE: f64 = 0.5;

/// Requests of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Number of requests.
    pub requests: f64,
    /// Tokens of their prompts.
    pub prompt_tokens: f64,
    /// Their estimated work, in milliseconds.
    pub work: f64,
}

impl Sum {
    /// Returns this sum plus another one times `factor`.
    fn plus(self, other: Self, factor: f64) -> Self {
        Self {
            requests: self.requests + other.requests * factor,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens * factor,
            work: self.work + other.work * factor,
        }
    }
}

/// Requests by service and route.
pub type Sums = BTreeMap<ServiceId, BTreeMap<RouteId, Sum>>;

/// Time in which the weight of a request in [`Recent`] halves.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Time after which a host that tells nothing is forgotten.
const HOST_TTL: Duration = Duration::from_secs(30);

/// Recent requests of several hosts, as their totals since the start of each tell.
#[derive(Debug, Default)]
pub struct Recent {
    /// Last totals by key of the incarnation, and when it told them.
    totals: HashMap<String, (Sums, Instant)>,
    sums: Sums,
    /// When `sums` was last reduced.
    at: Option<Instant>,
}

impl Recent {
    /// Records the totals of one incarnation of a host.
    pub fn record(&mut self, now: Instant, run: &str, totals: &Sums) {
        self.age(now);
        let known = self.totals.remove(run).map(|(known, _)| known);
        for (service, routes) in totals {
            for (route, total) in routes {
                let before = known
                    .as_ref()
                    .and_then(|known| known.get(service)?.get(route));
                let news = total.plus(before.copied().unwrap_or_default(), -1.0);
                let sums = self.sums.entry(service.clone()).or_default();
                let sum = sums.entry(route.clone()).or_default();
                *sum = sum.plus(news, 1.0);
            }
        }
        self.totals.insert(run.to_owned(), (totals.clone(), now));
    }

    /// Returns the requests of all hosts, the more recent with more weight.
    pub fn sums(&self) -> &Sums {
        &self.sums
    }

    fn age(&mut self, now: Instant) {
        let elapsed = self
            .at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for sum in self.sums.values_mut().flat_map(BTreeMap::values_mut) {
            *sum = Sum::default().plus(*sum, factor);
        }
        self.totals
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < HOST_TTL);
    }
}

/// Moving averages over the requests of one service.
#[derive(Debug, Default)]
pub struct Profile {
    /// Requests that this host has observed since its start.
    sums: BTreeMap<RouteId, Sum>,
    requests: u32,
    mean_prompt: f64,
    mean_work: f64,
    /// Mean work of a request, counting those of other routes as 0.
    light_work: f64,
    /// Light share of the work by which the subsets are sized now.
    share: f64,
    /// Mean prompt length of each route, in tokens.
    route_prompts: HashMap<RouteId, f64>,
}

/// The part of a service's endpoints that a request prefers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subset {
    /// Whether the request belongs to the light subset.
    pub is_light: bool,
    /// Light share of the service's work, between 0 and 1.
    pub share: f64,
}

impl Profile {
    /// Returns the requests that this host has observed since its start.
    pub fn sums(&self) -> &BTreeMap<RouteId, Sum> {
        &self.sums
    }

    /// Replaces the averages by those of the recent requests of several hosts, if they are enough.
    /// Hosts of a large fleet, and those that have just started, see too few to classify them soon
    /// or alike.
    pub fn learn(&mut self, sums: &BTreeMap<RouteId, Sum>) {
        let total = sums
            .values()
            .fold(Sum::default(), |total, sum| total.plus(*sum, 1.0));
        if total.requests < f64::from(MIN_REQUESTS) {
            return;
        }
        self.requests = self.requests.max(MIN_REQUESTS);
        self.mean_prompt = total.prompt_tokens / total.requests;
        self.mean_work = total.work / total.requests;
        self.light_work = 0.0;
        for (route, sum) in sums.iter().filter(|(_, sum)| sum.requests > 0.0) {
            let mean = sum.prompt_tokens / sum.requests;
            if mean < self.mean_prompt * LIGHT_RATIO {
                self.light_work += sum.work / total.requests;
            }
            self.route_prompts.insert(route.clone(), mean);
        }
        self.share = self.light_work / self.mean_work.max(f64::MIN_POSITIVE);
    }

    /// Records a request and returns its subset; None until enough requests were observed.
    pub fn observe(&mut self, route: &RouteId, prompt_tokens: u64, work: f64) -> Option<Subset> {
        let sum = self.sums.entry(route.clone()).or_default();
        let one = Sum {
            requests: 1.0,
            prompt_tokens: prompt_tokens as f64,
            work,
        };
        *sum = sum.plus(one, 1.0);
        let prompt = prompt_tokens as f64;
        let mean = self.route_prompts.entry(route.clone()).or_insert(prompt);
        *mean += (prompt - *mean) * WEIGHT;
        let mean = *mean;
        let weight = WEIGHT.max(1.0 / f64::from(self.requests + 1));
        self.requests = self.requests.saturating_add(1);
        self.mean_prompt += (prompt - self.mean_prompt) * weight;
        let is_light = mean < self.mean_prompt * LIGHT_RATIO;
        let light_work = if is_light { work } else { 0.0 };
        self.mean_work += (work - self.mean_work) * weight;
        self.light_work += (light_work - self.light_work) * weight;
        let share = self.light_work / self.mean_work.max(f64::MIN_POSITIVE);
        if (share - self.share).abs() > HYSTERESIS {
            self.share = share;
        }
        (self.requests >= MIN_REQUESTS).then_some(Subset {
            is_light,
            share: self.share,
        })
    }
}

impl Subset {
    /// Returns how many of `count` endpoints form the light subset.
    pub fn light_count(&self, count: usize) -> usize {
        if count < MIN_ENDPOINTS || self.share <= 0.0 {
            return 0;
        }
        let wanted = (self.share * count as f64 + SPARE).ceil() as usize;
        wanted.clamp(1, count / 2)
    }
}
