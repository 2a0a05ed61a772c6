//! HTTP server for operators. It runs on the thread that holds the state.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{HttpService, Request as HttpRequest, Response as HttpResponse, StatusCode};
use actix_service::{Service, ServiceFactory};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::api::router;
use crate::context::Context;
use crate::metrics::Label;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of open connections; connections beyond it are closed at once.
const CONNECTION_LIMIT: usize = 256;

/// Pause after a failed accept, so that a lasting error doesn't cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the task is aborted.
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
    let permits = Rc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let permits = Rc::clone(&permits);
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
            let Ok(_permit) = permits.try_acquire() else {
                return;
            };
            if let Err(err) = service.call(stream).await {
                tracing::debug!(event = "api_connection_failed", error = ?err);
            }
        });
    }
}

async fn respond(context: &Context, request: HttpRequest) -> HttpResponse<Vec<u8>> {
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
        Ok(response) => http_response(StatusCode::OK, response),
        Err(Failure { status, body }) => http_response(status, Response::json(&body)),
    }
}

fn http_response(status: StatusCode, response: Response) -> HttpResponse<Vec<u8>> {
    let mut http_response = HttpResponse::with_body(status, response.body);
    let headers = http_response.headers_mut();
    let content_type = HeaderValue::from_static(response.content_type);
    headers.insert(header::CONTENT_TYPE, content_type);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(etag) = response.etag {
        let quoted = HeaderValue::from_str(&format!("\"{etag}\""));
        headers.insert(
            header::ETAG,
            quoted.expect("an entity tag is a valid header value"),
        );
    }
    http_response
}
