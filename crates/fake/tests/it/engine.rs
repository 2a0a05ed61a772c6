//! Tests of the engine: complete and streamed responses, resume, cancellation, priorities.

use std::time::Duration;

use agate_fake::engine::{self, Settings};
use agate_fake::ledger::{Entry, Outcome};
use agate_wire::engine::{Completion, Load};
use agate_wire::fault::Faults;

use crate::client::{ANY_PORT, Client, completion, events, expected_text, read_stream, until};

fn fast() -> Settings {
    Settings {
        step: Duration::from_millis(1),
        ..Settings::new(ANY_PORT, 5)
    }
}

/// Joins the text of the chunks in order of their offsets, without duplicates.
fn joined(body: &[u8]) -> String {
    let (mut events, _) = events(body);
    events.sort_by_key(|event| event.offset);
    events.dedup_by_key(|event| event.offset);
    events.into_iter().map(|event| event.text).collect()
}

fn outcome(engine: &engine::Running, request_id: &str) -> Option<Outcome> {
    let ledger = engine.shared.ledger.borrow();
    let has_id = |entry: &&Entry| entry.header("x-request-id") == Some(request_id);
    ledger.entries().find(has_id).map(|entry| entry.outcome)
}

#[actix_rt::test]
async fn streamed_and_complete_responses_agree() {
    let engine = engine::start(&fast()).expect("engine starts");
    let streamed = completion("lap 3 is turning", 12, true);
    let body = read_stream(engine.address, "r1", &streamed, "0").await;
    assert_eq!(joined(&body), expected_text(&streamed));
    assert!(events(&body).1, "stream has its end marker");

    let client = Client::new(engine.address);
    let reply = client
        .post(
            "/v1/chat/completions",
            &completion("lap 3 is turning", 12, false),
        )
        .await;
    let response: serde_json::Value = reply.json();
    assert_eq!(
        response["choices"][0]["message"]["content"],
        expected_text(&streamed)
    );
    assert_eq!(response["usage"]["completion_tokens"], 12);
    engine.close();
}

#[actix_rt::test]
async fn interrupted_stream_resumes_without_loss() {
    let engine = engine::start(&fast()).expect("engine starts");
    let client = Client::new(engine.address);
    client
        .set_faults(&Faults {
            break_after_chunks: 3,
            ..Faults::default()
        })
        .await;
    let request = completion("dossier", 10, true);
    let first = read_stream(engine.address, "r2", &request, "0").await;
    assert_eq!(events(&first).0.len(), 3);
    assert!(!events(&first).1, "no end marker after a break");

    client.set_faults(&Faults::default()).await;
    let rest = client.get("/v1/streams/r2?offset=3").await;
    let (_, is_ended) = events(&rest.body);
    assert!(is_ended);
    assert_eq!(
        joined(&first) + &joined(&rest.body),
        expected_text(&request)
    );
    engine.close();
}

#[actix_rt::test]
async fn scrambled_stream_contains_every_chunk() {
    let engine = engine::start(&fast()).expect("engine starts");
    let client = Client::new(engine.address);
    client
        .set_faults(&Faults {
            scramble: true,
            ..Faults::default()
        })
        .await;
    let request = completion("dossier", 9, true);
    let body = read_stream(engine.address, "r3", &request, "0").await;
    let offsets: Vec<usize> = events(&body).0.iter().map(|event| event.offset).collect();
    assert_eq!(offsets[..6], [1, 0, 0, 3, 2, 2]);
    assert_eq!(joined(&body), expected_text(&request));
    engine.close();
}

#[actix_rt::test]
async fn generation_ends_on_cancel_not_on_disconnect() {
    let engine = engine::start(&fast()).expect("engine starts");
    let request = completion("long", 1_000_000, true);
    let reader = tokio::task::spawn_local({
        let address = engine.address;
        async move { read_stream(address, "r4", &request, "0").await }
    });
    until(|| engine.generated() > 5).await;
    reader.abort();
    let generated_before = engine.generated();
    until(|| engine.generated() > generated_before + 5).await;
    assert_eq!(outcome(&engine, "r4"), Some(Outcome::Received));

    let client = Client::new(engine.address);
    let reply = client
        .send("DELETE", "/v1/streams/r4", &[], Vec::new())
        .await;
    assert_eq!(reply.expect("cancel request gets a response").status, 200);
    assert_eq!(outcome(&engine, "r4"), Some(Outcome::Cancelled));
    engine.close();
}

#[actix_rt::test]
async fn stream_without_reader_is_cancelled_after_the_limit() {
    let settings = Settings {
        orphan_limit: Duration::from_millis(50),
        ..fast()
    };
    let engine = engine::start(&settings).expect("engine starts");
    let request = completion("long", 1_000_000, true);
    let reader = tokio::task::spawn_local({
        let address = engine.address;
        async move { read_stream(address, "r5", &request, "0").await }
    });
    until(|| engine.generated() > 5).await;
    reader.abort();
    until(|| outcome(&engine, "r5") == Some(Outcome::Cancelled)).await;
    engine.close();
}

#[actix_rt::test]
async fn waiting_requests_start_by_priority() {
    let settings = Settings { slots: 1, ..fast() };
    let engine = engine::start(&settings).expect("engine starts");
    let ended = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let read = |name: &'static str, tokens: u32, priority: &'static str| {
        let (address, ended) = (engine.address, ended.clone());
        tokio::task::spawn_local(async move {
            read_stream(address, name, &completion(name, tokens, true), priority).await;
            ended.borrow_mut().push(name);
        })
    };
    let is_received = |name: &str| outcome(&engine, name).is_some();
    let first = read("first", 200, "4");
    until(|| engine.generated() > 0).await;
    let low = read("low", 20, "4");
    until(|| is_received("low")).await;
    let high = read("high", 20, "0");
    until(|| is_received("high")).await;
    for task in [first, low, high] {
        task.await.expect("reader ends");
    }
    assert_eq!(*ended.borrow(), ["first", "high", "low"]);
    engine.close();
}

#[actix_rt::test]
async fn load_report_lags() {
    let settings = Settings {
        load_lag: Duration::from_millis(300),
        ..fast()
    };
    let engine = engine::start(&settings).expect("engine starts");
    let client = Client::new(engine.address);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let load: Load = client.get("/load").await.json();
    assert!(load.age_ms >= 300);
    engine.close();
}

#[actix_rt::test]
async fn length_without_limit_depends_on_the_request_alone() {
    let length = |text: &str| {
        let request = Completion {
            max_tokens: None,
            ..completion(text, 0, false)
        };
        engine::stream::Script::new(&request, 100).tokens
    };
    assert_eq!(length("a"), length("a"));
    let lengths: Vec<usize> = ["a", "b", "c", "d"].into_iter().map(length).collect();
    assert!(lengths.iter().all(|length| (50..=150).contains(length)));
    assert!(lengths.iter().any(|length| *length != lengths[0]));
}
