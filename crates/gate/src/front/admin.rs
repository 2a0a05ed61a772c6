//! HTTP interface for operators: health, readiness, metrics and explanations.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};

use super::{address, reply};
use crate::explain;
use crate::gate::Gate;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the response to one operator request. Only GET is allowed.
pub fn handle(gate: &Rc<Gate>, request: &Request) -> Response<BoxBody> {
    if request.method() != Method::GET {
        return reply::text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match request.path() {
        "/healthz" => reply::text(StatusCode::OK, "ok\n"),
        "/readyz" => address::readiness(gate),
        "/metrics" => metrics(gate),
        "/explain" => explain::respond(gate, request),
        _ => reply::text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Returns all metrics, after setting the gauges that are only computed when they are read.
fn metrics(gate: &Gate) -> Response<BoxBody> {
    gate.metrics.set_connections(gate.connections.get());
    {
        let config = gate.config.borrow();
        let age = config.age(tokio::time::Instant::now());
        gate.metrics.set_config(config.version(), age);
    }
    let body = gate.metrics.encode();
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(body));
    let value = HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
