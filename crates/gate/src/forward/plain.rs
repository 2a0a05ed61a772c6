//! Calls of plain services, and model answers that are not streamed.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use agate_retry::decision::Outcome;
use agate_wire::platform::Figures;
use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

use super::attempt::{Answered, Attempts};
use super::{claimed, client, headers, hedged};
use crate::admission::{Cost, Slot};
use crate::choice::{self, Flight};
use crate::front::reply::{self, Reply};
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// A whole answer of an endpoint.
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Headers that the caller may see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether it answered an earlier submission, which was counted then.
    pub replayed: bool,
}

/// Admits a call, sends it, and answers with what the endpoint said.
pub async fn run(gate: &Rc<Gate>, work: Rc<Work>) -> Result<Reply, Refusal> {
    let mut slot = match admit(gate, &work).await {
        Ok(slot) => slot,
        Err(denial) => return Err(Progress::received(false).refuse(denial)),
    };
    let first = slot.take_flight();
    let whole = match &work.idempotency {
        Some(key) if !work.class.idempotent => claimed::fetch(gate, &work, first, key).await?,
        _ if work.class.hedge => hedged::fetch(gate, &work, first).await?,
        _ => fetch(gate, &work, first).await?,
    };
    Ok(deliver(gate, &work, whole, slot, Cost::default()))
}

/// Waits for a place.
pub async fn admit(gate: &Gate, work: &Rc<Work>) -> Result<Slot, Denial> {
    let slot = gate.admission.admit(work).await?;
    gate.metrics.started(&work.class.id, work.arrival.elapsed());
    Ok(slot)
}

/// Fetches a whole answer, from the endpoint of `first` if it can.
pub async fn fetch(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    first: Option<Flight>,
) -> Result<Whole, Refusal> {
    let attempts = Attempts::new(gate.clone(), work.clone(), first);
    fetch_by(gate, work, attempts).await
}

/// Fetches a whole answer by these attempts.
pub async fn fetch_by(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    mut attempts: Attempts,
) -> Result<Whole, Refusal> {
    let mut progress = Progress::received(work.class.idempotent);
    loop {
        let (answered, sent) = attempts.run(progress).await?;
        match receive(gate, work, answered).await {
            Ok(whole) => return Ok(whole),
            Err(outcome) => progress = attempts.again(Retry::Broken, sent, outcome).await?,
        }
    }
}

/// Receives the rest of an answer.
pub async fn receive(gate: &Gate, work: &Work, answered: Answered) -> Result<Whole, Outcome> {
    let Answered {
        response,
        flight,
        cancel,
        sent,
    } = answered;
    let status = response.status();
    let headers = headers::passed_back(response.headers());
    let limit = gate.settings.limits.answer.bytes();
    let answer = client::Body::new(&work.method, response);
    let received = tokio::time::timeout_at(work.deadline, collect(answer, limit)).await;
    let body = match received.unwrap_or(Err(Outcome::TimedOut)) {
        Ok(body) => body,
        Err(outcome) => {
            flight.close(choice::Outcome::Failed);
            return Err(outcome);
        }
    };
    let outcome = match status.is_server_error() {
        true => choice::Outcome::Failed,
        false => choice::Outcome::Answered {
            total: sent.elapsed(),
            prompt_tokens: 0,
            answer_tokens: 1,
        },
    };
    flight.close(outcome);
    cancel.close();
    Ok(Whole {
        status,
        headers,
        body,
        replayed: false,
    })
}

async fn collect(mut answer: client::Body, limit: usize) -> Result<Bytes, Outcome> {
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.next().await {
        let chunk = chunk.map_err(|_| Outcome::Failed)?;
        if body.len() + chunk.len() > limit {
            tracing::warn!(event = "answer_too_large", limit);
            return Err(Outcome::Failed);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Hands an answer to the caller; usage and attainment count once it was handed over.
pub fn deliver(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    whole: Whole,
    mut slot: Slot,
    cost: Cost,
) -> Reply {
    slot.charge(cost);
    drop(slot);
    let counted = !whole.replayed && !whole.status.is_server_error();
    let response = reply::forwarded(whole.status, whole.headers, whole.body);
    let gate = gate.clone();
    let work = work.clone();
    let answered = Instant::now();
    let delivered = move || {
        if !counted {
            return;
        }
        let latency = answered - work.arrival;
        let attained = latency <= work.class.target.first_token && answered <= work.deadline;
        gate.metrics.first_token(&work.class.id, latency);
        gate.hedges.observe(&work.class.id, latency);
        gate.estimates.borrow_mut().observe(&work.class.id, cost);
        gate.metrics.delivered(&work.class.id, latency, attained);
        let figures = Figures {
            requests: 1,
            prompt_tokens: cost.prompt_tokens,
            answer_tokens: cost.answer_tokens,
            late_requests: 0,
        };
        gate.record_usage(&work, figures);
    };
    Reply {
        response,
        on_delivered: Some(Box::new(delivered)),
    }
}
