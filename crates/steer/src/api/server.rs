//! HTTP server for operators. It shares the thread of the state.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{HttpService, Request as HttpRequest, Response, StatusCode};
use actix_service::{Service, ServiceFactory};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::api::answer::{Answer, Failure};
use crate::api::request::Request;
use crate::api::router;
use crate::context::Context;
use crate::metrics::Label;

/// Time for a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections at the same time.
const CONNECTION_LIMIT: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves until the task is aborted.
pub async fn run(context: Context, listener: TcpListener) {
    let factory = HttpService::<TcpStream, _, _>::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .finish(move |request: HttpRequest| {
            let context = context.clone();
            async move { Ok::<_, Infallible>(respond(&context, request).await) }
        })
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!(event = "api_not_started");
        return;
    };
    let service = Rc::new(service);
    let places = Rc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let place = Rc::clone(&places);
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!(event = "accept_failed", error = %err);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            let Ok(_place) = place.try_acquire() else {
                return;
            };
            if let Err(err) = service.call(stream).await {
                tracing::debug!(event = "api_connection_failed", error = ?err);
            }
        });
    }
}

async fn respond(context: &Context, request: HttpRequest) -> Response<Vec<u8>> {
    let outcome = match Request::read(request).await {
        Ok(request) => router::route(context, &request).await,
        Err(failure) => Err(failure),
    };
    let code = match &outcome {
        Ok(_) => "ok",
        Err(failure) => &failure.body.code,
    };
    let label = Label::new(code);
    context.metrics.api_requests.get_or_create(&label).inc();
    match outcome {
        Ok(answer) => response(StatusCode::OK, answer),
        Err(Failure { status, body }) => response(status, Answer::json(&body)),
    }
}

fn response(status: StatusCode, answer: Answer) -> Response<Vec<u8>> {
    let mut response = Response::with_body(status, answer.body);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static(answer.content_type);
    headers.insert(header::CONTENT_TYPE, content_type);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(etag) = answer.etag {
        let quoted = HeaderValue::from_str(&format!("\"{etag}\""));
        headers.insert(header::ETAG, quoted.expect("a version is a header value"));
    }
    response
}
