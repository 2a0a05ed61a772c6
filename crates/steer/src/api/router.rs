//! Routing of requests by path and method.

use actix_http::{Method, StatusCode};
use agate_model::operator::Role;
use agate_model::version::FRESHNESS_LIMIT;

use crate::api::auth::Operator;
use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::api::{change, keys, read, status, usage, witnesses};
use crate::context::Context;

/// Content type of the OpenMetrics text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Routes a request to its handler. Health, readiness and metrics need no credential.
pub async fn route(context: &Context, request: &Request) -> Result<Response, Failure> {
    let segments: Vec<&str> = request.segments.iter().map(String::as_str).collect();
    match segments.as_slice() {
        ["healthz"] => Ok(Response::text("text/plain", "ok\n".to_owned())),
        ["readyz"] => ready(context),
        ["metrics"] => Ok(metrics(context)),
        ["api", "v1", path @ ..] => api(context, request, path).await,
        _ => Err(Failure::not_found("this path")),
    }
}

async fn api(context: &Context, request: &Request, path: &[&str]) -> Result<Response, Failure> {
    let operator = Operator::identify(context, request.header("authorization"))?;
    operator.require(needed_role(&request.method))?;
    match (&request.method, path) {
        (&Method::GET, ["resources"]) => read::list(context, &operator, request),
        (&Method::GET, ["resources", kind, id @ ..]) => {
            read::get(context, &operator, kind, &id.join("/"))
        }
        (&Method::PUT, ["resources", kind, id @ ..]) => {
            change::put(context, &operator, request, kind, &id.join("/")).await
        }
        (&Method::DELETE, ["resources", kind, id @ ..]) => {
            change::delete(context, &operator, request, kind, &id.join("/")).await
        }
        (&Method::POST, ["apply"]) => change::apply(context, &operator, request).await,
        (&Method::GET, ["changes", version]) => read::outcome(context, version),
        (&Method::GET, ["watch"]) => read::watch(context, &operator, request).await,
        (&Method::GET, ["status"]) => status::get(context).await,
        (&Method::GET, ["usage"]) => usage::get(context, request).await,
        (&Method::POST, ["keys", account @ ..]) => {
            keys::issue(context, &operator, request, &account.join("/")).await
        }
        (&Method::POST, ["witnesses", host @ .., "ended"]) => {
            witnesses::end(context, &operator, request, &host.join("/")).await
        }
        (&Method::DELETE, ["keys", id @ ..]) => {
            change::delete(context, &operator, request, "key", &id.join("/")).await
        }
        _ => Err(Failure::new(
            StatusCode::NOT_FOUND,
            "not_found",
            "no such path or method",
        )),
    }
}

fn needed_role(method: &Method) -> Role {
    if *method == Method::GET {
        Role::Viewer
    } else {
        Role::Editor
    }
}

fn ready(context: &Context) -> Result<Response, Failure> {
    match context.copy.proof_age() {
        Some(age) if age <= FRESHNESS_LIMIT => {
            Ok(Response::text("text/plain", "ready\n".to_owned()))
        }
        _ => Err(Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "config_stale",
            "no proof that the configuration is current",
        )),
    }
}

fn metrics(context: &Context) -> Response {
    let metrics = &context.metrics;
    let signed = |version| i64::try_from(version).unwrap_or(i64::MAX);
    metrics.version.set(signed(context.copy.version()));
    metrics.accepted.set(signed(context.copy.accepted()));
    let age = context
        .copy
        .proof_age()
        .map_or(-1.0, |age| age.as_secs_f64());
    metrics.proof_age.set(age);
    Response::text(METRICS_TYPE, metrics.text())
}
