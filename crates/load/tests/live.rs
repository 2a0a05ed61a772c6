//! Sends live load to a local test server.

use std::net::SocketAddr;

use agate_load::live::plan::Plan;
use agate_load::live::{self, Route};
use agate_settings::file;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Responds to one request on each connection according to its path, then closes it. `own` is the
/// address that the server lists as its entry host.
async fn serve(listener: TcpListener, own: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(respond(stream, own));
    }
}

async fn respond(mut stream: TcpStream, own: SocketAddr) {
    let mut buffer = vec![0; 4096];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
    let (status, kind, body) = response(&head, own);
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {kind}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
}

/// Returns status, content type and body of the response to a request.
fn response(head: &str, own: SocketAddr) -> (&'static str, &'static str, String) {
    if head.starts_with("GET /v1/addresses") {
        let body = format!(
            r#"{{"hosts":[{{"host":"h","zone":"z","address":"{own}"}}],"keep_seconds":60}}"#
        );
        return ("200 OK", "application/json", body);
    }
    if head.starts_with("GET /refused") {
        let body = r#"{"error":{"type":"server_error","code":"shed","message":"","execution":"not run","request_id":"r"}}"#;
        return (
            "503 Service Unavailable",
            "application/json",
            body.to_owned(),
        );
    }
    let body = "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n".to_owned();
    ("200 OK", "text/event-stream", body)
}

/// Returns a plan with a streamed call that completes and a plain one that is refused.
fn plan(address: SocketAddr) -> Plan {
    let text = format!(
        r"
seed: 1
duration: 200ms
gates: [{address}]
calls:
  - {{ class: whole, key: k, rate: 50, first_token: 5s, between_tokens: 5s, deadline: 10s,
      what: {{ model: {{ model: m, prompt_words: 3, max_tokens: 4 }} }} }}
  - {{ class: refused, rate: 50, first_token: 5s, between_tokens: 5s, deadline: 10s,
      what: {{ plain: {{ path: /refused }} }} }}
"
    );
    file::parse("plan", &text).expect("the plan is valid")
}

#[actix_rt::test]
async fn responses_are_read_to_their_end_and_refusals_counted_by_code() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a local port is available");
    let address = listener.local_addr().expect("the listener has an address");
    let server = actix_rt::spawn(serve(listener, address));
    let summary = tokio::task::LocalSet::new()
        .run_until(live::run(&plan(address), Route::Gates))
        .await
        .summary();
    server.abort();
    let completed = &summary.classes["whole"];
    assert!(completed.offered > 0);
    assert_eq!(completed.attained, completed.offered, "{completed:?}");
    let refused = &summary.classes["refused"];
    assert_eq!(
        refused.refused.get("shed"),
        Some(&refused.offered),
        "{refused:?}"
    );
    assert_eq!(summary.unfinished, 0);
}
