//! Model answers: streamed or whole.

use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use agate_wire::engine::Usage;
use serde::Deserialize;

use super::attempt::{self, Attempts, EVENT_STREAM};
use super::plain::{self, Whole};
use super::relay::Relay;
use crate::admission::{Cost, Slot};
use crate::choice::Flight;
use crate::front::reply::Reply;
use crate::gate::Gate;
use crate::refusal::{Progress, Refusal};
use crate::work::{Kind, Work};

/// Admits a chat completion, runs it on an engine, and answers.
pub async fn run(gate: &Rc<Gate>, work: Rc<Work>) -> Result<Reply, Refusal> {
    let mut slot = match plain::admit(gate, &work).await {
        Ok(slot) => slot,
        Err(denial) => return Err(Progress::received(false).refuse(denial)),
    };
    let first = slot.take_flight();
    if matches!(work.kind, Kind::Completion { stream: true, .. }) {
        return streamed(gate, work, slot, first).await;
    }
    let whole = plain::fetch(gate, &work, first).await?;
    let cost = cost(&whole);
    Ok(plain::deliver(gate, &work, whole, slot, cost))
}

async fn streamed(
    gate: &Rc<Gate>,
    work: Rc<Work>,
    slot: Slot,
    first: Option<Flight>,
) -> Result<Reply, Refusal> {
    let mut attempts = Attempts::new(gate.clone(), work.clone(), first);
    let progress = Progress::received(work.class.idempotent);
    let (answered, progress) = attempts.run(progress).await?;
    if !answered.is_event_stream() {
        let whole = match plain::receive(gate, &work, answered).await {
            Ok(whole) => whole,
            Err(outcome) => return Err(progress.refuse(attempt::denial(outcome))),
        };
        let cost = cost(&whole);
        return Ok(plain::deliver(gate, &work, whole, slot, cost));
    }
    let stream = Relay::start(gate.clone(), work, slot, attempts, (answered, progress));
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(stream)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response.into())
}

#[derive(Deserialize)]
struct Counted {
    usage: Option<Usage>,
}

fn cost(whole: &Whole) -> Cost {
    let counted = serde_json::from_slice::<Counted>(&whole.body).ok();
    let usage = counted.and_then(|it| it.usage).unwrap_or_default();
    Cost {
        prompt_tokens: usage.prompt_tokens,
        answer_tokens: usage.completion_tokens,
    }
}
