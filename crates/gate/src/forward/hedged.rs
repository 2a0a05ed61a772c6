//! Idempotent calls that are sent to a second endpoint when the first is slow.

use std::pin::pin;
use std::rc::Rc;

use agate_model::refusal::Execution;
use futures_util::future::{Either, select};

use super::attempt::Attempts;
use super::plain::{self, Whole};
use crate::choice::Flight;
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::Refusal;
use crate::work::Work;

/// Fetches a whole answer from whichever of two endpoints answers first. The
/// second is asked after the latency that most answers of the class stay below,
/// only if there is another endpoint, and within the retry budget.
pub async fn fetch(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    first: Option<Flight>,
) -> Result<Whole, Refusal> {
    let attempts = Attempts::new(gate.clone(), work.clone(), first);
    let mut beside = attempts.beside();
    let mut one = pin!(plain::fetch_by(gate, work, attempts));
    let Some(delay) = gate.hedges.get(&work.class.id) else {
        return one.await;
    };
    if let Ok(result) = tokio::time::timeout(delay, one.as_mut()).await {
        return result;
    }
    if !beside.reserve() || !gate.budgets.hedge(&work.class) {
        drop(beside);
        return one.await;
    }
    gate.metrics.retried(Retry::Hedge);
    tracing::info!(event = "retry", request = %work.id, reason = Retry::Hedge.code());
    let two = pin!(plain::fetch_by(gate, work, beside));
    match select(one, two).await {
        Either::Left((Err(refusal), two)) => two.await.map_err(|other| vaguer(refusal, other)),
        Either::Right((Err(refusal), one)) => one.await.map_err(|other| vaguer(other, refusal)),
        Either::Left((whole, _)) | Either::Right((whole, _)) => whole,
    }
}

/// Of two refusals of one request, the one that claims less.
fn vaguer(one: Refusal, other: Refusal) -> Refusal {
    if one.execution() == Execution::Unknown {
        one
    } else {
        other
    }
}
