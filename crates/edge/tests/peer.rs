//! Choice between several hosts that may fail.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use agate_edge::peer::{Client, Error, OUTAGE_STATUS, Request};
use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn hosts() -> [SocketAddr; 4] {
    [1, 2, 3, 4].map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Guards against a host whose first two readers have lost the store: it asked these two again and
/// again, twice a second, and the others never.
#[actix_rt::test]
async fn every_host_is_called_before_one_that_failed() {
    tokio::time::pause();
    let hosts = hosts();
    let client = Client::default();
    let mut called = Vec::new();
    for _ in 0..2 {
        for _ in 0..2 {
            let host = client.first_available(&hosts).expect("a host");
            client.back_off(host, &Error::Refused(OUTAGE_STATUS));
            called.push(host);
        }
        sleep(Duration::from_millis(550)).await;
    }
    assert_eq!(called, hosts);
    // All have failed: the one whose failure is the oldest comes first.
    assert_eq!(client.first_available(&hosts), Some(hosts[0]));
    sleep(Duration::from_secs(4)).await;
    assert_eq!(client.first_available(&hosts), Some(hosts[0]));
}

/// A host that does not respond is left alone for longer than one that says that it can't help.
#[actix_rt::test]
async fn a_silent_host_is_called_later_than_an_unavailable_one() {
    tokio::time::pause();
    let hosts = &hosts()[..2];
    let client = Client::default();
    client.back_off(hosts[0], &Error::Timeout);
    client.back_off(hosts[1], &Error::Refused(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(client.first_available(hosts), None);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(client.first_available(hosts), Some(hosts[1]));
}

/// Serves one connection: reads the request, then writes a response of `pieces` pieces of `size` bytes,
/// each after `pause`. Without `end` the last piece never comes.
async fn slow_host(size: usize, pieces: usize, pause: Duration, end: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 1024];
        let _ = stream.read(&mut buffer).await;
        let length = size * pieces;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n\"");
        let _ = stream.write_all(head.as_bytes()).await;
        for n in 0..pieces {
            sleep(pause).await;
            let mut piece = vec![b'x'; size];
            if n + 1 == pieces {
                if !end {
                    sleep(Duration::from_secs(60)).await;
                }
                // The head was followed by the first quotation mark of the JSON text.
                piece.truncate(size - 2);
                piece.push(b'"');
            }
            let _ = stream.write_all(&piece).await;
        }
        sleep(Duration::from_secs(60)).await;
    });
    address
}

/// Returns the length of the text that a host sends, and how long the call took.
async fn call(address: SocketAddr) -> (Result<usize, Error>, Duration) {
    let request = Request {
        method: Method::GET,
        target: "/x".to_owned(),
        body: Bytes::new(),
        wait: Duration::ZERO,
    };
    let started = Instant::now();
    let text = Client::default().call::<String>(address, request).await;
    (text.map(|text| text.len()), started.elapsed())
}

/// Guards against a limit on the whole response: what a thin link carries in more than 250 ms never
/// arrived.
#[actix_rt::test]
async fn a_response_that_keeps_arriving_is_read_to_its_end() {
    let address = slow_host(12_500, 100, Duration::from_millis(10), true).await;
    let (length, took) = call(address).await;
    assert_eq!(length.expect("a response"), 1_250_000 - 2);
    assert!(took > Duration::from_secs(1), "{took:?}");
}

/// A host that stops in the middle of a response does not hold the caller for long.
#[actix_rt::test]
async fn a_response_that_stops_arriving_is_given_up() {
    let address = slow_host(12_500, 10, Duration::from_millis(10), false).await;
    let (length, took) = call(address).await;
    assert!(matches!(length, Err(Error::Timeout)), "{length:?}");
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// A host that sends a byte now and then does not hold the caller for long either.
#[actix_rt::test]
async fn a_response_that_trickles_is_given_up() {
    let address = slow_host(3, 1_000, Duration::from_millis(50), true).await;
    let (length, took) = call(address).await;
    assert!(matches!(length, Err(Error::Timeout)), "{length:?}");
    assert!(took < Duration::from_secs(1), "{took:?}");
}

// Guards against: a host that sends bytes without end fills the memory of the one that called it, or a part of a
// response is taken for a whole one.
#[rstest]
#[case::endless_head("HTTP/1.1 200 OK\r\nx-id: ", "a-long-value-", 1 << 20)]
#[case::endless_body(CHUNKED, "8\r\n[[[[[[[[\r\n", 64 << 20)]
#[case::endless_body_until_close("HTTP/1.1 200 OK\r\n\r\n", "[[[[[[[[", 32 << 20)]
#[case::half_a_head("HTTP/1.1 200 OK\r\ncontent-le", "", 0)]
#[case::half_a_length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n10", "", 0)]
#[case::half_the_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n10\r\n",
    "",
    0
)]
#[actix_rt::test]
async fn a_response_that_is_endless_or_cut_is_an_error(
    #[case] start: &'static str,
    #[case] flood: &'static str,
    #[case] limit: usize,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let served = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(start.as_bytes()).await;
        let flood = flood.repeat(512);
        let mut sent = 0;
        while !flood.is_empty() && stream.write_all(flood.as_bytes()).await.is_ok() {
            sent += flood.len();
        }
        sent
    });
    let request = Request {
        method: Method::GET,
        target: "/x".to_owned(),
        body: Bytes::new(),
        wait: Duration::from_secs(20),
    };
    let response = Client::default().call::<u32>(address, request).await;
    // On a busy machine bytes may pause for longer than a host waits for them.
    let is_cut = matches!(response, Err(Error::Transport(_) | Error::Timeout));
    assert!(is_cut, "{response:?}");
    let sent = served.await.expect("the host ends");
    // Up to 12 MiB more are in the buffers of both sockets.
    assert!(sent <= limit + (12 << 20), "{sent} bytes were sent");
}
