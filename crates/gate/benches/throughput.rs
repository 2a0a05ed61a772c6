//! Cost of the data path: `cargo bench -p agate-gate --bench throughput`.

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

const TOKENS: u64 = 100;
const TOKEN_PAUSE: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_secs(5);

/// Processor time of this thread, on which the gate runs.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock");
    Duration::from_secs(time.tv_sec().unsigned_abs())
        + Duration::from_nanos(time.tv_nsec().unsigned_abs())
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a proc file");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse::<u64>().ok());
    pages.expect("a number") * 4096
}

/// Starts an endpoint on its own thread.
fn upstream(streams: bool) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let endpoint = Endpoint::start(move |_| async move {
                match streams {
                    true => paced(),
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

fn paced() -> actix_http::Response<BoxBody> {
    let parts = futures_util::stream::unfold(0, |at| async move {
        if at > TOKENS {
            return None;
        }
        tokio::time::sleep(TOKEN_PAUSE).await;
        let data = match at {
            TOKENS => DONE.to_owned(),
            _ => event(at, "word ", at + 1 == TOKENS),
        };
        Some((Ok::<_, std::io::Error>(Bytes::from(data)), at + 1))
    });
    event_stream(String::new()).map_body(|_, _| BoxBody::new(BodyStream::new(Box::pin(parts))))
}

#[derive(Default)]
struct Count {
    answers: u64,
    bytes: u64,
    first: Vec<Duration>,
}

/// Calls in a closed loop from another thread.
fn load(address: SocketAddr, callers: usize, streams: bool) -> mpsc::Receiver<Count> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let count = actix_rt::System::new().block_on(async move {
            let end = Instant::now() + RUN;
            let tasks: Vec<_> = (0..callers)
                .map(|_| actix_rt::spawn(caller(address, streams, end)))
                .collect();
            let mut total = Count::default();
            for task in tasks {
                let count = task.await.expect("a caller");
                total.answers += count.answers;
                total.bytes += count.bytes;
                total.first.extend(count.first);
            }
            total
        });
        sender.send(count).expect("a receiver");
    });
    receiver
}

async fn caller(address: SocketAddr, streams: bool, end: Instant) -> Count {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(60))
        .finish();
    let mut count = Count::default();
    while Instant::now() < end {
        let begun = Instant::now();
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
        let mut response = request.send_body(body).await.expect("an answer");
        assert_eq!(response.status(), 200);
        let mut first = None;
        while let Some(bytes) = response.next().await {
            first.get_or_insert_with(|| begun.elapsed());
            count.bytes += bytes.expect("a whole answer").len() as u64;
        }
        count.first.extend(first);
        count.answers += 1;
    }
    count
}

fn wide(mut endpoint: Value) -> Value {
    endpoint["slots"] = json!(10_000);
    endpoint
}

fn measure(name: &str, callers: usize, streams: bool) {
    let target = upstream(streams);
    actix_rt::System::new().block_on(async move {
        let endpoint = match streams {
            true => support::engine("e1", target),
            false => support::service("s1", target),
        };
        let deployment = Deployment::start(vec![]).await;
        let mut all = support::resources();
        all[0]["max_concurrent"] = json!(10_000);
        all.push(wide(endpoint));
        deployment.steer.declare(all);
        support::until(|| deployment.gate.config.borrow().version() == 2).await;
        let before = processor_time();
        let begun = Instant::now();
        let counts = load(deployment.program.address(), callers, streams);
        let mut count = loop {
            match counts.try_recv() {
                Ok(count) => break count,
                Err(mpsc::TryRecvError::Empty) => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Err(mpsc::TryRecvError::Disconnected) => panic!("a caller failed"),
            }
        };
        let (time, busy) = (begun.elapsed(), processor_time() - before);
        count.first.sort();
        let at = |share: f64| count.first[(count.first.len() as f64 * share) as usize];
        println!(
            "{name}: callers={callers} answers={} seconds={:.1} answers/s={:.0} bytes/s={:.0} busy={:.3} us/answer={:.1} first p50={:?} p95={:?} rss={} MiB",
            count.answers,
            time.as_secs_f64(),
            count.answers as f64 / time.as_secs_f64(),
            count.bytes as f64 / time.as_secs_f64(),
            busy.as_secs_f64() / time.as_secs_f64(),
            busy.as_secs_f64() * 1e6 / count.answers as f64,
            at(0.5),
            at(0.95),
            resident_bytes() >> 20,
        );
    });
}

fn streamed_answers() {
    for callers in [1, 60, 120] {
        measure("streams of 100 tokens, one each 10 ms", callers, true);
    }
}

fn plain_calls() {
    for callers in [1, 8, 32] {
        measure("plain calls", callers, false);
    }
}

fn main() {
    streamed_answers();
    plain_calls();
}
