//! Requests and answers as callers and endpoints see them.

mod support;

use std::time::Duration;

use support::{Act, Harness, KEY, Server, is_complete, read_response, request, status};
use tokio::io::AsyncWriteExt as _;
use tokio::time::{Instant, sleep};

const FINE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
const DECLINED: &str =
    "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";

fn fine() -> Vec<Vec<Act>> {
    vec![vec![Act::Say(FINE)]]
}

#[actix_rt::test]
async fn an_endpoint_sees_the_account_and_not_the_key() {
    let server = Server::start(fine()).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("fine") && answer.contains("x-signed: 1"));
    let seen = server.seen.borrow()[0].text.clone();
    assert!(seen.starts_with("post /book/x?y=1 http/1.1"), "{seen}");
    assert!(
        seen.contains("x-account: night") && seen.contains("x-only: e0"),
        "{seen}"
    );
    assert!(!seen.contains(KEY) && seen.ends_with("body"), "{seen}");
}

#[actix_rt::test]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let server = Server::start(vec![vec![Act::Hang], vec![Act::Say(FINE)]]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&answer), "502");
    assert_eq!(server.count(), 1);
}

#[actix_rt::test]
async fn an_idempotent_request_goes_to_another_endpoint() {
    let broken = Server::start(vec![vec![Act::Hang]]).await;
    let sound = Server::start(fine()).await;
    let bench = Harness::start(&[&broken, &sound]).await;
    // Which endpoint is asked first is drawn; the broken one is within a few requests.
    let mut n = 0;
    while broken.count() == 0 && n < 64 {
        let answer = bench.call(&request("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&answer), "200");
        n += 1;
    }
    assert!(broken.count() >= 1, "the broken endpoint was never tried");
}

#[actix_rt::test]
async fn a_declined_request_is_refused_as_not_run_and_says_when_to_come_back() {
    let server = Server::start(vec![vec![Act::Say(DECLINED)]]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&answer), "503");
    assert!(
        answer.to_ascii_lowercase().contains("retry-after: "),
        "{answer}"
    );
    assert_eq!(server.count(), 1);
}

#[actix_rt::test]
async fn a_late_second_answer_reaches_nobody() {
    const TWICE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine\
         HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nextra";
    let server = Server::start(vec![vec![Act::Say(TWICE)], vec![Act::Say(FINE)]]).await;
    let bench = Harness::start(&[&server]).await;
    for n in 0..2 {
        let answer = bench.call(&request("read", &format!("r{n}"), "")).await;
        assert!(
            answer.ends_with("fine") && answer.contains(&format!("x-id: r{n}")),
            "{answer}"
        );
    }
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    const FOREIGN: &str =
        "HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nother";
    let script = vec![Act::Say(FOREIGN), Act::Say(FINE)];
    let server = Server::start(vec![script, vec![Act::Say(FINE)]]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert!(answer.ends_with("fine"), "{answer}");
}

#[actix_rt::test]
async fn a_stream_that_breaks_does_not_look_complete() {
    let script = vec![
        Act::Say(STREAM),
        Act::Say("c\r\nid: 1\ndata\n\n\r\n"),
        Act::Wait(Duration::from_millis(50)),
        Act::Hang,
    ];
    let server = Server::start(vec![script]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("talk", "r1", "body")).await;
    assert!(answer.contains("id: 1"), "{answer}");
    assert!(!is_complete(&answer), "{answer}");
}

#[actix_rt::test]
async fn a_resumable_stream_goes_on_at_another_endpoint_after_its_last_whole_event() {
    let broken = vec![
        Act::Say(STREAM),
        Act::Say("12\r\nid: 1\ndata\n\nid: 2\n\r\n"),
        // The other endpoint is known by then.
        Act::Wait(Duration::from_millis(800)),
        Act::Hang,
    ];
    let rest = vec![
        Act::Say(STREAM),
        Act::Say("c\r\nid: 2\nrest\n\n\r\n0\r\n\r\n"),
    ];
    let one = Server::start(vec![broken.clone(), rest.clone()]).await;
    let bench = Harness::start(&[&one]).await;
    let two = Server::start(vec![rest]).await;
    let answer = {
        let mut caller = bench.connect().await;
        let request = request("draft", "r1", "body");
        caller.write_all(request.as_bytes()).await.expect("written");
        while one.count() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        bench
            .store
            .put("endpoints", "e1", Some(&two.address.to_string()));
        read_response(&mut caller).await
    };
    assert!(is_complete(&answer), "{answer}");
    assert_eq!(answer.matches("id: 1\n").count(), 1, "{answer}");
    assert_eq!(answer.matches("id: 2\n").count(), 1, "{answer}");
    assert!(two.seen.borrow()[0].text.contains("last-event-id: 1"));
}

/// The refusal of the second attempt was written into the stream that the first had begun.
#[actix_rt::test]
async fn a_resumable_stream_that_nobody_goes_on_with_just_ends() {
    let broken = vec![
        Act::Say(STREAM),
        Act::Say("c\r\nid: 1\ndata\n\n\r\n"),
        Act::Wait(Duration::from_millis(50)),
        Act::Hang,
    ];
    let server = Server::start(vec![broken]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("draft", "r1", "body")).await;
    assert!(
        answer.contains("id: 1\n") && !is_complete(&answer),
        "{answer}"
    );
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
}

/// A status that promises "not run" counts only with the endpoint's own statement or signature.
#[actix_rt::test]
async fn an_unsigned_503_promises_nothing() {
    const BARE: &str = "HTTP/1.1 503 Oops\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n";
    let server = Server::start(vec![vec![Act::Say(BARE)]]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&answer), "502");
}

#[actix_rt::test]
async fn an_answer_without_length_is_whole_at_the_end_of_its_connection() {
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\r\nwhole";
    let server = Server::start(vec![vec![Act::Say(UNFRAMED), Act::Hang]]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("read", "r1", "")).await;
    assert!(
        is_complete(&answer) && answer.ends_with("whole"),
        "{answer}"
    );
}

#[actix_rt::test]
async fn a_cut_answer_with_a_length_is_no_success() {
    const SHORT: &str =
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 40\r\n\r\nfin";
    let server = Server::start(vec![vec![Act::Say(SHORT), Act::Hang]]).await;
    let bench = Harness::start(&[&server]).await;
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&answer), "502");
}

#[actix_rt::test]
async fn a_request_is_answered_at_its_routes_timeout() {
    let server = Server::start(vec![vec![Act::Wait(Duration::from_secs(9))]]).await;
    let bench = Harness::start(&[&server]).await;
    let began = Instant::now();
    let answer = bench.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&answer), "504");
    let late = began.elapsed().checked_sub(Duration::from_millis(1500));
    assert!(
        late.is_some_and(|it| it < Duration::from_millis(250)),
        "{late:?}"
    );
}

#[actix_rt::test]
async fn a_caller_that_leaves_cancels_its_request() {
    let server = Server::start(vec![vec![Act::Wait(Duration::from_secs(9))]]).await;
    let bench = Harness::start(&[&server]).await;
    let mut caller = bench.connect().await;
    caller
        .write_all(request("talk", "r1", "body").as_bytes())
        .await
        .expect("written");
    while server.count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(400)).await;
    assert!(
        server.seen.borrow()[0].closed.is_some(),
        "the endpoint still works"
    );
}

#[actix_rt::test]
async fn a_withdrawn_key_is_refused_and_a_new_one_is_served() {
    let server = Server::start(fine()).await;
    let bench = Harness::start(&[&server]).await;
    bench.store.put("settings", "config", Some("7 k-2"));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&bench.call(&request("read", "r1", "")).await), "401");
    // An older version never comes back.
    bench
        .store
        .put("settings", "config", Some(&format!("6 {KEY}")));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&bench.call(&request("read", "r2", "")).await), "401");
    assert_eq!(server.count(), 0);
}

#[actix_rt::test]
async fn without_the_store_keyed_requests_are_refused_before_a_key_can_have_been_withdrawn() {
    let server = Server::start(fine()).await;
    let bench = Harness::start(&[&server]).await;
    assert_eq!(status(&bench.call(&request("read", "r1", "")).await), "200");
    bench.store.is_down.set(true);
    let limit = bench.settings.bounds.withdraw;
    sleep(limit).await;
    assert_eq!(status(&bench.call(&request("read", "r2", "")).await), "503");
    assert_eq!(server.count(), 1);
    bench.store.is_down.set(false);
    sleep(Duration::from_millis(800)).await;
    assert_eq!(status(&bench.call(&request("read", "r3", "")).await), "200");
}

/// The call that waits for changes hangs on a connection that has gone silent; the heartbeat,
/// which is written on the condition that the configuration is the newest, tells.
#[actix_rt::test]
async fn a_new_configuration_is_in_force_in_time_although_the_feed_is_silent() {
    let server = Server::start(fine()).await;
    let bench = Harness::start(&[&server]).await;
    bench.store.is_silent.set(true);
    bench.store.put("settings", "config", Some("7 k-2"));
    sleep(bench.settings.bounds.apply).await;
    assert_eq!(status(&bench.call(&request("read", "r1", "")).await), "401");
}

#[actix_rt::test]
async fn a_malformed_configuration_or_endpoint_leaves_the_last_good_state() {
    let server = Server::start(fine()).await;
    let bench = Harness::start(&[&server]).await;
    bench.store.put("settings", "config", Some("seven"));
    bench.store.put("endpoints", "e9", Some("nowhere"));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&bench.call(&request("read", "r1", "")).await), "200");
}

#[actix_rt::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let leaving = Server::start(fine()).await;
    let staying = Server::start(fine()).await;
    let bench = Harness::start(&[&leaving, &staying]).await;
    let value = format!("{} leaving", leaving.address);
    bench.store.put("endpoints", "e0", Some(&value));
    sleep(Duration::from_millis(300)).await;
    for n in 0..6 {
        assert_eq!(
            status(&bench.call(&request("read", &format!("r{n}"), "")).await),
            "200"
        );
    }
    assert_eq!((leaving.count(), staying.count()), (0, 6));
}

#[actix_rt::test]
async fn a_leaving_host_finishes_its_requests_and_is_not_named() {
    let script = vec![Act::Wait(Duration::from_millis(700)), Act::Say(FINE)];
    let server = Server::start(vec![script]).await;
    let bench = Harness::start(&[&server]).await;
    let mut caller = bench.connect().await;
    caller
        .write_all(request("read", "r1", "").as_bytes())
        .await
        .expect("written");
    while server.count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let directory = bench.settings.listen.directory;
    let closing = actix_rt::spawn(bench.program.close());
    sleep(Duration::from_millis(50)).await;
    let mut asker = tokio::net::TcpStream::connect(directory)
        .await
        .expect("listens");
    asker
        .write_all(b"GET /where HTTP/1.1\r\nhost: h\r\n\r\n")
        .await
        .expect("written");
    assert_eq!(status(&read_response(&mut asker).await), "503");
    let answer = read_response(&mut caller).await;
    assert!(answer.ends_with("fine"), "{answer}");
    assert!(
        answer.to_ascii_lowercase().contains("connection: close"),
        "{answer}"
    );
    assert_eq!(closing.await.expect("closed"), 0);
}

/// A host that had nothing left to do wrote its last heartbeat and ended, and cut off what had come
/// meanwhile. Found by a hunt (Pilbara hunt-019f-19): LOST 4.4 s after SIGTERM.
#[actix_rt::test]
async fn a_leaving_host_finishes_what_comes_until_its_very_end() {
    let script = vec![Act::Wait(Duration::from_millis(600)), Act::Say(FINE)];
    let server = Server::start(vec![script]).await;
    let bench = Harness::start(&[&server]).await;
    let front = bench.settings.listen.front;
    let linger = bench.settings.bounds.addresses.mul_f64(0.8);
    bench.store.commit_time.set(Duration::from_millis(400));
    let closing = actix_rt::spawn(bench.program.close());
    // The first heartbeat of the shutdown takes the first 400 ms.
    sleep(linger + Duration::from_millis(100)).await;
    if let Ok(mut caller) = tokio::net::TcpStream::connect(front).await {
        let request = request("read", "r1", "");
        if caller.write_all(request.as_bytes()).await.is_ok() {
            let answer = read_response(&mut caller).await;
            assert!(answer.is_empty() || answer.ends_with("fine"), "{answer}");
            assert_eq!(
                answer.is_empty(),
                server.count() == 0,
                "cut off after it was sent"
            );
        }
    }
    assert_eq!(closing.await.expect("closed"), 0);
}

#[actix_rt::test]
async fn unknown_routes_and_unreadable_requests_are_told_apart() {
    let server = Server::start(fine()).await;
    let bench = Harness::start(&[&server]).await;
    assert_eq!(
        status(&bench.call(&request("nowhere", "r1", "")).await),
        "404"
    );
    let without_id = "GET /read/x HTTP/1.1\r\nhost: floor.example\r\n\r\n";
    assert_eq!(status(&bench.call(without_id).await), "400");
    assert_eq!(status(&bench.call("nonsense\r\n\r\n").await), "400");
}
