//! Hedging: idempotent calls that are sent to a second endpoint when the first is slow.

use std::pin::pin;
use std::rc::Rc;

use agate_model::refusal::Execution;
use futures_util::future::{Either, select};

use super::attempt::Attempts;
use super::plain::{self, BufferedResponse};
use crate::choice::Flight;
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::Refusal;
use crate::work::Work;

/// Returns the first complete response of up to two endpoints. The request goes to the second one
/// after the latency that most responses of the class stay below, if there is another endpoint and
/// the retry budget allows it.
pub async fn fetch(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    reserved: Option<Flight>,
) -> Result<BufferedResponse, Refusal> {
    let attempts = Attempts::new(gate.clone(), work.clone(), reserved);
    let mut hedge = attempts.for_hedge();
    let mut primary = pin!(plain::fetch_with(gate, work, attempts));
    let Some(delay) = gate.hedges.get(&work.class.id) else {
        return primary.await;
    };
    if let Ok(result) = tokio::time::timeout(delay, primary.as_mut()).await {
        return result;
    }
    if !hedge.reserve() || !gate.budgets.hedge(&work.class) {
        drop(hedge);
        return primary.await;
    }
    gate.metrics.retried(Retry::Hedge);
    tracing::info!(event = "retry", request = %work.id, reason = Retry::Hedge.code());
    let secondary = pin!(plain::fetch_with(gate, work, hedge));
    match select(primary, secondary).await {
        Either::Left((Err(refusal), secondary)) => secondary
            .await
            .map_err(|other| less_certain(refusal, other)),
        Either::Right((Err(refusal), primary)) => {
            primary.await.map_err(|other| less_certain(other, refusal))
        }
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

/// Returns the refusal whose execution is unknown, if either is.
fn less_certain(primary: Refusal, other: Refusal) -> Refusal {
    if primary.execution() == Execution::Unknown {
        primary
    } else {
        other
    }
}
