//! What an endpoint takes well, learned from the responses that hosts see.
//!
//! [`Pace`] holds the usual times of the responses of a service, as one host sees them, and [`Rate`]
//! how much slower or faster one endpoint is than that. Since an endpoint is only compared with the
//! others, a narrow link of the host, which slows all of them, is not mistaken for a slow endpoint. An
//! endpoint that slows down under its load is slower than the others too, before its slots are full.

use std::time::{Duration, Instant};

/// Times of one complete response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Time from sending the request to the first event.
    pub first: Duration,
    /// Tokens that the endpoint had to read before the first event.
    pub prompt_tokens: f64,
    /// Time from the first event to the last one.
    pub rest: Duration,
    /// Number of events after the first one.
    pub events: u32,
}

/// Time to the first event without a prompt, in milliseconds, before anything is learned.
const FIRST: f64 = 60.0;
/// Time to read a token of a prompt, in milliseconds, before anything is learned.
const PER_TOKEN: f64 = 0.011;
/// Time between two events, in milliseconds, before anything is learned.
const GAP: f64 = 30.0;
/// Weight of the times before anything is learned, in responses.
const PRIOR: f64 = 5.0;
/// Time in which the weight of a response in the usual times halves.
const PACE_HALF_LIFE: Duration = Duration::from_secs(20);
/// Largest factor between a response and the usual time that counts, so that a single response, or a
/// prompt that was not cached, says little.
const MAX_FACTOR: f64 = 3.0;
/// Weight of a new response in the mean deviation of the host.
const CENTER_WEIGHT: f64 = 0.02;

/// Usual times of the responses of one service, as one host sees them.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Weighted sums over responses: weight, tokens, tokens squared, milliseconds to the first event, and
    /// these times tokens.
    weight: f64,
    tokens: f64,
    squares: f64,
    first: f64,
    products: f64,
    /// Weighted sums of the events after the first one and of their milliseconds.
    events: f64,
    rest: f64,
    /// Mean logarithm of the factor between a response and its expected time.
    center: f64,
    at: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        // Two responses on the initial line give it a slope.
        let (near, far) = (0.0, 8_000.0);
        let weight = PRIOR / 2.0;
        let sum = |value: fn(f64) -> f64| weight * (value(near) + value(far));
        Self {
            weight: PRIOR,
            tokens: sum(|tokens| tokens),
            squares: sum(|tokens| tokens * tokens),
            first: sum(|tokens| FIRST + tokens * PER_TOKEN),
            products: sum(|tokens| tokens * (FIRST + tokens * PER_TOKEN)),
            events: PRIOR,
            rest: PRIOR * GAP,
            center: 0.0,
            at: None,
        }
    }
}

impl Pace {
    /// Returns the usual time to the first event without a prompt, and that of each token of a prompt,
    /// in milliseconds.
    pub fn first(&self) -> (f64, f64) {
        let spread = self.squares - self.tokens * self.tokens / self.weight;
        let slope = (self.products - self.tokens * self.first / self.weight) / spread.max(1.0);
        let slope = slope.clamp(0.0, PER_TOKEN * 20.0);
        let base = (self.first - slope * self.tokens) / self.weight;
        (base.max(1.0), slope)
    }

    /// Returns the usual time between two events, in milliseconds.
    pub fn gap(&self) -> f64 {
        (self.rest / self.events).max(0.1)
    }

    /// Learns from a response. Returns its slowness: the logarithm of the factor between its time and
    /// the usual one, 0 for a usual response; `None` if it says nothing.
    pub fn observe(&mut self, now: Instant, sample: &Sample) -> Option<f64> {
        let tokens = sample.prompt_tokens;
        if !tokens.is_finite() || tokens < 0.0 {
            return None;
        }
        self.age(now);
        let events = f64::from(sample.events);
        let (base, slope) = self.first();
        let expected = (base + slope * tokens, self.gap() * events);
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        let bound =
            |time: f64, expected: f64| time.clamp(expected / MAX_FACTOR, expected * MAX_FACTOR);
        let first = bound(millis(sample.first), expected.0);
        let rest = bound(millis(sample.rest), expected.1);
        let slowness = ((first + rest) / (expected.0 + expected.1)).ln();
        self.weight += 1.0;
        self.tokens += tokens;
        self.squares += tokens * tokens;
        self.first += first;
        self.products += tokens * first;
        self.events += events;
        self.rest += rest;
        let relative = slowness - self.center;
        self.center += relative * CENTER_WEIGHT;
        Some(relative)
    }

    fn age(&mut self, now: Instant) {
        let factor = decay(self.at.replace(now), now, PACE_HALF_LIFE);
        let initial = Self::default();
        let fade = |sum: &mut f64, initial: f64| *sum = initial + (*sum - initial) * factor;
        fade(&mut self.weight, initial.weight);
        fade(&mut self.tokens, initial.tokens);
        fade(&mut self.squares, initial.squares);
        fade(&mut self.first, initial.first);
        fade(&mut self.products, initial.products);
        fade(&mut self.events, initial.events);
        fade(&mut self.rest, initial.rest);
    }
}

/// Time in which the weight of a response in a [`Rate`] halves: a change shows within seconds.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the assumption that an endpoint is as fast as the others, in responses.
const DOUBT: f64 = 8.0;
/// Largest weight of what other hosts tell of one endpoint at once, in responses.
const MAX_TOLD: f64 = 255.0;
/// Speed below which an endpoint is slow.
const SLOW: f64 = 0.85;
/// Speed above which a slow endpoint is no longer slow.
const RECOVERED: f64 = 0.92;

/// How fast an endpoint is in comparison with the others of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    weight: f64,
    /// Weighted sum of the slowness of responses.
    slowness: f64,
    at: Option<Instant>,
    is_slow: bool,
}

impl Rate {
    /// Adds responses: their number, and the sum of their slowness. Values that can't be true are
    /// dropped or bounded.
    pub fn add(&mut self, now: Instant, count: f64, slowness: f64) {
        if !count.is_finite() || !slowness.is_finite() || count <= 0.0 {
            return;
        }
        self.age(now);
        let count = count.min(MAX_TOLD);
        let limit = count * MAX_FACTOR.ln();
        self.weight += count;
        self.slowness += slowness.clamp(-limit, limit);
        let speed = self.speed(now);
        self.is_slow = speed < if self.is_slow { RECOVERED } else { SLOW };
    }

    /// Replaces all responses by these.
    pub fn replace(&mut self, now: Instant, count: f64, slowness: f64) {
        *self = Self {
            is_slow: self.is_slow,
            ..Self::default()
        };
        self.add(now, count, slowness);
    }

    /// Returns the speed relative to the others of the service, 1 without responses.
    pub fn speed(&self, now: Instant) -> f64 {
        let factor = decay(self.at, now, RATE_HALF_LIFE);
        (-self.slowness * factor / (self.weight * factor + DOUBT)).exp()
    }

    /// Returns whether the endpoint was found slow and has not recovered.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns the number of responses, the recent ones with more weight, and their sum of slowness.
    pub fn sums(&self, now: Instant) -> (f64, f64) {
        let factor = decay(self.at, now, RATE_HALF_LIFE);
        (self.weight * factor, self.slowness * factor)
    }

    fn age(&mut self, now: Instant) {
        let factor = decay(self.at.replace(now), now, RATE_HALF_LIFE);
        self.weight *= factor;
        self.slowness *= factor;
    }
}

/// Returns the weight that is left at `now` of something that was known at `at`.
fn decay(at: Option<Instant>, now: Instant, half_life: Duration) -> f64 {
    let age = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
