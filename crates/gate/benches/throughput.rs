//! Throughput, latency and processor time of the data path. Run it with
//! `cargo bench -p agate-gate --bench throughput`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody};
use bytes::Bytes;
use futures_util::StreamExt as _;
use nix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use support::{DONE, Deployment, Endpoint, KEY, event, event_stream, text};

/// Number of tokens in a streamed response.
const TOKENS: u64 = 100;
/// Pause before each event of a streamed response.
const TOKEN_PAUSE: Duration = Duration::from_millis(10);
/// Time for which callers send new requests in one measurement.
const MEASUREMENT: Duration = Duration::from_secs(5);

/// Returns the processor time of the current thread, on which the gate runs.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock");
    Duration::from_secs(time.tv_sec().unsigned_abs())
        + Duration::from_nanos(time.tv_nsec().unsigned_abs())
}

/// Returns the resident memory of this process, from `/proc/self/statm` with pages of 4096 bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a proc file");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("a number") * 4096
}

/// Starts an endpoint on its own thread, which streams or responds at once.
fn start_upstream(streams: bool) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let endpoint = Endpoint::start(move |_| async move {
                match streams {
                    true => paced_stream(),
                    false => text(200, "price"),
                }
            })
            .await;
            sender.send(endpoint.address).expect("a receiver");
            loop {
                tokio::time::sleep(Duration::from_millis(100)).await;
                endpoint.received.borrow_mut().clear();
            }
        });
    });
    receiver.recv().expect("an address")
}

/// Returns a stream of [`TOKENS`] events, [`TOKEN_PAUSE`] apart.
fn paced_stream() -> actix_http::Response<BoxBody> {
    let chunks = futures_util::stream::unfold(0, |index| async move {
        if index > TOKENS {
            return None;
        }
        tokio::time::sleep(TOKEN_PAUSE).await;
        let data = match index {
            TOKENS => DONE.to_owned(),
            _ => event(index, "word ", index + 1 == TOKENS),
        };
        Some((Ok::<_, std::io::Error>(Bytes::from(data)), index + 1))
    });
    event_stream(String::new()).map_body(|_, _| BoxBody::new(BodyStream::new(Box::pin(chunks))))
}

/// What callers received.
#[derive(Default)]
struct Totals {
    responses: u64,
    bytes: u64,
    /// Time from each request to the first bytes of its response body.
    first_byte: Vec<Duration>,
}

/// Starts callers on another thread, each of which sends its next request once it has a response.
fn start_callers(address: SocketAddr, callers: usize, streams: bool) -> mpsc::Receiver<Totals> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let totals = actix_rt::System::new().block_on(async move {
            let end = Instant::now() + MEASUREMENT;
            let tasks: Vec<_> = (0..callers)
                .map(|_| actix_rt::spawn(run_caller(address, streams, end)))
                .collect();
            let mut totals = Totals::default();
            for task in tasks {
                let caller = task.await.expect("a caller");
                totals.responses += caller.responses;
                totals.bytes += caller.bytes;
                totals.first_byte.extend(caller.first_byte);
            }
            totals
        });
        sender.send(totals).expect("a receiver");
    });
    receiver
}

/// Sends requests one after the other until `end`.
async fn run_caller(address: SocketAddr, streams: bool, end: Instant) -> Totals {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(60))
        .finish();
    let mut totals = Totals::default();
    while Instant::now() < end {
        let sent = Instant::now();
        let request = match streams {
            true => client.post(format!("http://{address}/v1/chat/completions")),
            false => client.get(format!("http://{address}/records/1")),
        };
        let request = request.insert_header(("authorization", format!("Bearer {KEY}")));
        let body = if streams {
            support::chat_body(true)
        } else {
            String::new()
        };
        let mut response = request.send_body(body).await.expect("a response");
        assert_eq!(response.status(), 200);
        let mut first_byte = None;
        while let Some(bytes) = response.next().await {
            first_byte.get_or_insert_with(|| sent.elapsed());
            totals.bytes += bytes.expect("a complete response").len() as u64;
        }
        totals.first_byte.extend(first_byte);
        totals.responses += 1;
    }
    totals
}

/// Gives an endpoint so many slots that they don't limit the measurement.
fn unlimited(mut endpoint: Value) -> Value {
    endpoint["slots"] = json!(10_000);
    endpoint
}

/// Measures the gate with this many concurrent callers and prints one line of results.
fn measure(name: &str, callers: usize, streams: bool) {
    let target = start_upstream(streams);
    actix_rt::System::new().block_on(async move {
        let endpoint = match streams {
            true => support::engine("e1", target),
            false => support::service("s1", target),
        };
        let deployment = Deployment::start(vec![]).await;
        let mut resources = support::resources();
        resources[0]["max_concurrent"] = json!(10_000);
        resources.push(unlimited(endpoint));
        deployment.steer.declare(resources);
        support::until(|| deployment.gate.config.borrow().version() == 2).await;
        let before = processor_time();
        let started = Instant::now();
        let receiver = start_callers(deployment.program.address(), callers, streams);
        let mut totals = loop {
            match receiver.try_recv() {
                Ok(totals) => break totals,
                Err(mpsc::TryRecvError::Empty) => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Err(mpsc::TryRecvError::Disconnected) => panic!("a caller failed"),
            }
        };
        let (time, busy) = (started.elapsed(), processor_time() - before);
        totals.first_byte.sort();
        let quantile =
            |share: f64| totals.first_byte[(totals.first_byte.len() as f64 * share) as usize];
        println!(
            "{name}: callers={callers} answers={} seconds={:.1} answers/s={:.0} bytes/s={:.0} busy={:.3} us/answer={:.1} first p50={:?} p95={:?} rss={} MiB",
            totals.responses,
            time.as_secs_f64(),
            totals.responses as f64 / time.as_secs_f64(),
            totals.bytes as f64 / time.as_secs_f64(),
            busy.as_secs_f64() / time.as_secs_f64(),
            busy.as_secs_f64() * 1e6 / totals.responses as f64,
            quantile(0.5),
            quantile(0.95),
            resident_bytes() >> 20,
        );
    });
}

fn measure_streams() {
    for callers in [1, 60, 120] {
        measure("streams of 100 tokens, one each 10 ms", callers, true);
    }
}

fn measure_plain_requests() {
    for callers in [1, 8, 32] {
        measure("plain calls", callers, false);
    }
}

fn main() {
    measure_streams();
    measure_plain_requests();
}
