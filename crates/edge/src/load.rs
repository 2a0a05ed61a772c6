//! What this host knows of the load and speed of one endpoint besides its own requests in flight.

use std::time::Duration;

use agate_pick::capacity::Rate;
use tokio::time::Instant;

/// Time in which the weight of what other hosts have at an endpoint halves if nothing newer is known:
/// about as long as their requests run.
const OTHERS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Difference in speed that counts. A smaller one may be chance, and must not draw all requests to one
/// endpoint while all are idle.
const SPEED_STEP: f64 = 0.125;

/// Requests in flight at one endpoint, and the responses observed there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figure {
    /// Requests in flight.
    pub running: f64,
    /// Their estimated work, in milliseconds.
    pub work: f64,
    /// Their tokens in the memory of the endpoint.
    pub tokens: f64,
    /// Number of responses.
    pub responses: f64,
    /// Sum of their slowness, see [`agate_pick::capacity::Pace::observe`].
    pub slowness: f64,
}

impl Figure {
    /// Adds the requests in flight of another figure times `factor`.
    pub fn add_requests(&mut self, other: &Self, factor: f64) {
        self.running += other.running * factor;
        self.work += other.work * factor;
        self.tokens += other.tokens * factor;
    }
}

/// Load of other hosts at an endpoint, and its speed.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests in flight of other hosts, and when they were told; `None` before that.
    others: Option<(Figure, Instant)>,
    /// Speed from the responses of all hosts that told some.
    rate: Rate,
    /// Responses of this host that other hosts don't know yet, and the sum of their slowness.
    untold: (f64, f64),
}

impl Load {
    /// Records a response of the endpoint to this host. Returns whether the endpoint became slow or
    /// recovered.
    pub fn observe(&mut self, now: Instant, slowness: f64) -> bool {
        let before = self.rate.is_slow();
        self.rate.add(now.into_std(), 1.0, slowness);
        self.untold.0 += 1.0;
        self.untold.1 += slowness;
        self.rate.is_slow() != before
    }

    /// Returns the responses that other hosts don't know yet, and the sum of their slowness.
    pub fn untold(&self) -> (f64, f64) {
        self.untold
    }

    /// Forgets that other hosts don't know the present responses.
    pub fn mark_told(&mut self) {
        self.untold = (0.0, 0.0);
    }

    /// Adds responses that could not be told.
    pub fn restore(&mut self, responses: f64, slowness: f64) {
        self.untold.0 += responses;
        self.untold.1 += slowness;
    }

    /// Updates whether the endpoint is slow. Returns whether that has changed.
    pub fn refresh(&mut self, now: Instant) -> bool {
        let before = self.rate.is_slow();
        self.rate.refresh(now.into_std());
        self.rate.is_slow() != before
    }

    /// Sets what other hosts presumably have at the endpoint, without news of it.
    pub fn presume(&mut self, now: Instant, others: Figure) {
        self.others = Some((others, now));
    }

    /// Replaces what is known of other hosts. `all` holds the requests and responses of all hosts, `own`
    /// what this host has contributed to them. Returns whether the endpoint became slow or recovered.
    pub fn learn(&mut self, now: Instant, all: &Figure, own: &Figure) -> bool {
        let mut others = *all;
        others.add_requests(own, -1.0);
        others.running = others.running.max(0.0);
        others.work = others.work.max(0.0);
        others.tokens = others.tokens.max(0.0);
        self.others = Some((others, now));
        let before = self.rate.is_slow();
        let (responses, slowness) = self.untold;
        self.rate
            .replace(now.into_std(), all.responses, all.slowness);
        self.rate.add(now.into_std(), responses, slowness);
        self.rate.is_slow() != before
    }

    /// Returns what other hosts have at the endpoint, less the older the news is.
    pub fn others(&self, now: Instant) -> Figure {
        let mut figure = Figure::default();
        if let Some((others, at)) = &self.others {
            let age = now.saturating_duration_since(*at).as_secs_f64();
            let factor = 0.5_f64.powf(age / OTHERS_HALF_LIFE.as_secs_f64());
            figure.add_requests(others, factor);
        }
        figure
    }

    /// Returns the age of what is known of other hosts; `None` if nothing is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.others.as_ref()?;
        Some(now.saturating_duration_since(*at))
    }

    /// Returns the speed of the endpoint relative to the others of its service.
    pub fn speed(&self, now: Instant) -> f64 {
        self.rate.speed(now.into_std())
    }

    /// Returns the number of recent responses on which the speed rests.
    pub fn responses(&self, now: Instant) -> f64 {
        self.rate.sums(now.into_std()).0
    }

    /// Returns the speed in steps of `SPEED_STEP`, at least one step.
    pub fn speed_step(&self, now: Instant) -> f64 {
        (self.speed(now) / SPEED_STEP).round().max(1.0) * SPEED_STEP
    }

    /// Returns whether the endpoint is much slower than the others of its service.
    pub fn is_slow(&self) -> bool {
        self.rate.is_slow()
    }
}
