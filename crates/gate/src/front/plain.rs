//! Requests to plain services, which are routed by path prefix.

use std::rc::Rc;

use agate_model::refusal::Reason;

use super::body;
use super::reply::Reply;
use super::route::Call;
use crate::admission::Cost;
use crate::forward;
use crate::gate::Gate;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::{Kind, Work};

/// Header with the caller's idempotency key, by which a repeated request is recognized.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Validates a request to a plain service and forwards it.
pub async fn run(gate: &Rc<Gate>, call: Call) -> Result<Reply, Refusal> {
    match accept(gate, call).await {
        Ok(work) => forward::plain(gate, Rc::new(work)).await,
        Err(denial) => Err(Progress::received(false).refuse(denial)),
    }
}

/// Resolves route, caller and class, and then reads the body.
async fn accept(gate: &Gate, mut call: Call) -> Result<Work, Denial> {
    let view = gate.view();
    check_path(&call.path)?;
    let Some(route) = view.path(&call.path) else {
        let message = "no route matches the path";
        return Err(Denial::new(Reason::RouteUnknown, message));
    };
    let caller = call.caller(gate, route)?;
    let class = call.class(&view, route, caller.as_ref())?;
    let payload = std::mem::replace(&mut call.payload, actix_http::Payload::None);
    let body = body::read(gate, payload).await?;
    let headers = forward::headers::for_endpoint(&call.headers);
    call.check_key_leak(&headers, &body)?;
    let idempotency = idempotency_key(&call)?;
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

/// Refuses paths that an endpoint could resolve to a path outside the route's prefix.
fn check_path(path: &str) -> Result<(), Denial> {
    let decoded = super::auth::percent_decode(path);
    let is_dot_segment = |segment: &str| segment == ".." || segment == ".";
    let has_encoded_slash = decoded.matches('/').count() != path.matches('/').count();
    if has_encoded_slash || decoded.contains('\\') || decoded.split('/').any(is_dot_segment) {
        let message = "the path has dot segments or encoded separators";
        return Err(Denial::new(Reason::BadRequest, message));
    }
    Ok(())
}

/// Returns the caller's idempotency key, or `None` without the header.
fn idempotency_key(call: &Call) -> Result<Option<String>, Denial> {
    let Some(key) = call.header(IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let message =
            format!("{IDEMPOTENCY_HEADER} must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(Denial::new(Reason::BadRequest, message));
    }
    Ok(Some(key.to_owned()))
}
