//! Tests of injected faults, of the ledger, and of requests that arrive too slowly.

use std::time::Duration;

use agate_fake::ledger::{Count, Entry, Outcome};
use agate_fake::service;
use agate_wire::fault::Faults;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::client::{Client, options};

fn start(idle: Duration) -> service::Running {
    let settings = service::Settings {
        server: agate_fake::server::Options { idle, ..options() },
        delay: Duration::ZERO,
    };
    service::start(&settings).expect("service starts")
}

fn response_lost() -> Faults {
    Faults {
        lose_answer_rate: 1.0,
        ..Faults::default()
    }
}

fn failing() -> Faults {
    Faults {
        error_rate: 1.0,
        ..Faults::default()
    }
}

fn cut() -> Faults {
    Faults {
        cut: true,
        ..Faults::default()
    }
}

#[rstest]
#[case::response_lost(response_lost(), 1)]
#[case::failing(failing(), 0)]
#[case::cut(cut(), 0)]
#[actix_rt::test]
async fn fault_determines_whether_the_request_is_executed(
    #[case] faults: Faults,
    #[case] executions: u64,
) {
    let service = start(Duration::from_secs(5));
    let client = Client::new(service.address);
    client.set_faults(&faults).await;
    let reply = client.try_post("/book/7", &"spindle 4").await;
    assert!(reply.map_or(true, |reply| reply.status == 503));
    assert_eq!(service.executions(), executions);

    client.set_faults(&Faults::default()).await;
    assert_eq!(client.post("/book/7", &"spindle 4").await.status, 200);
    let ledger: Vec<Entry> = client.get("/admin/ledger").await.json();
    assert_eq!(ledger[ledger.len() - 1].outcome, Outcome::Completed);
    let lost = ledger.iter().filter(|entry| entry.answer_lost).count();
    assert_eq!(lost as u64, executions);
    service.close();
}

#[actix_rt::test]
async fn frozen_request_is_not_executed_once_the_fault_is_lifted() {
    let service = start(Duration::from_secs(5));
    let client = Client::new(service.address);
    let frozen = Faults {
        frozen: true,
        ..Faults::default()
    };
    client.set_faults(&frozen).await;
    let call = client.try_post("/book/7", &"spindle 4");
    assert!(
        tokio::time::timeout(Duration::from_millis(200), call)
            .await
            .is_err()
    );
    client.set_faults(&Faults::default()).await;
    assert_eq!(client.post("/book/8", &"spindle 4").await.status, 200);
    assert_eq!(service.executions(), 1);
    service.close();
}

#[rstest]
#[case::nothing_sent("", "POST /book HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab")]
#[case::part_of_the_head("POST /book HTTP/1.1\r\n", "host: a\r\ncontent-length: 2\r\n\r\nab")]
#[case::part_of_the_body("POST /book HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na", "b")]
#[actix_rt::test]
async fn request_completed_after_the_idle_timeout_is_not_executed(
    #[case] early: &str,
    #[case] late: &str,
) {
    let service = start(Duration::from_millis(300));
    let mut stream = TcpStream::connect(service.address).await.expect("connects");
    stream
        .write_all(early.as_bytes())
        .await
        .expect("early part is sent");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let _ = stream.write_all(late.as_bytes()).await;
    let mut response = Vec::new();
    let end = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
    assert!(end.is_ok(), "connection is closed");
    assert!(!String::from_utf8_lossy(&response).contains(" 200 "));
    assert_eq!(service.executions(), 0);
    service.close();
}

#[actix_rt::test]
async fn ledger_search_covers_query_headers_and_body() {
    let service = start(Duration::from_secs(5));
    let client = Client::new(service.address);
    let send = |path: &'static str, header: &'static str, body: &'static str| {
        let body = body.as_bytes().to_vec();
        let client = &client;
        async move { client.send("POST", path, &[("x-note", header)], body).await }
    };
    for (path, header, body) in [
        ("/a?key=sesame", "", ""),
        ("/a", "sesame", ""),
        ("/a", "", "{\"key\":\"sesame\"}"),
        ("/a", "", ""),
    ] {
        send(path, header, body)
            .await
            .expect("request gets a response");
    }
    let found: Count = client.get("/admin/ledger?contains=sesame").await.json();
    assert_eq!(found.count, 3);
    service.close();
}
