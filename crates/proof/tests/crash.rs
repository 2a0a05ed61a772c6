//! Gates and endpoints that are killed in the middle of an answer.

use std::cell::RefCell;
use std::rc::Rc;

use agate_proof::caller::{Streamed, booking, chat, completion, expected, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::wait::{START, until};

fn two_engines() -> Options {
    let args = ["--step", "20ms"].map(str::to_owned).to_vec();
    Options {
        engines: vec![args.clone(), args],
        ..Options::default()
    }
}

fn two_slow_services() -> Options {
    let args = ["--delay", "4s"].map(str::to_owned).to_vec();
    Options {
        hosts: 2,
        services: vec![args.clone(), args],
        ..Options::default()
    }
}

/// Starts a streamed call; the state can be looked at while it runs.
fn begin(request: Request) -> (Rc<RefCell<Streamed>>, actix_rt::task::JoinHandle<Streamed>) {
    let state = Rc::new(RefCell::new(Streamed::default()));
    let seen = state.clone();
    let call =
        actix_rt::spawn(
            async move { stream(&request, |it| *seen.borrow_mut() = it.clone()).await },
        );
    (state, call)
}

async fn received_some(state: &RefCell<Streamed>) {
    until("some text has arrived", START, || {
        std::future::ready((state.borrow().text.len() > 40).then_some(()))
    })
    .await;
}

/// Kills the engine that has received `text`.
async fn kill_engine_of(deployment: &mut Deployment, text: &str) {
    for engine in &mut deployment.engines {
        if engine.count(text).await > 0 {
            engine.program.kill();
            return;
        }
    }
    panic!("no engine has received {text}");
}

#[actix_rt::test]
async fn stream_is_whole_after_its_engine_was_killed() {
    let mut deployment = Deployment::start(two_engines()).await;
    let key = deployment.key("crash").await;
    let request = completion("stream-of-a-killed-engine", 120, true);
    let (state, call) = begin(chat(deployment.gate(0), &key, &request));
    received_some(&state).await;
    kill_engine_of(&mut deployment, "stream-of-a-killed-engine").await;
    let streamed = call.await.expect("caller ends");
    assert_eq!(streamed.error, None);
    assert!(streamed.whole, "stream has its end marker");
    assert_eq!(streamed.text, expected(&request));
}

#[actix_rt::test]
async fn repeatable_answer_is_whole_after_its_engine_was_killed() {
    let mut deployment = Deployment::start(two_engines()).await;
    let key = deployment.key("crash").await;
    let request = completion("answer-of-a-killed-engine", 120, false);
    let call = chat(deployment.gate(0), &key, &request);
    let call = actix_rt::spawn(async move { call.send().await });
    until("an engine has the request", START, || async {
        (deployment.received("answer-of-a-killed-engine").await > 0).then_some(())
    })
    .await;
    kill_engine_of(&mut deployment, "answer-of-a-killed-engine").await;
    let response = call.await.expect("caller ends").expect("gate answers");
    assert_eq!(response.status, 200);
    let answer: serde_json::Value = response.json();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected(&request)
    );
}

#[actix_rt::test]
async fn killed_service_leaves_the_outcome_unknown() {
    let mut deployment = Deployment::start(two_slow_services()).await;
    let key = deployment.key("crash").await;
    let call = booking(deployment.gate(0), &key, "booking-of-a-killed-service");
    let call = actix_rt::spawn(async move { call.send().await });
    until("a service has the booking", START, || async {
        (deployment.received("booking-of-a-killed-service").await > 0).then_some(())
    })
    .await;
    let mut kept = 0;
    for service in &mut deployment.services {
        if service.count("booking-of-a-killed-service").await > 0 {
            service.program.kill();
        } else {
            kept += 1;
        }
    }
    assert_eq!(kept, 1, "one service received the booking");
    let response = call.await.expect("caller ends").expect("gate answers");
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
    let key = deployment.key("crash").await;
    let request = completion("stream-of-a-killed-gate", 120, true);
    let (state, call) = begin(chat(deployment.gate(0), &key, &request));
    received_some(&state).await;
    deployment.hosts[0].gate.kill();
    let broken = call.await.expect("caller ends");
    assert!(!broken.whole, "a broken stream has no end marker");
    assert!(expected(&request).starts_with(&broken.text));
    let again = stream(&chat(deployment.gate(1), &key, &request), |_| {}).await;
    assert!(again.whole);
    assert_eq!(again.text, expected(&request));
}
