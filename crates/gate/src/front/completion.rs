//! The OpenAI-compatible interface: `/v1/chat/completions` and `/v1/models`.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use agate_model::refusal::Reason;
use agate_model::route::Access;
use agate_wire::engine::Completion;
use serde::Serialize;

use super::body;
use super::reply::{self, Reply};
use super::route::Call;
use crate::forward;
use crate::gate::Gate;
use crate::prefix;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::{Kind, Work};

/// Entry of the model list.
#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Body of the response to `GET /v1/models`.
#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

/// Returns the models that the caller may use: all with a valid key, the open ones without a key. A
/// caller without a key is refused if no model is open.
pub fn models(gate: &Gate, call: &Call) -> Result<Response<BoxBody>, Denial> {
    if call.secret.is_some() {
        call.authorize(gate)?;
    }
    let view = gate.view();
    let usable = |access| access == Access::Open || call.secret.is_some();
    let data: Vec<Model> = view
        .models()
        .filter(|(_, route)| usable(route.access))
        .map(|(id, _)| Model {
            id: id.clone(),
            object: "model",
            created: 0,
            owned_by: "agatebridge",
        })
        .collect();
    if data.is_empty() && call.secret.is_none() {
        call.authorize(gate)?;
    }
    Ok(reply::json(
        StatusCode::OK,
        &Models {
            object: "list",
            data,
        },
    ))
}

/// Validates a chat completion request and forwards it to an engine.
pub async fn run(gate: &Rc<Gate>, call: Call) -> Result<Reply, Refusal> {
    match accept(gate, call).await {
        Ok(work) => forward::completion(gate, Rc::new(work)).await,
        Err(denial) => Err(Progress::received(false).refuse(denial)),
    }
}

/// Authorizes the caller, reads the body and resolves route and class.
async fn accept(gate: &Gate, mut call: Call) -> Result<Work, Denial> {
    authorize_early(gate, &call)?;
    let payload = std::mem::replace(&mut call.payload, actix_http::Payload::None);
    let body = body::read(gate, payload).await?;
    let request: Completion = parse(&body)?;
    let view = gate.view();
    let Some(route) = view.model(&request.model) else {
        // Only callers with a valid key may learn which models exist.
        call.authorize(gate)?;
        let message = format!("no model {:?}", request.model);
        return Err(Denial::new(Reason::ModelUnknown, message));
    };
    let caller = call.caller(gate, route)?;
    let class = call.class(&view, route, caller.as_ref())?;
    let headers = forward::headers::for_endpoint(&call.headers);
    call.check_key_leak(&headers, &body)?;
    let account = caller.as_ref().map_or("", |caller| &caller.account);
    let prefix = prefix::blocks(account, &request.messages);
    let kind = Kind::Completion {
        model: request.model,
        stream: request.stream,
        max_tokens: request.max_tokens,
    };
    gate.metrics.accepted(&class.id);
    Ok(Work {
        deadline: call.deadline(&class)?,
        id: call.id,
        estimate: gate.estimates.borrow().cost(&class.id, &kind, body.len()),
        prefix,
        kind,
        route: route.clone(),
        class: Rc::new(class),
        caller,
        arrival: call.arrival,
        method: call.method,
        target: "/v1/chat/completions".to_owned(),
        headers,
        body,
        idempotency: None,
    })
}

/// Refuses callers without a valid key before their body is read, unless a model is open to all.
fn authorize_early(gate: &Gate, call: &Call) -> Result<(), Denial> {
    let view = gate.view();
    if view.models().any(|(_, route)| route.access == Access::Open) {
        return Ok(());
    }
    call.authorize(gate).map(drop)
}

/// Parses the body of a chat completion request.
fn parse(body: &[u8]) -> Result<Completion, Denial> {
    serde_json::from_slice(body).map_err(|err| {
        // The message gives the position only, because the body is the caller's private content.
        let message = format!(
            "the body is not a chat completion request, at line {} column {}",
            err.line(),
            err.column()
        );
        Denial::new(Reason::BadRequest, message)
    })
}
