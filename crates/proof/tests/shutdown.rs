//! Guards against requests that a gate cuts off when it shuts down: streams and a call to a slow
//! service are in flight, and a caller that does not know of the shutdown sends another request.

use std::time::Duration;

use agate_proof::caller::{booking, chat, completion, expected_text, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{START_TIMEOUT, until};
use agate_wire::address::Addresses;
use awc::http::Method;

/// Timeout for the gate to exit: covers the streams of the test and the wait for callers'
/// responses, and leaves slack.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

#[actix_rt::test]
async fn shutdown_cuts_off_no_request() {
    let engine_args = ["--step", "20ms"].map(str::to_owned).to_vec();
    let service_args = ["--delay", "2s"].map(str::to_owned).to_vec();
    let mut deployment = Deployment::start(Options {
        hosts: 2,
        engine_args: vec![engine_args],
        service_args: vec![service_args],
        ..Options::default()
    })
    .await;
    let key = deployment.grant_key("shutdown").await;
    let gate = deployment.gate(0);
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let completion = completion(&format!("open-stream-{number}"), 150, true);
            let request = chat(gate, &key, &completion);
            actix_rt::spawn(async move { (stream(&request, |_| {}).await, completion) })
        })
        .collect();
    let request = booking(gate, &key, "open-booking");
    let booking_call = actix_rt::spawn(async move { request.send().await });
    until(
        "all requests have reached an endpoint",
        START_TIMEOUT,
        || async {
            let streams_started = deployment.received_count("open-stream").await >= 6;
            (streams_started && deployment.received_count("open-booking").await == 1).then_some(())
        },
    )
    .await;
    deployment.hosts[0].gate.terminate();

    // A caller that has cached this address may still use it for a while.
    let late = chat(gate, &key, &completion("late-request", 2, false));
    let late = late.send().await.expect("gate responds");
    assert_eq!(late.status, 200, "{}", String::from_utf8_lossy(&late.body));
    let request = agate_proof::http::Request::new(Method::GET, gate, "/v1/addresses");
    let listed: Addresses = request.send().await.expect("gate responds").json();
    assert!(
        listed.hosts.iter().all(|host| host.address != gate),
        "the host that shuts down is no longer listed"
    );

    for stream_call in streams {
        let (transcript, completion) = stream_call.await.expect("caller task completes");
        assert!(
            transcript.is_complete,
            "stream is complete, error: {:?}",
            transcript.error
        );
        assert_eq!(transcript.text, expected_text(&completion));
    }
    let booked = booking_call
        .await
        .expect("caller task completes")
        .expect("gate responds");
    assert_eq!(booked.status, 200);
    let status = deployment.hosts[0].gate.exit_status(EXIT_TIMEOUT).await;
    let log = deployment.hosts[0].gate.stderr();
    assert!(
        log.contains("event=stopped"),
        "standard error contains event=stopped"
    );
    assert!(
        status.success(),
        "gate exits successfully, {status}: {}",
        deployment.hosts[0].gate.log_tail()
    );
}
