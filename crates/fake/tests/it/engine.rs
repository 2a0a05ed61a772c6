//! Engine: whole answers, resume, cancel, batching by priority.

use std::time::Duration;

use agate_fake::engine::{self, Settings};
use agate_fake::ledger::{Entry, Outcome};
use agate_wire::engine::{Completion, Load};
use agate_wire::fault::Faults;

use crate::client::{ANY, Client, completion, events, expected, read_stream, until};

fn fast() -> Settings {
    Settings {
        step: Duration::from_millis(1),
        ..Settings::new(ANY, 5)
    }
}

fn joined(body: &[u8]) -> String {
    let (mut events, _) = events(body);
    events.sort_by_key(|it| it.offset);
    events.dedup_by_key(|it| it.offset);
    events.into_iter().map(|it| it.text).collect()
}

fn outcome(engine: &engine::Running, request: &str) -> Option<Outcome> {
    let ledger = engine.shared.ledger.borrow();
    let is_it = |it: &&Entry| it.header("x-request-id") == Some(request);
    ledger.entries().find(is_it).map(|it| it.outcome)
}

#[actix_rt::test]
async fn stream_and_whole_answer_agree() {
    let engine = engine::start(&fast()).expect("engine starts");
    let streamed = completion("lap 3 is turning", 12, true);
    let body = read_stream(engine.address, "r1", &streamed, "0").await;
    assert_eq!(joined(&body), expected(&streamed));
    assert!(events(&body).1, "stream has its end marker");

    let client = Client::new(engine.address);
    let reply = client
        .post(
            "/v1/chat/completions",
            &completion("lap 3 is turning", 12, false),
        )
        .await;
    let answer: serde_json::Value = reply.json();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected(&streamed)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 12);
    engine.close();
}

#[actix_rt::test]
async fn broken_stream_resumes_whole() {
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
    assert_eq!(joined(&first) + &joined(&rest.body), expected(&request));
    engine.close();
}

#[actix_rt::test]
async fn scrambled_stream_holds_every_chunk() {
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
    let offsets: Vec<usize> = events(&body).0.iter().map(|it| it.offset).collect();
    assert_eq!(offsets[..6], [1, 0, 0, 3, 2, 2]);
    assert_eq!(joined(&body), expected(&request));
    engine.close();
}

#[actix_rt::test]
async fn only_cancel_frees_the_slot() {
    let engine = engine::start(&fast()).expect("engine starts");
    let request = completion("long", 1_000_000, true);
    let reader = tokio::task::spawn_local({
        let address = engine.address;
        async move { read_stream(address, "r4", &request, "0").await }
    });
    until(|| engine.generated() > 5).await;
    reader.abort();
    let so_far = engine.generated();
    until(|| engine.generated() > so_far + 5).await;
    assert_eq!(outcome(&engine, "r4"), Some(Outcome::Received));

    let client = Client::new(engine.address);
    let reply = client
        .send("DELETE", "/v1/streams/r4", &[], Vec::new())
        .await;
    assert_eq!(reply.expect("cancel is answered").status, 200);
    assert_eq!(outcome(&engine, "r4"), Some(Outcome::Cancelled));
    engine.close();
}

#[actix_rt::test]
async fn abandoned_answer_ends_at_the_limit() {
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
    let run = |name: &'static str, tokens: u32, priority: &'static str| {
        let (address, ended) = (engine.address, ended.clone());
        tokio::task::spawn_local(async move {
            read_stream(address, name, &completion(name, tokens, true), priority).await;
            ended.borrow_mut().push(name);
        })
    };
    let known = |name: &str| outcome(&engine, name).is_some();
    let first = run("first", 200, "4");
    until(|| engine.generated() > 0).await;
    let low = run("low", 20, "4");
    until(|| known("low")).await;
    let high = run("high", 20, "0");
    until(|| known("high")).await;
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
    assert!(lengths.iter().all(|it| (50..=150).contains(it)));
    assert!(lengths.iter().any(|it| *it != lengths[0]));
}
