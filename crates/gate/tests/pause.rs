//! Endpoints that ask for a pause.

mod support;

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::body::MessageBody as _;
use support::{Deployment, Endpoint, run, service, text};
use tokio::time::{Instant, sleep};

/// Returns an endpoint that refuses its first request for a second and serves the others.
async fn pausing() -> Endpoint {
    let count = std::rc::Rc::new(std::cell::Cell::new(0));
    Endpoint::start(move |_| {
        count.set(count.get() + 1);
        let is_first = count.get() == 1;
        async move {
            match is_first {
                true => actix_http::Response::build(StatusCode::SERVICE_UNAVAILABLE)
                    .insert_header(("retry-after", "1"))
                    .body("busy")
                    .map_body(|_, body| body.boxed()),
                false => text(200, "record"),
            }
        }
    })
    .await
}

// Guards against: requests reach an endpoint that has asked for a pause.
#[test]
fn a_paused_endpoint_gets_nothing_until_its_time_is_over() {
    run(async {
        let paused = pausing().await;
        let other = Endpoint::start(|_| async { text(200, "record") }).await;
        let endpoints = vec![service("s1", paused.address), service("s2", other.address)];
        let deployment = Deployment::start(endpoints).await;
        let mut n = 0;
        while paused.count() == 0 && n < 100 {
            assert_eq!(deployment.call("GET", "/records/1", "").await.status, 200);
            n += 1;
        }
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(900) {
            assert_eq!(deployment.call("GET", "/records/1", "").await.status, 200);
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(paused.count(), 1);
        sleep(Duration::from_millis(300)).await;
        for _ in 0..50 {
            deployment.call("GET", "/records/1", "").await;
        }
        assert!(paused.count() > 1, "the endpoint is not used any more");
    });
}
