//! Guards against responses that are truncated, duplicated or misreported when a gate or an
//! endpoint is killed while a response is in flight.

use std::cell::RefCell;
use std::rc::Rc;

use agate_proof::caller::{Transcript, booking, chat, completion, expected_text, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::wait::{START_TIMEOUT, until};

/// One host and two engines that respond slowly enough to be killed during a response.
fn two_engines() -> Options {
    let standin_args = ["--step", "20ms"].map(str::to_owned).to_vec();
    Options {
        engine_args: vec![standin_args.clone(), standin_args],
        ..Options::default()
    }
}

/// Two hosts and two services that respond after 4 s.
fn two_slow_services() -> Options {
    let standin_args = ["--delay", "4s"].map(str::to_owned).to_vec();
    Options {
        hosts: 2,
        service_args: vec![standin_args.clone(), standin_args],
        ..Options::default()
    }
}

/// Sends a streamed request in a task; the first value holds what has been received so far.
fn start_stream(
    request: Request,
) -> (
    Rc<RefCell<Transcript>>,
    actix_rt::task::JoinHandle<Transcript>,
) {
    let received = Rc::new(RefCell::new(Transcript::default()));
    let shared = received.clone();
    let call = actix_rt::spawn(async move {
        stream(&request, |current| *shared.borrow_mut() = current.clone()).await
    });
    (received, call)
}

/// Waits until more than 40 bytes of text have been received.
async fn wait_for_text(received: &RefCell<Transcript>) {
    until("some text has arrived", START_TIMEOUT, || {
        std::future::ready((received.borrow().text.len() > 40).then_some(()))
    })
    .await;
}

/// Kills the first engine that has received a request with `text`.
async fn kill_engine_of(deployment: &mut Deployment, text: &str) {
    for engine in &mut deployment.engines {
        if engine.count(text).await > 0 {
            engine.program.kill();
            return;
        }
    }
    panic!("no engine has received a request with {text}");
}

#[actix_rt::test]
async fn stream_completes_after_its_engine_is_killed() {
    let mut deployment = Deployment::start(two_engines()).await;
    let key = deployment.grant_key("crash").await;
    let request = completion("stream-of-a-killed-engine", 120, true);
    let (received, call) = start_stream(chat(deployment.gate(0), &key, &request));
    wait_for_text(&received).await;
    kill_engine_of(&mut deployment, "stream-of-a-killed-engine").await;
    let transcript = call.await.expect("caller task completes");
    assert_eq!(transcript.error, None);
    assert!(transcript.is_complete, "stream has its end marker");
    assert_eq!(transcript.text, expected_text(&request));
}

#[actix_rt::test]
async fn idempotent_request_completes_after_its_engine_is_killed() {
    let mut deployment = Deployment::start(two_engines()).await;
    let key = deployment.grant_key("crash").await;
    let request = completion("answer-of-a-killed-engine", 120, false);
    let call = chat(deployment.gate(0), &key, &request);
    let call = actix_rt::spawn(async move { call.send().await });
    until("an engine has the request", START_TIMEOUT, || async {
        (deployment.received_count("answer-of-a-killed-engine").await > 0).then_some(())
    })
    .await;
    kill_engine_of(&mut deployment, "answer-of-a-killed-engine").await;
    let response = call
        .await
        .expect("caller task completes")
        .expect("gate responds");
    assert_eq!(response.status, 200);
    let body: serde_json::Value = response.json();
    assert_eq!(
        body["choices"][0]["message"]["content"],
        expected_text(&request)
    );
}

#[actix_rt::test]
async fn killed_service_makes_execution_unknown_without_a_retry() {
    let mut deployment = Deployment::start(two_slow_services()).await;
    let key = deployment.grant_key("crash").await;
    let call = booking(deployment.gate(0), &key, "booking-of-a-killed-service");
    let call = actix_rt::spawn(async move { call.send().await });
    until("a service has the booking", START_TIMEOUT, || async {
        (deployment
            .received_count("booking-of-a-killed-service")
            .await
            > 0)
        .then_some(())
    })
    .await;
    let mut spared = 0;
    for service in &mut deployment.services {
        if service.count("booking-of-a-killed-service").await > 0 {
            service.program.kill();
        } else {
            spared += 1;
        }
    }
    assert_eq!(spared, 1, "exactly one service received the booking");
    let response = call
        .await
        .expect("caller task completes")
        .expect("gate responds");
    assert_eq!(response.status, 502);
    assert_eq!(response.execution.as_deref(), Some("unknown"));
    for service in &mut deployment.services {
        if service.program.is_running() {
            assert_eq!(service.count("booking-of-a-killed-service").await, 0);
        }
    }
}

#[actix_rt::test]
async fn stream_of_a_killed_gate_has_no_end_marker() {
    let mut deployment = Deployment::start(Options {
        hosts: 2,
        ..two_engines()
    })
    .await;
    let key = deployment.grant_key("crash").await;
    let request = completion("stream-of-a-killed-gate", 120, true);
    let (received, call) = start_stream(chat(deployment.gate(0), &key, &request));
    wait_for_text(&received).await;
    deployment.hosts[0].gate.kill();
    let truncated = call.await.expect("caller task completes");
    assert!(
        !truncated.is_complete,
        "stream of a killed gate is not complete"
    );
    assert!(expected_text(&request).starts_with(&truncated.text));
    let retried = stream(&chat(deployment.gate(1), &key, &request), |_| {}).await;
    assert!(retried.is_complete);
    assert_eq!(retried.text, expected_text(&request));
}
