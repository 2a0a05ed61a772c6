//! Graceful shutdown: new and running requests, usage, and what a drain timeout cuts off.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use agate_gate::activity::Phase;
use bytes::Bytes;
use rstest::rstest;
use serde_json::json;
use support::raw::{Behaviour, RawServer};
use support::{
    DONE, Deployment, Endpoint, engine, event, event_stream, run, service, settings, text, until,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

fn leaving_settings() -> agate_gate::settings::Settings {
    let mut settings = settings();
    settings.keep_addresses = Duration::from_millis(400);
    settings
}

/// Starts an engine that streams four chunks, 200 ms apart.
async fn slow_engine() -> Endpoint {
    Endpoint::start(|_| async {
        let chunks = futures_util::stream::unfold(0_u64, |index| async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let data = match index {
                0..=3 => event(index, "x", index == 3),
                4 => DONE.to_owned(),
                _ => return None,
            };
            Some((Ok::<_, std::io::Error>(Bytes::from(data)), index + 1))
        });
        let body = actix_http::body::BodyStream::new(Box::pin(chunks));
        event_stream(String::new()).map_body(|_, _| actix_http::body::BoxBody::new(body))
    })
    .await
}

#[test]
fn a_leaving_host_serves_until_callers_no_longer_keep_its_address() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
        let deployment =
            Deployment::with(leaving_settings(), vec![service("s1", upstream.address)]).await;
        let Deployment {
            gate,
            steer,
            program,
            client,
        } = deployment;
        let address = program.address();
        let closing = actix_rt::spawn(program.close());
        until(|| gate.activity.phase() == agate_gate::activity::Phase::Leaving).await;
        let get = async |path: &str| {
            let sent = client.get(format!("http://{address}{path}")).send().await;
            sent.map(|response| response.status().as_u16())
        };
        assert_eq!(get("/readyz").await.expect("a response"), 503);
        assert_eq!(get("/prices/1").await.expect("a response"), 200);
        until(|| {
            steer
                .requests
                .borrow()
                .last()
                .is_some_and(|request| request.leaving)
        })
        .await;
        let loss = closing.await.expect("the shutdown ends");
        assert!(loss.is_none());
        assert!(get("/prices/1").await.is_err());
    });
}

#[test]
fn a_running_stream_completes_and_its_usage_is_reported() {
    run(async {
        let upstream = slow_engine().await;
        let mut settings = leaving_settings();
        settings.keep_addresses = Duration::from_millis(50);
        let deployment = Deployment::with(settings, vec![engine("e1", upstream.address)]).await;
        let client = deployment.client.clone();
        let url = deployment.url("/v1/chat/completions");
        let call = actix_rt::spawn(async move {
            let mut response = client
                .post(url)
                .insert_header(("authorization", format!("Bearer {}", support::KEY)))
                .send_body(support::chat_body(true))
                .await
                .expect("a response");
            response.body().await.expect("a complete body")
        });
        until(|| upstream.count() >= 1).await;
        let loss = deployment.program.close().await;
        assert!(loss.is_none(), "{loss:?}");
        let body = call.await.expect("the call ends");
        assert!(body.ends_with(DONE.as_bytes()));
        let usage = deployment.steer.usage();
        assert_eq!(usage[0].figures.answer_tokens, 4);
    });
}

#[test]
fn requests_cut_off_by_the_drain_timeout_are_reported() {
    run(async {
        let upstream = slow_engine().await;
        let mut settings = leaving_settings();
        settings.keep_addresses = Duration::from_millis(50);
        settings.drain_timeout = Duration::from_millis(50);
        let deployment = Deployment::with(settings, vec![engine("e1", upstream.address)]).await;
        let chat = deployment
            .client
            .post(deployment.url("/v1/chat/completions"));
        let call = actix_rt::spawn(async move {
            let sent = chat
                .insert_header(("authorization", format!("Bearer {}", support::KEY)))
                .send_body(support::chat_body(true));
            let _response = sent.await;
            tokio::time::sleep(Duration::from_secs(5)).await;
        });
        until(|| upstream.count() >= 1).await;
        let loss = deployment.program.close().await;
        assert_eq!(loss.requests, 1);
        call.abort();
    });
}

// Guards against: a request that an endpoint has when the host ends is cut without a response.
#[rstest]
#[case::plain("/bookings/1", false)]
#[case::completion("/v1/chat/completions", false)]
#[case::stream("/v1/chat/completions", true)]
fn a_request_that_outlasts_the_drain_timeout_gets_a_final_response(
    #[case] target: &'static str,
    #[case] stream: bool,
) {
    run(async {
        let upstream = RawServer::start(Behaviour::Silent).await;
        let mut settings = leaving_settings();
        settings.keep_addresses = Duration::from_millis(50);
        settings.drain_timeout = Duration::from_millis(400);
        let endpoints = vec![
            engine("e1", upstream.address),
            service("s1", upstream.address),
        ];
        let deployment = Deployment::with(settings, endpoints).await;
        let call = deployment
            .client
            .post(deployment.url(target))
            .insert_header(("authorization", format!("Bearer {}", support::KEY)))
            .send_body(support::chat_body(stream));
        let call = actix_rt::spawn(async move {
            let mut response = call.await.expect("a response");
            let body = response.body().await.expect("a complete body");
            (response.status().as_u16(), body)
        });
        until(|| upstream.count() >= 1).await;
        let loss = deployment.program.close().await;
        assert_eq!(loss.requests, 0);
        let (status, body) = call.await.expect("the call ends");
        assert_eq!(status, 504);
        assert!(
            String::from_utf8_lossy(&body).contains("unknown"),
            "{body:?}"
        );
    });
}

/// Settings of a gate that closes 50 ms after it was told to stop.
fn closing_settings() -> agate_gate::settings::Settings {
    let mut settings = settings();
    settings.keep_addresses = Duration::from_millis(50);
    settings
}

/// Starts a gate with one engine and one service, which respond at once.
async fn start(settings: agate_gate::settings::Settings) -> (Deployment, Endpoint, Endpoint) {
    let answer = json!({"id": "answer", "object": "chat.completion", "created": 1, "model": "prism",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": "x"}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 7, "completion_tokens": 1, "total_tokens": 8}})
    .to_string();
    let completions = Endpoint::start(move |_| {
        let answer = answer.clone();
        async move { text(200, &answer) }
    })
    .await;
    let prices = Endpoint::start(|_| async { text(200, "ok") }).await;
    let endpoints = vec![
        engine("e1", completions.address),
        service("s1", prices.address),
    ];
    (
        Deployment::with(settings, endpoints).await,
        completions,
        prices,
    )
}

const GET: &str = "GET /prices/1 HTTP/1.1\r\nhost: gate\r\n\r\n";

/// Returns a chat completion request with the key of the account `workshop`.
fn post() -> String {
    let body = support::chat_body(false);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: gate\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        support::KEY,
        body.len()
    )
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connected")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// Reads a response with a content length, and returns its status and all of it. The status is 0 if
/// the connection ends without a complete response.
async fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().expect("a number"));
            if body.len() >= length {
                return (text[9..12].parse().expect("a status"), text);
            }
        }
        let read = timeout(Duration::from_secs(10), stream.read(&mut buffer)).await;
        match read.expect("the response or the end of the connection") {
            Ok(read @ 1..) => text.push_str(std::str::from_utf8(&buffer[..read]).expect("text")),
            ended => return (0, format!("{ended:?} after {text:?}")),
        }
    }
}

// Guards against: a request that is half sent when the gate closes is cut without a response.
#[rstest]
#[case::head(GET.to_owned(), 10, false)]
#[case::head_on_kept_connection(GET.to_owned(), 10, true)]
#[case::head_with_body(post(), 40, false)]
#[case::body(post(), post().len() - 2, false)]
#[case::body_on_kept_connection(post(), post().len() - 2, true)]
fn a_request_that_is_being_sent_holds_up_a_shutdown(
    #[case] request: String,
    #[case] sent: usize,
    #[case] is_kept: bool,
) {
    run(async move {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let mut caller = connect(deployment.program.address()).await;
        if is_kept {
            send(&mut caller, GET).await;
            assert_eq!(read_response(&mut caller).await.0, 200);
        }
        let (begin, rest) = request.split_at(sent);
        send(&mut caller, begin).await;
        sleep(Duration::from_millis(20)).await;
        let closing = actix_rt::spawn(deployment.program.close());
        sleep(Duration::from_millis(400)).await;
        assert!(!closing.is_finished(), "the shutdown did not wait");
        send(&mut caller, rest).await;
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 200, "{response}");
        let loss = closing.await.expect("the shutdown ends");
        assert!(loss.is_none(), "{loss:?}");
        let completions = usize::from(request.starts_with("POST"));
        assert_eq!(deployment.steer.usage().len(), completions);
    });
}

// Guards against: a connection that the gate accepts just before it closes is closed without a response.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_5_ms(Duration::from_millis(5))]
#[case::after_200_ms(Duration::from_millis(200))]
fn a_connection_that_is_accepted_before_the_gate_closes_gets_a_response(#[case] pause: Duration) {
    run(async move {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let mut caller = connect(deployment.program.address()).await;
        let gate = deployment.gate.clone();
        let closing = actix_rt::spawn(deployment.program.close());
        until(|| gate.activity.phase() == Phase::Closing).await;
        sleep(pause).await;
        send(&mut caller, GET).await;
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 200, "{response}");
        let loss = closing.await.expect("the shutdown ends");
        assert!(loss.is_none(), "{loss:?}");
    });
}

// Guards against: connections that the kernel has queued are reset when the gate closes its listener.
#[test]
fn a_connection_that_is_queued_when_the_gate_closes_gets_a_response() {
    run(async {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let address = deployment.program.address();
        // Between these lines the runtime accepts no connection.
        let mut queued = Vec::new();
        for _ in 0..3 {
            let mut caller = std::net::TcpStream::connect(address).expect("connected");
            std::io::Write::write_all(&mut caller, GET.as_bytes()).expect("written");
            queued.push(caller);
        }
        deployment.gate.activity.enter(Phase::Closing);
        let closing = actix_rt::spawn(deployment.program.close());
        for caller in queued {
            caller.set_nonblocking(true).expect("an open socket");
            let mut caller = TcpStream::from_std(caller).expect("an open socket");
            let (status, response) = read_response(&mut caller).await;
            assert_eq!(status, 200, "{response}");
        }
        assert!(closing.await.expect("the shutdown ends").is_none());
        assert!(TcpStream::connect(address).await.is_err(), "still accepts");
    });
}

// Guards against: a connection is closed for its idleness while the kernel holds a request that the runtime has not
// noticed.
#[test]
fn a_request_in_the_kernel_is_read_before_its_connection_is_closed() {
    run(async {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let mut caller = connect(deployment.program.address()).await;
        send(&mut caller, GET).await;
        assert_eq!(read_response(&mut caller).await.0, 200);
        // Between these lines the runtime looks at no socket.
        let written = caller.try_write(GET.as_bytes());
        deployment.gate.activity.enter(Phase::Closing);
        assert_eq!(written.expect("written"), GET.len());
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 200, "{response}");
        assert!(response.contains("connection: close"), "{response}");
    });
}

// Guards against: a shutdown waits for connections without a request.
#[test]
fn an_idle_connection_is_closed_when_the_gate_closes() {
    run(async {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let mut caller = connect(deployment.program.address()).await;
        send(&mut caller, GET).await;
        assert_eq!(read_response(&mut caller).await.0, 200);
        let loss = timeout(Duration::from_secs(2), deployment.program.close()).await;
        assert!(loss.expect("the shutdown ends").is_none());
        let read = timeout(Duration::from_secs(1), caller.read(&mut [0])).await;
        assert_eq!(
            read.expect("the end of the connection").expect("no reset"),
            0
        );
    });
}

// Guards against: a request that becomes whole after the last look at the running requests is sent and then cut, or its
// usage is lost.
#[rstest]
#[case::head(20)]
#[case::body(post().len() - 2)]
fn a_request_that_is_whole_during_the_handover_is_refused_and_not_sent(#[case] sent: usize) {
    run(async move {
        let mut settings = closing_settings();
        settings.drain_timeout = Duration::from_millis(200);
        let (deployment, engine, _service) = start(settings).await;
        deployment.steer.delay.set(Duration::from_millis(400));
        let mut first = connect(deployment.program.address()).await;
        send(&mut first, &post()).await;
        assert_eq!(read_response(&mut first).await.0, 200);
        let mut caller = connect(deployment.program.address()).await;
        let request = post();
        let (begin, rest) = request.split_at(sent);
        send(&mut caller, begin).await;
        sleep(Duration::from_millis(20)).await;
        let closing = actix_rt::spawn(deployment.program.close());
        sleep(Duration::from_millis(350)).await;
        assert!(!closing.is_finished(), "no handover runs");
        // The last bytes may come after the refusal.
        let _ = caller.write_all(rest.as_bytes()).await;
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 503, "{response}");
        assert!(response.contains("not run"), "{response}");
        let loss = closing.await.expect("the shutdown ends");
        assert_eq!(loss.counters, 0);
        let received = engine.received.borrow();
        let posts = received.iter().filter(|request| request.method == "POST");
        assert_eq!(posts.count(), 1, "the request was sent");
    });
}

// Guards against: a response that its caller reads slowly is cut, since the gate counts it as delivered.
#[test]
fn a_response_that_is_not_read_yet_holds_up_a_shutdown() {
    const SIZE: usize = 7 << 20;
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, &"x".repeat(SIZE)) }).await;
        let endpoints = vec![service("s1", upstream.address)];
        let mut settings = closing_settings();
        settings.limits.answer = settings.limits.body;
        let deployment = Deployment::with(settings, endpoints).await;
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        // The kernel takes little of the response.
        socket.set_recv_buffer_size(4096).expect("a new socket");
        let connected = socket.connect(deployment.program.address()).await;
        let mut caller = connected.expect("connected");
        send(&mut caller, GET).await;
        until(|| upstream.count() == 1).await;
        sleep(Duration::from_millis(500)).await;
        let closing = actix_rt::spawn(deployment.program.close());
        sleep(Duration::from_millis(500)).await;
        assert!(!closing.is_finished(), "the shutdown did not wait");
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 200);
        assert!(response.len() > SIZE, "{} bytes", response.len());
        assert!(closing.await.expect("the shutdown ends").is_none());
    });
}

// Guards against: the refusal of a request whose body is still being sent is lost to a reset when the gate closes.
#[test]
fn a_refused_request_may_still_be_sending_its_body_when_the_gate_closes() {
    run(async {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let mut caller = connect(deployment.program.address()).await;
        let head = "POST /bookings/1 HTTP/1.1\r\nhost: gate\r\ncontent-length: 100\r\n\r\n";
        send(&mut caller, head).await;
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 401, "{response}");
        let closing = actix_rt::spawn(deployment.program.close());
        sleep(Duration::from_millis(200)).await;
        assert!(!closing.is_finished(), "the shutdown did not wait");
        send(&mut caller, &"x".repeat(100)).await;
        caller.shutdown().await.expect("an open connection");
        assert_eq!(caller.read(&mut [0]).await.expect("no reset"), 0);
        assert!(closing.await.expect("the shutdown ends").is_none());
    });
}

// Guards against: operators get no response while the gate closes.
#[test]
fn operators_are_served_until_the_shutdown_ends() {
    run(async {
        let (deployment, _engine, _service) = start(closing_settings()).await;
        let operators = deployment.program.admin();
        let mut kept = connect(operators).await;
        let get = "GET /metrics HTTP/1.1\r\nhost: gate\r\n\r\n";
        send(&mut kept, get).await;
        assert_eq!(read_response(&mut kept).await.0, 200);
        deployment.gate.activity.enter(Phase::Closing);
        send(&mut kept, get).await;
        let (status, response) = read_response(&mut kept).await;
        assert_eq!(status, 200, "{response}");
        let mut caller = connect(operators).await;
        send(&mut caller, get).await;
        let (status, response) = read_response(&mut caller).await;
        assert_eq!(status, 200, "{response}");
    });
}
