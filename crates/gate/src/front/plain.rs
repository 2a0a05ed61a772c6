//! Calls of plain services, by declared path prefix.

use std::rc::Rc;

use agate_model::refusal::Reason;

use super::body;
use super::reply::Answer;
use super::route::Call;
use crate::admission::Cost;
use crate::forward;
use crate::gate::Gate;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::{Kind, Work};

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Runs a call of a plain service.
pub async fn run(gate: &Rc<Gate>, call: Call) -> Result<Answer, Refusal> {
    match accept(gate, call).await {
        Ok(work) => forward::plain(gate, Rc::new(work)).await,
        Err(denial) => Err(Progress::received(false).refuse(denial)),
    }
}

async fn accept(gate: &Gate, mut call: Call) -> Result<Work, Denial> {
    let view = gate.view();
    check_path(&call.path)?;
    let Some(route) = view.path(&call.path) else {
        let message = "no route matches the path";
        return Err(Denial::new(Reason::RouteUnknown, message));
    };
    let caller = call.caller(gate, route)?;
    let class = call.class(&view, route, caller.as_ref())?;
    let limits = &gate.settings.limits;
    let payload = std::mem::replace(&mut call.payload, actix_http::Payload::None);
    let body = body::read(payload, limits.body.bytes(), limits.body_timeout).await?;
    let headers = forward::headers::for_endpoint(&call.headers);
    call.check_secrecy(&headers, &body)?;
    let idempotency = idempotency(&call)?;
    gate.metrics.accepted(&class.id);
    Ok(Work {
        deadline: call.deadline(&class)?,
        id: call.id,
        kind: Kind::Plain,
        prefix: Vec::new(),
        estimate: Cost::default(),
        route: route.clone(),
        class: Rc::new(class),
        caller,
        arrival: call.arrival,
        method: call.method,
        target: call.target,
        headers,
        body,
        idempotency,
    })
}

/// Refuses paths that an endpoint might read as another path, outside the route's prefix.
fn check_path(path: &str) -> Result<(), Denial> {
    let decoded = super::auth::decoded_percent(path);
    let evasive = |segment: &str| segment == ".." || segment == ".";
    let encoded_slash = decoded.matches('/').count() != path.matches('/').count();
    if encoded_slash || decoded.contains('\\') || decoded.split('/').any(evasive) {
        let message = "the path has dot segments or encoded separators";
        return Err(Denial::new(Reason::BadRequest, message));
    }
    Ok(())
}

fn idempotency(call: &Call) -> Result<Option<String>, Denial> {
    let Some(key) = call.header(IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_BYTES {
        let message = format!("{IDEMPOTENCY_HEADER} must have 1 to {IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(Denial::new(Reason::BadRequest, message));
    }
    Ok(Some(key.to_owned()))
}
