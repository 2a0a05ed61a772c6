//! Calls of plain services, and chat completions that are not streamed.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use agate_retry::decision::Outcome;
use agate_wire::platform::Counters;
use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

use super::attempt::{Attempts, Exchange};
use super::{claimed, client, headers, hedged};
use crate::admission::{Cost, Slot};
use crate::choice::{self, Flight};
use crate::front::reply::{self, Reply};
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// A response whose body has been received completely.
pub struct BufferedResponse {
    /// HTTP status of the endpoint's response.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
    /// Complete body, at most `limits.answer` bytes.
    pub body: Bytes,
    /// Whether this is the recorded response of an earlier submission, which was counted then.
    pub replayed: bool,
}

/// Admits a call, forwards it and returns the endpoint's response.
pub async fn run(gate: &Rc<Gate>, work: Rc<Work>) -> Result<Reply, Refusal> {
    let mut slot = match admit(gate, &work).await {
        Ok(slot) => slot,
        Err(denial) => return Err(Progress::received(false).refuse(denial)),
    };
    let reserved = slot.take_flight();
    let buffered = match &work.idempotency {
        Some(key) if !work.class.idempotent => claimed::fetch(gate, &work, reserved, key).await?,
        _ if work.class.hedge => hedged::fetch(gate, &work, reserved).await?,
        _ => fetch(gate, &work, reserved).await?,
    };
    Ok(deliver(gate, &work, buffered, slot, Cost::default()))
}

/// Waits in the queue until the request may start, and records the wait.
pub async fn admit(gate: &Gate, work: &Rc<Work>) -> Result<Slot, Denial> {
    let slot = gate.admission.admit(work).await?;
    gate.metrics.started(&work.class.id, work.arrival.elapsed());
    Ok(slot)
}

/// Fetches a complete response. The first attempt uses the endpoint of `reserved` if there is one.
pub async fn fetch(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    reserved: Option<Flight>,
) -> Result<BufferedResponse, Refusal> {
    let attempts = Attempts::new(gate.clone(), work.clone(), reserved);
    fetch_with(gate, work, attempts).await
}

/// Fetches a complete response with these attempts.
pub async fn fetch_with(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    mut attempts: Attempts,
) -> Result<BufferedResponse, Refusal> {
    let mut progress = Progress::received(work.class.idempotent);
    loop {
        let (exchange, sent) = attempts.run(progress).await?;
        match receive(gate, work, exchange).await {
            Ok(buffered) => return Ok(buffered),
            Err(outcome) => progress = attempts.prepare_retry(Retry::Broken, sent, outcome).await?,
        }
    }
}

/// Receives the body of a response until the deadline and closes its attempt with the outcome.
pub async fn receive(
    gate: &Gate,
    work: &Work,
    exchange: Exchange,
) -> Result<BufferedResponse, Outcome> {
    let Exchange {
        response,
        flight,
        cancel,
        started,
    } = exchange;
    let status = response.status();
    let headers = headers::for_caller(response.headers());
    let limit = gate.settings.limits.answer.bytes();
    let payload = client::Body::new(&work.method, response);
    let received = tokio::time::timeout_at(work.deadline, collect(payload, limit)).await;
    let body = match received.unwrap_or(Err(Outcome::TimedOut)) {
        Ok(body) => body,
        Err(outcome) => {
            flight.close(choice::Outcome::Failed);
            return Err(outcome);
        }
    };
    let outcome = match status.is_server_error() {
        true => choice::Outcome::Failed,
        false => choice::Outcome::Responded {
            total: started.elapsed(),
            prompt_tokens: 0,
            answer_tokens: 1,
        },
    };
    flight.close(outcome);
    cancel.close();
    Ok(BufferedResponse {
        status,
        headers,
        body,
        replayed: false,
    })
}

async fn collect(mut payload: client::Body, limit: usize) -> Result<Bytes, Outcome> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Outcome::Failed)?;
        if body.len() + chunk.len() > limit {
            tracing::warn!(event = "answer_too_large", limit);
            return Err(Outcome::Failed);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Releases the slot and returns the response for the caller. Usage and attainment of the latency
/// targets are recorded once it has been delivered.
pub fn deliver(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    buffered: BufferedResponse,
    mut slot: Slot,
    cost: Cost,
) -> Reply {
    slot.charge(cost);
    drop(slot);
    let is_counted = !buffered.replayed && !buffered.status.is_server_error();
    let response = reply::forwarded(buffered.status, buffered.headers, buffered.body);
    let gate = gate.clone();
    let work = work.clone();
    let responded_at = Instant::now();
    let delivered = move || {
        if !is_counted {
            return;
        }
        let latency = responded_at - work.arrival;
        let attained = latency <= work.class.target.first_token && responded_at <= work.deadline;
        gate.metrics.first_token(&work.class.id, latency);
        gate.hedges.observe(&work.class.id, latency);
        gate.estimates.borrow_mut().observe(&work.class.id, cost);
        gate.metrics.delivered(&work.class.id, latency, attained);
        let counters = Counters {
            requests: 1,
            prompt_tokens: cost.prompt_tokens,
            answer_tokens: cost.answer_tokens,
            late_requests: 0,
        };
        gate.record_usage(&work, counters);
    };
    Reply {
        response,
        on_delivered: Some(Box::new(delivered)),
    }
}
