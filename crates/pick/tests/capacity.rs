//! What is learned of endpoints from their responses. Each test names the load that it answers.

use std::time::{Duration, Instant};

use agate_pick::capacity::{Pace, Rate, Sample};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Endpoints of the service.
const ENDPOINTS: usize = 12;

/// One host that sends requests to the endpoints in turn.
struct Host {
    now: Instant,
    pace: Pace,
    rates: Vec<Rate>,
    random: ChaCha8Rng,
}

impl Host {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            pace: Pace::default(),
            rates: vec![Rate::default(); ENDPOINTS],
            random: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Returns a number between 0 and 1.
    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a response of an endpoint that takes `factor` times as long as the others, with the
    /// noise of an engine: a seventh of the responses take up to 2.5 times as long.
    fn sample(&mut self, factor: f64) -> Sample {
        let tokens = 200.0 + 6_000.0 * self.draw().powi(3);
        let noise = if self.draw() < 0.15 { 2.5 } else { 1.0 };
        let events = 3 + self.random.next_u32() % 8;
        let millis = |time: f64| Duration::from_secs_f64(time * factor * noise / 1e3);
        Sample {
            first: millis(83.0 + tokens / 93.6),
            prompt_tokens: tokens,
            rest: millis(f64::from(events) * 32.0),
            events,
        }
    }

    fn observe(&mut self, endpoint: usize, sample: &Sample) {
        if let Some(slowness) = self.pace.observe(self.now, sample) {
            self.rates[endpoint].add(self.now, 1.0, slowness);
        }
    }

    /// Sends ten requests a second to each endpoint, whose times have these factors.
    fn run(&mut self, seconds: u32, factor: impl Fn(usize) -> f64) {
        for _ in 0..seconds * 10 {
            self.now += Duration::from_millis(100);
            for endpoint in 0..ENDPOINTS {
                let sample = self.sample(factor(endpoint));
                self.observe(endpoint, &sample);
            }
        }
    }

    fn speeds(&self) -> Vec<f64> {
        self.rates.iter().map(|rate| rate.speed(self.now)).collect()
    }
}

/// Load: a third of the endpoints takes 1.3 times as long as the others.
#[test]
fn fast_and_slow_endpoints_are_told_apart() {
    let mut host = Host::new();
    host.run(8, |n| if n % 3 == 2 { 1.3 } else { 1.0 });
    let speeds = host.speeds();
    let slowest = speeds.iter().enumerate().filter(|(n, _)| n % 3 != 2);
    let slowest = slowest.map(|(_, speed)| *speed).fold(f64::MAX, f64::min);
    for speed in speeds.iter().skip(2).step_by(3) {
        assert!(slowest / speed > 1.1, "{speeds:?}");
    }
}

/// Load: one endpoint takes twice as long for ten seconds.
#[test]
fn a_slow_spell_shows_within_two_seconds_and_is_forgotten() {
    let mut host = Host::new();
    host.run(10, |_| 1.0);
    assert!(host.rates.iter().all(|rate| !rate.is_slow()));
    host.run(2, |n| if n == 0 { 2.0 } else { 1.0 });
    assert!(host.rates[0].is_slow(), "{:?}", host.speeds());
    host.run(8, |n| if n == 0 { 2.0 } else { 1.0 });
    host.run(12, |_| 1.0);
    assert!(!host.rates[0].is_slow(), "{:?}", host.speeds());
    let speed = host.rates[0].speed(host.now);
    assert!((0.85..1.15).contains(&speed), "{:?}", host.speeds());
}

/// Load: an endpoint that no longer gets requests after a slow spell is not slow for ever.
#[test]
fn an_endpoint_without_requests_is_forgotten() {
    let mut rate = Rate::default();
    let now = Instant::now();
    rate.add(now, 40.0, 40.0);
    assert!(rate.speed(now) < 0.5);
    let speed = rate.speed(now + Duration::from_secs(40));
    assert!(speed > 0.95, "{speed}");
}

/// Load: one response that takes a minute, and one prompt of 40,000 tokens.
#[test]
fn a_single_response_does_not_make_an_endpoint_slow() {
    let mut host = Host::new();
    host.run(5, |_| 1.0);
    let before = host.rates[3].speed(host.now);
    let late = Sample {
        first: Duration::from_secs(60),
        ..host.sample(1.0)
    };
    host.observe(3, &late);
    let long = Sample {
        first: Duration::from_millis(83 + 427),
        prompt_tokens: 40_000.0,
        rest: Duration::from_millis(160),
        events: 5,
    };
    host.observe(3, &long);
    let after = host.rates[3].speed(host.now);
    assert!(after > before * 0.93, "{before} {after}");
    assert!(!host.rates[3].is_slow());
}

/// Load: the host's own link becomes narrow, so that all responses take twice as long.
#[test]
fn a_narrow_link_of_the_host_makes_no_endpoint_slow() {
    let mut host = Host::new();
    host.run(5, |_| 1.0);
    host.run(5, |_| 2.0);
    let speeds = host.speeds();
    assert!(host.rates.iter().all(|rate| !rate.is_slow()), "{speeds:?}");
}

/// The times of the service replace those that are assumed at the start.
#[test]
fn the_times_of_a_service_are_learned() {
    let mut host = Host::new();
    host.run(10, |_| 1.0);
    let (base, slope) = host.pace.first();
    assert!((70.0..130.0).contains(&base), "{base}");
    assert!((0.008..0.02).contains(&slope), "{slope}");
    assert!(
        (30.0..42.0).contains(&host.pace.gap()),
        "{}",
        host.pace.gap()
    );
}

/// News of other hosts that can't be true.
#[test]
fn nonsense_is_dropped_or_bounded() {
    let now = Instant::now();
    let mut rate = Rate::default();
    for (count, slowness) in [
        (f64::NAN, 1.0),
        (1.0, f64::NAN),
        (-5.0, 1.0),
        (0.0, 9.0),
        (f64::INFINITY, 1.0),
    ] {
        rate.add(now, count, slowness);
    }
    assert_eq!(rate, Rate::default());
    rate.add(now, 1.0, 1e12);
    let speed = rate.speed(now);
    assert!(speed > 0.85, "{speed}");
}
