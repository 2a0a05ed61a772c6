//! Streamed responses whose chunks arrive twice, out of order, in part, or not at all.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::{BodyStream, BoxBody};
use bytes::Bytes;
use rstest::rstest;
use support::{
    DONE, Deployment, Endpoint, KEY, Received, engine, event, event_stream, run, text, until,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const WORDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn chunks(offsets: &[u64]) -> String {
    let last = WORDS.len() as u64 - 1;
    let chunk = |at: &u64| {
        event(
            *at,
            WORDS[usize::try_from(*at).expect("small")],
            *at == last,
        )
    };
    offsets.iter().map(chunk).collect()
}

fn offset(request: &Received) -> u64 {
    let (_, offset) = request.target.split_once("offset=").expect("an offset");
    offset.parse().expect("a number")
}

/// Starts an engine that streams `first`, and from the requested offset on when it is resumed.
async fn resumable(first: String) -> Endpoint {
    Endpoint::start(move |request| {
        let first = first.clone();
        async move {
            if request.method == "POST" {
                return event_stream(first);
            }
            let rest: Vec<u64> = (offset(&request)..WORDS.len() as u64).collect();
            event_stream(chunks(&rest) + DONE)
        }
    })
    .await
}

/// Starts an engine that streams `first` and responds 404 to every resume.
async fn unresumable(first: String) -> Endpoint {
    Endpoint::start(move |request| {
        let first = first.clone();
        async move {
            match request.method.as_str() {
                "POST" => event_stream(first),
                _ => text(404, ""),
            }
        }
    })
    .await
}

#[rstest]
#[case::in_order(chunks(&[0, 1, 2, 3, 4, 5]) + DONE, 0)]
#[case::doubled_and_swapped(chunks(&[1, 0, 0, 3, 2, 3, 5, 4, 1]) + DONE, 0)]
#[case::marker_overtakes(chunks(&[0, 1, 2]) + DONE + &chunks(&[3, 4, 5]), 0)]
#[case::broken_off(chunks(&[0, 1, 2]), 1)]
#[case::nothing(String::new(), 1)]
#[case::end_lost(chunks(&[0, 1, 2, 3, 4, 5]), 1)]
#[case::gap(chunks(&[0, 1, 3, 4, 5]) + DONE, 1)]
#[case::tail_lost(chunks(&[0, 1, 2, 3]) + DONE, 1)]
fn a_caller_receives_the_complete_response_once(#[case] first: String, #[case] resumes: usize) {
    run(async {
        let upstream = resumable(first).await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let reply = deployment.chat(true).await;
        assert_eq!(reply.text(), "abcdef");
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        assert_eq!(upstream.count(), 1 + resumes);
        until(|| !deployment.steer.usage().is_empty()).await;
        assert_eq!(deployment.steer.usage()[0].figures.answer_tokens, 6);
    });
}

#[test]
fn a_missing_chunk_is_fetched_while_later_chunks_arrive() {
    run(async {
        let upstream = Endpoint::start(|request| async move {
            if request.method == "GET" {
                let rest: Vec<u64> = (offset(&request)..WORDS.len() as u64).collect();
                return event_stream(chunks(&rest) + DONE);
            }
            let part = Bytes::from(chunks(&[0, 2, 3]));
            open_stream(vec![part], Duration::from_secs(20))
        })
        .await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        assert_eq!(deployment.chat(true).await.text(), "abcdef");
    });
}

#[test]
fn a_stalled_stream_is_resumed() {
    run(async {
        let upstream = Endpoint::start(|request| async move {
            if request.method == "GET" {
                let rest: Vec<u64> = (offset(&request)..WORDS.len() as u64).collect();
                return event_stream(chunks(&rest) + DONE);
            }
            open_stream(vec![Bytes::from(chunks(&[0, 1]))], Duration::from_secs(20))
        })
        .await;
        let mut settings = support::settings();
        settings.limits.stall_timeout = Duration::from_millis(100);
        let deployment = Deployment::with(settings, vec![engine("e1", upstream.address)]).await;
        assert_eq!(deployment.chat(true).await.text(), "abcdef");
    });
}

#[rstest]
#[case::same_cuts(vec!["a", "b", "c", "d"])]
#[case::other_cuts(vec!["ab", "cd"])]
#[case::cut_within(vec!["", "abcd"])]
fn a_lost_stream_is_regenerated_if_the_other_engine_generates_the_same_text(
    #[case] pieces: Vec<&'static str>,
) {
    run(async {
        let lost = unresumable(chunks(&[0, 1, 2])).await;
        let other = Endpoint::start(move |_| {
            let last = pieces.len() - 1;
            let all: String = pieces
                .iter()
                .enumerate()
                .map(|(at, piece)| event(at as u64, piece, at == last))
                .collect();
            async move { event_stream(all + DONE) }
        })
        .await;
        let deployment = start_with_lost_engine(&lost, &other).await;
        let reply = deployment.chat(true).await;
        assert_eq!(reply.text(), "abcd");
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        assert!((deployment.retries("regenerate") - 1.0).abs() < f64::EPSILON);
    });
}

#[rstest]
#[case::different("axcd")]
#[case::shorter("ab")]
fn a_divergent_regeneration_ends_in_an_explicit_error(#[case] regenerated: &'static str) {
    run(async {
        let lost = unresumable(chunks(&[0, 1, 2])).await;
        let other =
            Endpoint::start(
                move |_| async move { event_stream(event(0, regenerated, true) + DONE) },
            )
            .await;
        let deployment = start_with_lost_engine(&lost, &other).await;
        let reply = deployment.chat(true).await;
        assert_eq!(reply.text(), "abc");
        assert_error(&reply, "endpoint_failed");
        until(|| !deployment.steer.usage().is_empty()).await;
        let counters = deployment.steer.usage()[0].figures;
        assert_eq!(
            (
                counters.requests,
                counters.prompt_tokens,
                counters.answer_tokens
            ),
            (0, 0, 3)
        );
    });
}

#[test]
fn a_lost_stream_without_another_engine_ends_in_an_explicit_error() {
    run(async {
        let lost = unresumable(chunks(&[0, 1, 2])).await;
        let deployment = Deployment::start(vec![engine("e1", lost.address)]).await;
        let reply = deployment.chat(true).await;
        assert!(reply.text().starts_with("abc"));
        assert_error(&reply, "endpoint_failed");
    });
}

#[test]
fn a_stream_is_not_resumed_for_a_withdrawn_key() {
    run(async {
        let withdrawn = Rc::new(Cell::new(false));
        let release = withdrawn.clone();
        let upstream = Endpoint::start(move |_| {
            let release = release.clone();
            async move {
                let first = futures_util::stream::once(async {
                    Ok::<_, std::io::Error>(Bytes::from(chunks(&[0, 1])))
                });
                let wait = futures_util::stream::once(async move {
                    until(|| release.get()).await;
                    Ok(Bytes::from_static(b":\n"))
                });
                let body = futures_util::StreamExt::chain(first, wait);
                stream_of(BodyStream::new(Box::pin(body)))
            }
        })
        .await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let mut remaining = support::resources();
        remaining.retain(|resource| resource["id"] != "key-1");
        remaining.push(engine("e1", upstream.address));
        let withdraw = async {
            until(|| upstream.count() == 1).await;
            deployment.steer.declare(remaining);
            until(|| deployment.gate.config.borrow().version() == 2).await;
            withdrawn.set(true);
        };
        let (reply, ()) = tokio::join!(deployment.chat(true), withdraw);
        assert_eq!(reply.text(), "ab");
        assert_error(&reply, "key_invalid");
        assert_eq!(
            upstream
                .received
                .borrow()
                .iter()
                .filter(|request| request.method == "GET")
                .count(),
            0
        );
    });
}

#[test]
fn a_disconnected_caller_is_charged_for_what_it_received() {
    run(async {
        let upstream = Endpoint::start(|request| async move {
            match request.method.as_str() {
                "POST" => open_stream(vec![Bytes::from(chunks(&[0, 1]))], Duration::from_secs(20)),
                _ => text(200, ""),
            }
        })
        .await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let mut caller = connect(&deployment).await;
        let mut received = Vec::new();
        while !String::from_utf8_lossy(&received).contains("\"b\"") {
            let mut buffer = [0; 1024];
            let count = caller.read(&mut buffer).await.expect("an open connection");
            received.extend_from_slice(&buffer[..count]);
        }
        drop(caller);
        until(|| {
            upstream
                .received
                .borrow()
                .iter()
                .any(|request| request.method == "DELETE")
        })
        .await;
        until(|| !deployment.steer.usage().is_empty()).await;
        let counters = deployment.steer.usage()[0].figures;
        assert_eq!((counters.requests, counters.answer_tokens), (0, 2));
        until(|| deployment.gate.activity.is_idle()).await;
    });
}

#[test]
fn a_caller_that_does_not_read_is_disconnected_and_its_buffer_is_bounded() {
    run(async {
        let produced = Rc::new(Cell::new(0_usize));
        let counter = produced.clone();
        let upstream = Endpoint::start(move |request| {
            let counter = counter.clone();
            async move {
                if request.method != "POST" {
                    return text(200, "");
                }
                let filler = "x".repeat(10_000);
                let endless = futures_util::stream::unfold(0_u64, move |at| {
                    let data = Bytes::from(event(at, &filler, false));
                    counter.set(counter.get() + data.len());
                    async move { Some((Ok::<_, std::io::Error>(data), at + 1)) }
                });
                stream_of(BodyStream::new(Box::pin(endless)))
            }
        })
        .await;
        let mut settings = support::settings();
        settings.limits.read_timeout = Duration::from_millis(300);
        let deployment = Deployment::with(settings, vec![engine("e1", upstream.address)]).await;
        let _caller = connect(&deployment).await;
        until(|| {
            upstream
                .received
                .borrow()
                .iter()
                .any(|request| request.method == "DELETE")
        })
        .await;
        // Socket buffers hold a few megabytes; the gate holds `stream_events` events.
        assert!(produced.get() < 32 << 20, "{} bytes", produced.get());
    });
}

fn assert_error(reply: &support::Reply, code: &str) {
    let events = reply.events();
    let last: serde_json::Value =
        serde_json::from_str(events.last().expect("events")).expect("JSON");
    assert_eq!(last["error"]["code"], code);
    assert!(!events.iter().any(|event| event == "[DONE]"));
}

/// Starts a deployment whose first attempt goes to `lost`, because `other` is in another zone.
async fn start_with_lost_engine(lost: &Endpoint, other: &Endpoint) -> Deployment {
    let other = support::remote(engine("e2", other.address));
    Deployment::start(vec![engine("e1", lost.address), other]).await
}

fn open_stream(parts: Vec<Bytes>, open_for: Duration) -> Response<BoxBody> {
    let parts = futures_util::stream::iter(parts.into_iter().map(Ok::<_, std::io::Error>));
    let pause = futures_util::stream::once(async move {
        tokio::time::sleep(open_for).await;
        Ok(Bytes::from_static(b":\n"))
    });
    let body = futures_util::StreamExt::chain(parts, pause);
    stream_of(BodyStream::new(Box::pin(body)))
}

fn stream_of(body: impl actix_http::body::MessageBody + 'static) -> Response<BoxBody> {
    event_stream(String::new()).map_body(|_, _| BoxBody::new(body))
}

async fn connect(deployment: &Deployment) -> tokio::net::TcpStream {
    let address = deployment.program.address();
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the gate listens");
    let body = support::chat_body(true);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: gate\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    stream
}
