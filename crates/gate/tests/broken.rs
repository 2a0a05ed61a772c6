//! Endpoints that end in the middle of a response, or send bytes without end.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use support::{Deployment, engine, run, service};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;

/// Bytes that the kernel may hold between the two sides of a connection.
const KERNEL_BYTES: usize = 12 << 20;

/// Reads the head of a request and the part of the body that comes with it.
async fn read_head(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
}

/// Starts an endpoint that answers each head with `answer` and resets the connection.
async fn resetting(answer: &'static str) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    // So the body of a request is still being sent when the reset comes.
    let set = socket.set_recv_buffer_size(4096);
    set.expect("the option is known");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a free port");
    let listener = socket.listen(16).expect("a bound socket");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_head(&mut stream).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            stream.set_zero_linger().expect("an open socket");
        }
    });
    address
}

/// Starts an endpoint that answers the first head with `start`, and then `flood` again and again until its
/// connection is closed. Returns the number of bytes sent by then.
async fn flooding(start: &'static str, flood: String) -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, sent) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        read_head(&mut stream).await;
        let _ = stream.write_all(start.as_bytes()).await;
        let mut count = 0;
        while stream.write_all(flood.as_bytes()).await.is_ok() {
            count += flood.len();
        }
        let _ = sender.send(count);
    });
    (address, sent)
}

// Guards against: an endpoint that crashes while a request is being sent to it, or in the middle of a head, makes a
// complete response with an empty or short body.
#[rstest]
#[case::until_close("HTTP/1.0 200 OK\r\n\r\npart of it")]
#[case::unframed("HTTP/1.1 200 OK\r\n\r\npart of it")]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\npart of it")]
#[case::inside_the_head("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::head_without_its_end("HTTP/1.0 200 OK\r\nx-any: 1\r\n")]
fn a_reset_is_no_end_of_a_response(
    #[case] answer: &'static str,
    #[values(10, 6_000_000)] length: usize,
) {
    run(async move {
        let address = resetting(answer).await;
        let deployment = Deployment::start(vec![service("s1", address)]).await;
        let body = "x".repeat(length);
        let reply = deployment.call("POST", "/bookings/1", &body).await;
        let refusal = reply.refusal();
        assert_eq!(refusal, ("endpoint_failed".into(), "unknown".into()));
    });
}

// Guards against: an endpoint that stops in the middle of the head of its response and closes makes a complete
// response with an empty or short body.
#[rstest]
#[case::status_line("HTTP/1.1 200 O")]
#[case::header_name("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::header_value("HTTP/1.1 200 OK\r\ncontent-length: 1")]
#[case::old_version("HTTP/1.0 200 OK\r\nx-any: 1\r\n")]
#[case::half_a_line_end("HTTP/1.1 200 OK\r\nx-any: 1\r\n\r")]
fn half_a_head_is_no_response(#[case] answer: &'static str) {
    run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                read_head(&mut stream).await;
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        let deployment = Deployment::start(vec![service("s1", address)]).await;
        let reply = deployment.call("POST", "/bookings/1", "lap 3").await;
        let refusal = reply.refusal();
        assert_eq!(refusal, ("endpoint_failed".into(), "unknown".into()));
    });
}

// Guards against: a response with a status that HTTP does not know is passed on to the caller.
#[rstest]
#[case::zero("HTTP/1.1 000 Trouble\r\ncontent-length: 4\r\n\r\nfine")]
#[case::below("HTTP/1.1 099 Low\r\ncontent-length: 4\r\n\r\nfine")]
#[case::above("HTTP/1.1 600 High\r\ncontent-length: 4\r\n\r\nfine")]
#[case::far_above("HTTP/1.1 999 Far\r\ncontent-length: 4\r\n\r\nfine")]
fn a_status_that_http_does_not_know_is_no_response(#[case] answer: &'static str) {
    run(async move {
        let address = resetting(answer).await;
        let deployment = Deployment::start(vec![service("s1", address)]).await;
        let reply = deployment.call("POST", "/bookings/1", "lap 3").await;
        let refusal = reply.refusal();
        assert_eq!(refusal, ("endpoint_failed".into(), "unknown".into()));
    });
}

// Guards against: bytes without end in a response are kept until the process is out of memory.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-id: ", "a-long-value-", false)]
#[case::no_http("", "what is this ", false)]
#[case::body(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\nmore\r\n",
    false
)]
#[case::body_until_close("HTTP/1.0 200 OK\r\n\r\n", "more", false)]
#[case::event(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\nmore\r\n",
    true
)]
fn an_endless_response_is_cut(
    #[case] start: &'static str,
    #[case] flood: &'static str,
    #[case] stream: bool,
) {
    run(async move {
        let (address, sent) = flooding(start, flood.repeat(512)).await;
        let endpoints = vec![service("s1", address), engine("e1", address)];
        let deployment = Deployment::start(endpoints).await;
        let reply = match stream {
            true => deployment.chat(true).await,
            false => deployment.call("POST", "/bookings/1", "lap 3").await,
        };
        assert!(!reply.body.contains("moremore"), "passed on");
        let sent = tokio::time::timeout(std::time::Duration::from_secs(10), sent).await;
        let sent = sent.expect("in time").expect("the connection is closed");
        // The largest limit of the settings is that of a body, 1 MiB, here in chunks of four bytes.
        assert!(sent < (4 << 20) + KERNEL_BYTES, "{sent} bytes were sent");
    });
}
