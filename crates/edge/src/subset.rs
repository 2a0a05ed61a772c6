//! Separates requests with short prompts from those with long ones.
//!
//! An engine prefills prompts in chunks between the tokens that it generates, so a few long prompts
//! in a row stall every response generated on the same engine. Routes whose prompts are short
//! compared with the mean of their service are light; they get a subset of the endpoints, sized by
//! their share of the work.

use std::collections::HashMap;

use agate_model::id::RouteId;

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

/// Moving averages over the requests of one service.
#[derive(Debug, Default)]
pub struct Profile {
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
    /// Records a request and returns its subset; None until enough requests were observed.
    pub fn observe(&mut self, route: &RouteId, prompt_tokens: u64, work: f64) -> Option<Subset> {
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
