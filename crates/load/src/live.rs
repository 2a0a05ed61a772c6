//! Open-loop load over HTTP against running entry hosts or endpoints.

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
use record::{Recorder, Result as CallResult};
use targets::Targets;

/// Where requests go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the entry hosts that `/v1/addresses` names.
    Gates,
    /// Straight to the endpoints, in turn.
    Endpoints,
}

/// Requests that may be open at once; more are counted as failed.
const MAX_OPEN: usize = 4096;
/// Time after the last arrival in which answers may still come.
const DRAIN: Duration = Duration::from_secs(60);

/// Runs a plan. Requests start at their times whether earlier ones ended or not.
pub async fn run(plan: &Plan, route: Route) -> Recorder {
    let targets = Targets::new(plan, route);
    targets.refresh().await;
    let caller = Rc::new(Caller::new(targets, route));
    let mut recorder = Recorder::new(plan);
    let mut open: JoinSet<(usize, CallResult)> = JoinSet::new();
    let start = Instant::now();
    for (at, n) in arrivals(plan) {
        sleep_until(start + at).await;
        while let Some(ended) = open.try_join_next() {
            take(plan, &mut recorder, ended);
        }
        if open.len() >= MAX_OPEN {
            recorder.record(plan, n, &CallResult::lost("too many open requests"));
            continue;
        }
        let caller = caller.clone();
        let call = plan.calls[n].clone();
        open.spawn_local(async move { (n, caller.call(&call).await) });
    }
    let drained = tokio::time::timeout(DRAIN, drain(plan, &mut recorder, &mut open)).await;
    if drained.is_err() {
        recorder.unfinished(open.len() as u64);
    }
    recorder
}

async fn drain(plan: &Plan, recorder: &mut Recorder, open: &mut JoinSet<(usize, CallResult)>) {
    while let Some(ended) = open.join_next().await {
        take(plan, recorder, ended);
    }
}

type Ended = std::result::Result<(usize, CallResult), tokio::task::JoinError>;

fn take(plan: &Plan, recorder: &mut Recorder, ended: Ended) {
    if let Ok((n, result)) = ended {
        recorder.record(plan, n, &result);
    }
}

/// Poisson arrivals of all calls, in order of time.
fn arrivals(plan: &Plan) -> Vec<(Duration, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut arrivals = Vec::new();
    for (n, call) in plan.calls.iter().enumerate() {
        draw(plan, n, call, &mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.0);
    arrivals
}

fn draw(
    plan: &Plan,
    n: usize,
    call: &Call,
    rng: &mut ChaCha8Rng,
    out: &mut Vec<(Duration, usize)>,
) {
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / call.rate;
        if at >= plan.duration.as_secs_f64() {
            return;
        }
        out.push((Duration::from_secs_f64(at), n));
    }
}
