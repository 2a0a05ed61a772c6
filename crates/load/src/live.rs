//! Sends open-loop load over HTTP to running entry hosts or endpoints.

mod caller;
pub mod plan;
pub mod record;
mod stream;
mod targets;

use std::rc::Rc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use caller::Caller;
use plan::{Call, Plan};
use record::{Outcome, Recorder};
use targets::Targets;

/// Where the requests of a plan are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the entry hosts that `/v1/addresses` names.
    Gates,
    /// To the endpoints of each call directly, in round-robin order; the baseline.
    Endpoints,
}

/// Most requests in flight at once; a request beyond it is not sent and counts as failed.
const MAX_IN_FLIGHT: usize = 4096;
/// Time after the last arrival after which requests still in flight count as unfinished.
const DRAIN: Duration = Duration::from_secs(60);

/// Sends the requests of a plan and returns their results.
///
/// Each request starts at its arrival time, whether or not earlier ones have ended. The future must
/// run on a `LocalSet`.
pub async fn run(plan: &Plan, route: Route) -> Recorder {
    let targets = Targets::new(plan, route);
    targets.refresh().await;
    let caller = Rc::new(Caller::new(targets, route));
    let mut recorder = Recorder::new(plan);
    let mut in_flight: JoinSet<(usize, Outcome)> = JoinSet::new();
    let start = Instant::now();
    for (at, n) in arrivals(plan) {
        sleep_until(start + at).await;
        while let Some(joined) = in_flight.try_join_next() {
            record_joined(plan, &mut recorder, joined);
        }
        if in_flight.len() >= MAX_IN_FLIGHT {
            recorder.record(plan, n, &Outcome::failed("too many open requests"));
            continue;
        }
        let caller = caller.clone();
        let call = plan.calls[n].clone();
        in_flight.spawn_local(async move { (n, caller.call(&call).await) });
    }
    let drained = tokio::time::timeout(DRAIN, drain(plan, &mut recorder, &mut in_flight)).await;
    if drained.is_err() {
        recorder.unfinished(in_flight.len() as u64);
    }
    recorder
}

/// Records results until no request is in flight.
async fn drain(plan: &Plan, recorder: &mut Recorder, in_flight: &mut JoinSet<(usize, Outcome)>) {
    while let Some(joined) = in_flight.join_next().await {
        record_joined(plan, recorder, joined);
    }
}

/// Position of a call and the outcome of one of its requests, from a finished task.
type Joined = std::result::Result<(usize, Outcome), tokio::task::JoinError>;

/// Records the outcome of a finished task; ignores a task that panicked.
fn record_joined(plan: &Plan, recorder: &mut Recorder, joined: Joined) {
    if let Ok((n, outcome)) = joined {
        recorder.record(plan, n, &outcome);
    }
}

/// Draws the arrivals of all requests, in order of time, with the positions of their calls.
fn arrivals(plan: &Plan) -> Vec<(Duration, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut arrivals = Vec::new();
    for (n, call) in plan.calls.iter().enumerate() {
        draw_arrivals(plan, n, call, &mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.0);
    arrivals
}

/// Adds Poisson arrivals of one call.
fn draw_arrivals(
    plan: &Plan,
    n: usize,
    call: &Call,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<(Duration, usize)>,
) {
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / call.rate;
        if at >= plan.duration.as_secs_f64() {
            return;
        }
        arrivals.push((Duration::from_secs_f64(at), n));
    }
}
