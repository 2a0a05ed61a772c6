//! Chat completions with a streamed or a buffered response.

use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use agate_wire::engine::Usage;
use serde::Deserialize;

use super::attempt::{self, Attempts, EVENT_STREAM};
use super::plain::{self, BufferedResponse};
use super::relay::Relay;
use crate::admission::{Cost, Slot};
use crate::choice::Flight;
use crate::front::reply::Reply;
use crate::gate::Gate;
use crate::refusal::{Progress, Refusal};
use crate::work::{Kind, Work};

/// Admits a chat completion, forwards it to an engine and returns the response.
pub async fn run(gate: &Rc<Gate>, work: Rc<Work>) -> Result<Reply, Refusal> {
    let mut slot = match plain::admit(gate, &work).await {
        Ok(slot) => slot,
        Err(denial) => return Err(Progress::received(false).refuse(denial)),
    };
    let reserved = slot.take_flight();
    if matches!(work.kind, Kind::Completion { stream: true, .. }) {
        return streamed(gate, work, slot, reserved).await;
    }
    let buffered = plain::fetch(gate, &work, reserved).await?;
    let cost = cost(&buffered);
    Ok(plain::deliver(gate, &work, buffered, slot, cost))
}

async fn streamed(
    gate: &Rc<Gate>,
    work: Rc<Work>,
    slot: Slot,
    reserved: Option<Flight>,
) -> Result<Reply, Refusal> {
    let mut attempts = Attempts::new(gate.clone(), work.clone(), reserved);
    let progress = Progress::received(work.class.idempotent);
    let (exchange, progress) = attempts.run(progress).await?;
    if !exchange.is_event_stream() {
        let buffered = match plain::receive(gate, &work, exchange).await {
            Ok(buffered) => buffered,
            Err(outcome) => return Err(progress.refuse(attempt::denial(outcome))),
        };
        let cost = cost(&buffered);
        return Ok(plain::deliver(gate, &work, buffered, slot, cost));
    }
    let stream = Relay::start(gate.clone(), work, slot, attempts, (exchange, progress));
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(stream)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response.into())
}

#[derive(Deserialize)]
struct UsageBody {
    usage: Option<Usage>,
}

fn cost(buffered: &BufferedResponse) -> Cost {
    let parsed = serde_json::from_slice::<UsageBody>(&buffered.body).ok();
    let usage = parsed.and_then(|body| body.usage).unwrap_or_default();
    Cost {
        prompt_tokens: usage.prompt_tokens,
        answer_tokens: usage.completion_tokens,
    }
}
