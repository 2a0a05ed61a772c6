//! A graceful shutdown cuts off no request.

use std::time::Duration;

use agate_proof::caller::{booking, chat, completion, expected, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{START, until};
use agate_wire::address::Addresses;
use awc::http::Method;

/// Time for the streams of the test, the wait for callers' answers, and slack.
const END: Duration = Duration::from_secs(30);

#[actix_rt::test]
async fn shutdown_cuts_off_no_request() {
    let engine = ["--step", "20ms"].map(str::to_owned).to_vec();
    let service = ["--delay", "2s"].map(str::to_owned).to_vec();
    let mut deployment = Deployment::start(Options {
        hosts: 2,
        engines: vec![engine],
        services: vec![service],
        ..Options::default()
    })
    .await;
    let key = deployment.key("shutdown").await;
    let gate = deployment.gate(0);
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let completion = completion(&format!("open-stream-{number}"), 150, true);
            let request = chat(gate, &key, &completion);
            actix_rt::spawn(async move { (stream(&request, |_| {}).await, completion) })
        })
        .collect();
    let call = booking(gate, &key, "open-booking");
    let call = actix_rt::spawn(async move { call.send().await });
    until("all requests have begun", START, || async {
        let begun = deployment.received("open-stream").await >= 6;
        (begun && deployment.received("open-booking").await == 1).then_some(())
    })
    .await;
    deployment.hosts[0].gate.terminate();

    // A caller that was told this address before may still use it for a while.
    let late = chat(gate, &key, &completion("late-request", 2, false));
    let late = late.send().await.expect("gate answers");
    assert_eq!(late.status, 200, "{}", String::from_utf8_lossy(&late.body));
    let others = agate_proof::http::Request::new(Method::GET, gate, "/v1/addresses");
    let others: Addresses = others.send().await.expect("gate answers").json();
    assert!(
        others.hosts.iter().all(|it| it.address != gate),
        "it is not named any more"
    );

    for call in streams {
        let (streamed, completion) = call.await.expect("caller ends");
        assert!(streamed.whole, "stream was cut off: {:?}", streamed.error);
        assert_eq!(streamed.text, expected(&completion));
    }
    let booked = call.await.expect("caller ends").expect("gate answers");
    assert_eq!(booked.status, 200);
    let status = deployment.hosts[0].gate.ended(END).await;
    let errors = deployment.hosts[0].gate.errors();
    assert!(
        errors.contains("event=stopped"),
        "log goes to standard error"
    );
    assert!(
        status.success(),
        "{status}: {}",
        deployment.hosts[0].gate.log()
    );
}
