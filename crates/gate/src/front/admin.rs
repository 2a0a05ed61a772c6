//! What operators read from a gate: metrics, health and explanations.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};

use super::{address, reply};
use crate::explain;
use crate::gate::Gate;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers one request of an operator.
pub fn handle(gate: &Rc<Gate>, request: &Request) -> Response<BoxBody> {
    if request.method() != Method::GET {
        return reply::text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match request.path() {
        "/healthz" => reply::text(StatusCode::OK, "ok\n"),
        "/readyz" => address::readiness(gate),
        "/metrics" => metrics(gate),
        "/explain" => explain::answer(gate, request),
        _ => reply::text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn metrics(gate: &Gate) -> Response<BoxBody> {
    gate.metrics.connected(gate.connections.get());
    {
        let config = gate.config.borrow();
        let age = config.age(tokio::time::Instant::now());
        gate.metrics.configured(config.version(), age);
    }
    let body = gate.metrics.encode();
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(body));
    let value = HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
