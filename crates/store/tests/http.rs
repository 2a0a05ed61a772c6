//! HTTP clients against servers that record what they receive.

use std::cell::{Cell, RefCell};
use std::io::Read as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use agate_model::endpoint::{Endpoint, Fencing, Kind, Protocol};
use agate_store::Error;
use agate_store::http::{Client, EngineClient};
use agate_store::interface::{Engines as _, Objects, Orders as _, Tables};
use agate_wire::engine::{self, Fenced};
use agate_wire::order::{Action, Order, Receipt};
use agate_wire::table::{Check, Conflict, Transaction};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that accepts one connection, reads a request, sends `response` and closes.
/// Returns the address and the text received.
async fn server(response: Option<String>) -> (SocketAddr, oneshot::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (sender, received) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut buf = vec![0; 4096];
        let length = stream.read(&mut buf).await.unwrap_or(0);
        if let Some(response) = response {
            let _ = stream.write_all(response.as_bytes()).await;
        }
        let _ = stream.shutdown().await;
        let _ = sender.send(String::from_utf8_lossy(&buf[..length]).into_owned());
    });
    (address, received)
}

/// Response with the given status line and body.
fn response(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    ))
}

fn order() -> Order {
    Order {
        id: "o-1".to_owned(),
        epoch: 3,
        sender: "host-1".to_owned(),
        action: Action::Stop {
            endpoint: "e".to_owned(),
        },
    }
}

#[actix_rt::test]
async fn refused_connection_is_unreached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let client = Client::new(address, TIMEOUT);
    let outcome = client.commit(&Transaction::default()).await;
    assert!(matches!(outcome, Err(Error::Unreached(_))), "{outcome:?}");
    let outcome = client.order(&order(), TIMEOUT, &|| true).await;
    assert!(matches!(outcome, Err(Error::Unreached(_))), "{outcome:?}");
}

#[actix_rt::test]
async fn connection_closed_without_response_is_unknown() {
    let (address, received) = server(None).await;
    let outcome = Client::new(address, TIMEOUT)
        .commit(&Transaction::default())
        .await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert!(
        received
            .await
            .expect("request")
            .starts_with("POST /tables/transactions")
    );

    let (address, received) = server(None).await;
    let outcome = Client::new(address, TIMEOUT)
        .order(&order(), TIMEOUT, &|| true)
        .await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert!(received.await.expect("request").contains("o-1"));
}

#[actix_rt::test]
async fn timeout_without_response_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let client = Client::new(address, TIMEOUT);
    let outcome = client.commit(&Transaction::default()).await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    let outcome = client.order(&order(), TIMEOUT, &|| true).await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

#[rstest]
#[case("503 Service Unavailable", true)]
#[case("429 Too Many Requests", true)]
#[case("400 Bad Request", true)]
#[case("500 Internal Server Error", false)]
#[case("504 Gateway Timeout", false)]
#[case("307 Temporary Redirect", false)]
#[actix_rt::test]
async fn status_tells_whether_the_call_had_an_effect(
    #[case] status: &str,
    #[case] is_refused: bool,
) {
    let (address, _received) = server(response(status, "no")).await;
    let outcome = Client::new(address, TIMEOUT)
        .commit(&Transaction::default())
        .await;
    match outcome {
        Err(Error::Refused { .. }) => assert!(is_refused),
        Err(Error::Unknown(_)) => assert!(!is_refused),
        other => panic!("{other:?}"),
    }
}

#[actix_rt::test]
async fn conflict_names_the_row() {
    let conflict = Conflict {
        check: Check {
            table: "config".to_owned(),
            key: "head".to_owned(),
            revision: Some(1),
        },
        found: None,
    };
    let body = serde_json::to_string(&conflict).expect("json");
    let (address, _received) = server(response("409 Conflict", &body)).await;
    let outcome = Client::new(address, TIMEOUT)
        .commit(&Transaction::default())
        .await;
    assert_eq!(outcome, Err(Error::Conflict(Box::new(conflict))));
}

#[actix_rt::test]
async fn nothing_is_sent_without_permission() {
    let (address, received) = server(None).await;
    let outcome = Client::new(address, TIMEOUT)
        .order(&order(), TIMEOUT, &|| false)
        .await;
    assert!(matches!(outcome, Err(Error::Unreached(_))), "{outcome:?}");
    assert_eq!(received.await.expect("connection"), "");
}

#[actix_rt::test]
async fn order_carries_its_idempotency_key() {
    let body = serde_json::to_string(&Receipt::Unavailable).expect("json");
    let (address, received) = server(response("200 OK", &body)).await;
    let outcome = Client::new(address, TIMEOUT)
        .order(&order(), TIMEOUT, &|| true)
        .await;
    assert_eq!(outcome, Ok(Receipt::Unavailable));
    let received = received.await.expect("request").to_lowercase();
    assert!(received.contains("idempotency-key: o-1"), "{received}");
}

#[actix_rt::test]
async fn fenced_order_returns_a_receipt() {
    let receipt = Receipt::Fenced { epoch: 7 };
    let body = serde_json::to_string(&receipt).expect("json");
    let (address, _received) = server(response("409 Conflict", &body)).await;
    let outcome = Client::new(address, TIMEOUT)
        .order(&order(), TIMEOUT, &|| true)
        .await;
    assert_eq!(outcome, Ok(receipt));
}

/// Model engine at `address` that requires a credential.
fn engine(address: SocketAddr) -> Endpoint {
    Endpoint {
        id: "e".to_owned(),
        pool: "p".to_owned(),
        address,
        zone: "a".to_owned(),
        kind: Kind::Standard,
        fencing: Fencing::Checked,
        protocol: Protocol::Engine,
        slots: 8,
        credential: Some("endpoint-secret".to_owned()),
        leaving: false,
    }
}

#[rstest]
#[case("409 Conflict", r#"{"epoch":7}"#, Err(Fenced { epoch: 7 }))]
#[case("200 OK", "{}", Ok(()))]
#[actix_rt::test]
async fn engine_order_carries_the_endpoints_credential(
    #[case] status: &str,
    #[case] body: &str,
    #[case] expected: Result<(), Fenced>,
) {
    let (address, received) = server(response(status, body)).await;
    let order = engine::Order {
        id: "load/1/e/m/0".to_owned(),
        epoch: 1,
        sender: "host-1".to_owned(),
        action: engine::Action::Drain,
    };
    let client = EngineClient::new(TIMEOUT);
    let outcome = client
        .order(&engine(address), &order, TIMEOUT, &|| true)
        .await;
    assert_eq!(outcome, Ok(expected));
    let received = received.await.expect("request").to_lowercase();
    assert!(received.contains("bearer endpoint-secret"), "{received}");
    assert!(received.starts_with("post /orders "), "{received}");
}

#[actix_rt::test]
async fn engine_order_is_not_sent_without_permission() {
    let (address, received) = server(response("200 OK", "{}")).await;
    let order = engine::Order {
        id: "load/1/e/m/0".to_owned(),
        epoch: 1,
        sender: "host-1".to_owned(),
        action: engine::Action::Drain,
    };
    let client = EngineClient::new(TIMEOUT);
    let outcome = client
        .order(&engine(address), &order, TIMEOUT, &|| false)
        .await;
    assert!(matches!(outcome, Err(Error::Unreached(_))));
    assert_eq!(received.await.expect("connection"), "");
}

/// Starts a server that answers the first request on its first connection with a row, reads the second
/// one and closes the connection, which is what a client sees of a connection that was closed for being
/// idle while the request was on its way. It answers the first request on each later connection if
/// `recovers` is set, and closes that connection otherwise. Returns the address, and the start of each
/// request received.
async fn closing_server(recovers: bool) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let received = Rc::new(RefCell::new(Vec::new()));
    let requests = received.clone();
    let body = r#"{"key":"head","value":"1","revision":1}"#;
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    actix_rt::spawn(async move {
        for connection in 0.. {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let mut buf = vec![0; 4096];
            for request in 0..2 {
                let length = stream.read(&mut buf).await.unwrap_or(0);
                if length == 0 {
                    break;
                }
                let start = String::from_utf8_lossy(&buf[..length.min(16)]).into_owned();
                requests.borrow_mut().push(start);
                if request > 0 || (connection > 0 && !recovers) {
                    break;
                }
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    });
    (address, received)
}

// Guards against: a read fails because the store closed an idle connection at the same moment.
#[actix_rt::test]
async fn a_read_on_a_connection_that_was_closed_while_idle_is_repeated() {
    let (address, received) = closing_server(true).await;
    let client = Client::new(address, TIMEOUT);
    for _ in 0..2 {
        let row = Tables::get(&client, "config", "head").await;
        let value = row.expect("a response").expect("the row").value;
        assert_eq!(value, "1");
    }
    assert_eq!(received.borrow().len(), 3, "{received:?}");
}

#[actix_rt::test]
async fn a_read_is_repeated_only_once() {
    let (address, received) = closing_server(false).await;
    let client = Client::new(address, TIMEOUT);
    let first = Tables::get(&client, "config", "head").await;
    assert!(first.is_ok(), "{first:?}");
    let outcome = Tables::get(&client, "config", "head").await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert_eq!(received.borrow().len(), 3, "{received:?}");
}

#[actix_rt::test]
async fn a_write_is_not_repeated() {
    let (address, received) = closing_server(true).await;
    let client = Client::new(address, TIMEOUT);
    let first = Tables::get(&client, "config", "head").await;
    assert!(first.is_ok(), "{first:?}");
    let outcome = client.commit(&Transaction::default()).await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert_eq!(received.borrow().len(), 2, "{received:?}");
}

/// Starts a server that accepts one connection and closes it after 50 ms without a byte, or keeps it
/// for 10 s unless `closes` is set. Returns the address, a channel that signals when the connection
/// is closed or kept, and the thread, which returns the number of bytes received.
fn idle_server(closes: bool) -> (SocketAddr, mpsc::Receiver<()>, JoinHandle<usize>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (sender, closed) = mpsc::channel();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let idle_millis = if closes { 50 } else { 10_000 };
        let timeout = Some(Duration::from_millis(idle_millis));
        stream.set_read_timeout(timeout).expect("timeout");
        let mut buf = [0; 4096];
        if !closes {
            let _ = sender.send(());
        }
        let received = stream.read(&mut buf).unwrap_or(0);
        drop(stream);
        let _ = sender.send(());
        received
    });
    (address, closed, server)
}

/// A sender that is paused between its last check and the first byte still sends the order when it
/// resumes. A receiver that ignores fencing tokens is protected only if it has closed the idle
/// connection by then.
#[rstest]
#[case::closes_idle_connections(true)]
#[case::keeps_idle_connections(false)]
#[actix_rt::test]
async fn order_of_a_paused_sender_arrives_unless_the_idle_connection_is_closed(
    #[case] closes: bool,
) {
    let (address, closed, server) = idle_server(closes);
    let is_paused = Cell::new(true);
    let may_send = || {
        if is_paused.replace(false) {
            closed.recv().expect("the server signals");
        }
        true
    };
    let client = Client::new(address, TIMEOUT);
    let outcome = client.order(&order(), TIMEOUT, &may_send).await;
    assert!(outcome.is_err());
    let received = server
        .join()
        .expect("the server thread ends without a panic");
    assert_eq!(received == 0, closes, "received {received} bytes");
}

/// Starts a server that answers each request with `start` and then `flood` again and again until the
/// connection is closed. Returns the address and, after that, the number of bytes sent.
async fn flood(start: &'static str, flood: &'static str) -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (sender, sent) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut buf = vec![0; 4096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(start.as_bytes()).await;
        let piece = flood.repeat(64);
        let mut count = 0;
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            count += piece.len();
        }
        let _ = sender.send(count);
    });
    (address, sent)
}

// Guards against: bytes without end in a response are kept until the process is out of memory.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-id: ", "a-long-value-", 1 << 20)]
#[case::heads("", "HTTP/1.1 103 Early Hints\r\n\r\n", 1 << 20)]
#[case::body("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", 96 << 20)]
#[case::no_http("", "what is this", 1 << 20)]
#[actix_rt::test]
async fn an_endless_response_is_cut(
    #[case] start: &'static str,
    #[case] bytes: &'static str,
    #[case] limit: usize,
) {
    let (address, sent) = flood(start, bytes).await;
    let client = Client::new(address, Duration::from_secs(20));
    let outcome = client.commit(&Transaction::default()).await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    drop(client);
    let sent = tokio::time::timeout(Duration::from_secs(20), sent).await;
    let sent = sent.expect("in time").expect("the connection is closed");
    // Up to 12 MiB more are in the buffers of both sockets.
    assert!(sent < limit + (12 << 20), "{sent} bytes were sent");
}

// Guards against: an endless answer to an order, which is short, is kept until the process is out of memory.
#[actix_rt::test]
async fn an_endless_answer_to_an_order_is_cut() {
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let (address, sent) = flood(start, "10\r\n0123456789abcdef\r\n").await;
    let client = Client::new(address, TIMEOUT);
    let outcome = client
        .order(&order(), Duration::from_secs(20), &|| true)
        .await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    let sent = tokio::time::timeout(Duration::from_secs(20), sent).await;
    let sent = sent.expect("in time").expect("the connection is closed");
    assert!(sent < 13 << 20, "{sent} bytes were sent");
}

// Guards against: an object that was truncated on the way is taken for a complete one.
#[rstest]
#[case::inside_the_head("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::head_without_its_end("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n")]
#[case::before_the_body("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n")]
#[case::inside_the_body("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")]
#[case::inside_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhalf")]
#[case::between_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\nhalf")]
#[actix_rt::test]
async fn a_truncated_object_is_an_error(#[case] text: &str) {
    let (address, _received) = server(Some(text.to_owned())).await;
    let outcome = Objects::get(&Client::new(address, TIMEOUT), "o").await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

// Guards against: a call that was given up is delivered when the network is back.
#[actix_rt::test]
async fn a_call_that_was_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let client = Client::new(address, TIMEOUT);
    let accepted = async {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut buf = vec![0; 4096];
        let length = stream.read(&mut buf).await.expect("the request");
        assert!(length > 0);
        stream
    };
    let transaction = Transaction::default();
    let (outcome, mut stream) = tokio::join!(client.commit(&transaction), accepted);
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    drop(client);
    let end = stream.read(&mut [0; 16]).await;
    let kind = end.map_err(|err| err.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
}
