//! Admission: requests between their arrival and their start, and the endpoints that get them.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use support::{Deployment, Endpoint, KEY, resources, run, service, text, until};

/// A service that responds to every request once `released` is set.
struct HeldService {
    endpoint: Endpoint,
    released: Rc<Cell<bool>>,
}

async fn held_service() -> HeldService {
    let released = Rc::new(Cell::new(false));
    let release = released.clone();
    let endpoint = Endpoint::start(move |_| {
        let release = release.clone();
        async move {
            until(|| release.get()).await;
            text(200, "ok")
        }
    })
    .await;
    HeldService { endpoint, released }
}

fn single_slot_service(id: &str, upstream: &Endpoint) -> Value {
    let mut manifest = service(id, upstream.address);
    manifest["slots"] = json!(1);
    manifest
}

fn resources_with(id: &str, field: &str, value: &Value) -> Vec<Value> {
    let mut all = resources();
    for resource in all.iter_mut().filter(|resource| resource["id"] == id) {
        resource[field] = value.clone();
    }
    all
}

async fn declare(deployment: &Deployment, resources: Vec<Value>) {
    let version = deployment.gate.config.borrow().version();
    deployment.steer.declare(resources);
    until(|| deployment.gate.config.borrow().version() > version).await;
}

fn queued(deployment: &Deployment) -> u32 {
    deployment
        .gate
        .admission
        .demand()
        .iter()
        .map(|pool| pool.queued)
        .sum()
}

#[test]
fn a_queued_request_whose_key_is_withdrawn_is_refused() {
    run(async {
        let upstream = held_service().await;
        let deployment =
            Deployment::start(vec![single_slot_service("s1", &upstream.endpoint)]).await;
        let withdraw = async {
            until(|| upstream.endpoint.count() == 1 && queued(&deployment) == 1).await;
            let mut remaining = resources();
            remaining.retain(|resource| resource["id"] != "key-1");
            remaining.push(single_slot_service("s1", &upstream.endpoint));
            declare(&deployment, remaining).await;
            upstream.released.set(true);
        };
        let (first, second, ()) = tokio::join!(
            deployment.call("GET", "/records/1", ""),
            deployment.call("GET", "/records/2", ""),
            withdraw
        );
        // The first request was sent before the withdrawal, so its response is delivered.
        assert_eq!(first.status, 200);
        assert_eq!(second.refusal(), ("key_invalid".into(), "not run".into()));
        assert_eq!(upstream.endpoint.count(), 1);
    });
}

#[test]
fn a_disconnected_caller_is_removed_from_the_queue() {
    run(async {
        let upstream = held_service().await;
        let deployment =
            Deployment::start(vec![single_slot_service("s1", &upstream.endpoint)]).await;
        let cancelled_call = async {
            until(|| upstream.endpoint.count() == 1).await;
            let call = deployment.call("GET", "/records/2", "");
            assert!(
                tokio::time::timeout(Duration::from_millis(100), call)
                    .await
                    .is_err()
            );
            until(|| queued(&deployment) == 0).await;
            upstream.released.set(true);
        };
        let (first, ()) = tokio::join!(deployment.call("GET", "/records/1", ""), cancelled_call);
        assert_eq!(first.status, 200);
        assert_eq!(upstream.endpoint.count(), 1);
        until(|| deployment.gate.activity.is_idle()).await;
    });
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_is_not_run() {
    run(async {
        let upstream = held_service().await;
        let deployment =
            Deployment::start(vec![single_slot_service("s1", &upstream.endpoint)]).await;
        let bearer = format!("Bearer {KEY}");
        let late = async {
            until(|| upstream.endpoint.count() == 1).await;
            let headers = [
                ("authorization", bearer.as_str()),
                ("x-agate-deadline-ms", "100"),
            ];
            let reply = deployment
                .call_with("GET", "/records/2", &headers, "")
                .await;
            upstream.released.set(true);
            reply
        };
        let (first, late) = tokio::join!(deployment.call("GET", "/records/1", ""), late);
        assert_eq!(first.status, 200);
        assert_eq!(late.refusal(), ("deadline_passed".into(), "not run".into()));
        assert_eq!(upstream.endpoint.count(), 1);
    });
}

#[test]
fn a_concurrency_limit_applies_to_one_account_only() {
    run(async {
        let upstream = held_service().await;
        let mut all = resources_with("workshop", "max_concurrent", &json!(1));
        all.push(service("s1", upstream.endpoint.address));
        let deployment = Deployment::start(vec![]).await;
        declare(&deployment, all).await;
        let others = async {
            until(|| upstream.endpoint.count() == 1).await;
            let second = deployment.call("GET", "/records/2", "").await;
            let headers = [("x-api-key", support::OTHER_KEY)];
            let other = deployment.call_with("GET", "/records/3", &headers, "");
            let release = async {
                until(|| upstream.endpoint.count() == 2).await;
                upstream.released.set(true);
            };
            (second, tokio::join!(other, release).0)
        };
        let (first, (second, other)) =
            tokio::join!(deployment.call("GET", "/records/1", ""), others);
        assert_eq!((first.status, other.status), (200, 200));
        assert_eq!(
            second.refusal(),
            ("account_concurrency".into(), "not run".into())
        );
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    run(async {
        let leaving = Endpoint::start(|_| async { text(200, "leaving") }).await;
        let staying = Endpoint::start(|_| async { text(200, "staying") }).await;
        let endpoints = vec![
            service("s1", leaving.address),
            support::remote(service("s2", staying.address)),
        ];
        let deployment = Deployment::start(endpoints).await;
        assert_eq!(
            deployment.call("GET", "/records/1", "").await.body,
            "leaving"
        );
        deployment.steer.response.borrow_mut().endpoints = Some(agate_wire::sync::EndpointStates {
            revision: 1,
            ordered: vec![],
            leaving: vec!["s1".to_owned()],
        });
        until(|| deployment.gate.config.borrow().endpoint_revision() == 1).await;
        for _ in 0..20 {
            assert_eq!(
                deployment.call("GET", "/records/1", "").await.body,
                "staying"
            );
        }
        assert_eq!(leaving.count(), 1);
    });
}

#[test]
fn an_ordered_endpoint_gets_work() {
    run(async {
        let ordered = Endpoint::start(|_| async { text(200, "ordered") }).await;
        let deployment = Deployment::start(vec![]).await;
        assert_eq!(
            deployment.call("GET", "/records/1", "").await.refusal().0,
            "no_endpoint"
        );
        let mut manifest = service("s9", ordered.address);
        manifest.as_object_mut().expect("an object").remove("kind");
        let endpoint = serde_json::from_value(manifest).expect("an endpoint");
        deployment.steer.response.borrow_mut().endpoints = Some(agate_wire::sync::EndpointStates {
            revision: 1,
            ordered: vec![endpoint],
            leaving: vec![],
        });
        until(|| deployment.gate.config.borrow().endpoint_revision() == 1).await;
        assert_eq!(
            deployment.call("GET", "/records/1", "").await.body,
            "ordered"
        );
    });
}

#[test]
fn an_engine_that_reports_draining_gets_no_new_work() {
    run(async {
        let draining = Endpoint::start(|request| async move {
            match request.target.as_str() {
                "/load" => text(200, r#"{"running":0,"queued":0,"batch_tokens":0,"step_us":0,"models":[],"draining":true,"age_ms":0}"#),
                _ => text(200, "{}"),
            }
        })
        .await;
        let endpoints = vec![support::engine("e1", draining.address)];
        let deployment = Deployment::start(endpoints).await;
        until(|| draining.count() > 0).await;
        let bearer = format!("Bearer {KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("x-agate-deadline-ms", "300"),
        ];
        let body = support::chat_body(false);
        until(|| {
            deployment
                .gate
                .choice
                .room(&["engines".to_owned()], &|_| 1)
                .is_none()
        })
        .await;
        let reply = deployment
            .call_with("POST", "/v1/chat/completions", &headers, &body)
            .await;
        assert_eq!(reply.refusal().1, "not run");
        assert!(
            draining
                .received
                .borrow()
                .iter()
                .all(|request| request.target == "/load")
        );
    });
}

#[test]
fn a_slow_idempotent_request_is_hedged() {
    run(async {
        // Once armed, the endpoint that gets the next request is slow.
        let armed = Rc::new(Cell::new(false));
        let start = async || {
            let armed = armed.clone();
            Endpoint::start(move |_| {
                let armed = armed.clone();
                async move {
                    let slow = armed.replace(false);
                    let delay = if slow { 3000 } else { 20 };
                    tokio::time::sleep(Duration::from_millis(delay)).await;
                    text(200, "price")
                }
            })
            .await
        };
        let (first, second) = (start().await, start().await);
        let mut all = resources_with("chat", "hedge", &json!(true));
        all.push(service("s1", first.address));
        all.push(service("s2", second.address));
        let deployment = Deployment::start(vec![]).await;
        declare(&deployment, all).await;
        for _ in 0..60 {
            assert_eq!(deployment.call("GET", "/prices/1", "").await.status, 200);
        }
        let before = (first.count(), second.count());
        let hedges = deployment.retries("hedge");
        armed.set(true);
        let started = tokio::time::Instant::now();
        assert_eq!(deployment.call("GET", "/prices/1", "").await.body, "price");
        assert!(started.elapsed() < Duration::from_secs(2));
        assert!((deployment.retries("hedge") - hedges - 1.0).abs() < f64::EPSILON);
        assert_eq!(
            (first.count(), second.count()),
            (before.0 + 1, before.1 + 1)
        );
    });
}

#[test]
fn an_explanation_lists_the_endpoints_and_the_decision() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
        let mut leaving = service("s2", upstream.address);
        leaving["leaving"] = json!(true);
        let deployment = Deployment::start(vec![service("s1", upstream.address), leaving]).await;
        let explain = async |query: &str| {
            let url = format!("http://{}/explain?{query}", deployment.program.admin());
            let mut response = deployment
                .client
                .get(url)
                .send()
                .await
                .expect("the admin interface responds to /explain");
            let mut value: Value = response.json().await.expect("JSON");
            value["proof_age_ms"] = json!("(age)");
            value
        };
        insta::assert_yaml_snapshot!(
            "explain_valid",
            explain("path=/records/1&key_id=key-1").await
        );
        insta::assert_yaml_snapshot!("explain_without_key", explain("path=/records/1").await);
        insta::assert_yaml_snapshot!(
            "explain_without_engine",
            explain("model=prism&key_id=key-1").await
        );
    });
}
