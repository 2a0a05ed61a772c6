//! A withdrawn key stops working within seconds.

use std::time::Duration;

use agate_proof::caller::{Connection, chat, code, completion, models, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START, until};
use tokio::time::Instant;

/// Requests that keep an engine busy.
const LONG: usize = 20;

/// Time for requests to find their places.
const SETTLE: Duration = Duration::from_millis(500);

#[actix_rt::test]
async fn withdrawn_key_stops_on_open_connections_of_every_host() {
    let deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let operator = deployment.operator(0);
    let key = deployment.key("open").await;
    let mut connections = Vec::new();
    for host in 0..3 {
        let mut connection = Connection::open(deployment.gate(host)).await;
        assert_eq!(connection.models(&key).await, Some(200));
        connections.push(connection);
    }
    operator.withdraw("open").await;
    let withdrawn = Instant::now();
    for (host, connection) in connections.iter_mut().enumerate() {
        while connection.models(&key).await == Some(200) {
            let age = withdrawn.elapsed();
            assert!(
                age < IN_FORCE + SLACK,
                "host {host} accepts the key after {age:?}"
            );
            tokio::time::sleep(POLL).await;
        }
    }
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        for connection in &mut connections {
            assert_ne!(connection.models(&key).await, Some(200), "key works again");
        }
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn withdrawn_key_stops_a_queued_request() {
    let slow = ["--slots", "1", "--step", "20ms"].map(str::to_owned);
    let deployment = Deployment::start(Options {
        engines: vec![slow.to_vec()],
        slots: 1,
        ..Options::default()
    })
    .await;
    let operator = deployment.operator(0);
    let first = deployment.key("first").await;
    let second = deployment.key("second").await;
    let gate = deployment.gate(0);
    // This stream is open while the other key is withdrawn.
    let open = chat(gate, &first, &completion("open-stream", 300, true));
    let open = actix_rt::spawn(async move { stream(&open, |_| {}).await });
    until("the stream is open", START, || async {
        (deployment.received("open-stream").await > 0).then_some(())
    })
    .await;
    // These requests take more than every place that the gate gives the engine.
    let long: Vec<_> = (0..LONG)
        .map(|number| {
            let completion = completion(&format!("long-running {number}"), 2000, true);
            let request = chat(gate, &first, &completion);
            actix_rt::spawn(async move { stream(&request, |_| {}).await })
        })
        .collect();
    until("the places are taken", START, || async {
        (deployment.received("long-running").await > 0).then_some(())
    })
    .await;
    tokio::time::sleep(SETTLE).await;
    let queued = chat(gate, &second, &completion("queued-request", 3, false));
    let queued = actix_rt::spawn(async move { queued.send().await });
    tokio::time::sleep(SETTLE).await;
    let received = deployment.received("queued-request").await;
    assert_eq!(received, 0, "it waits at the gate");
    operator.withdraw("second").await;
    tokio::time::sleep(IN_FORCE).await;

    // The places become free.
    long.iter().for_each(actix_rt::task::JoinHandle::abort);
    let response = queued.await.expect("caller ends").expect("gate answers");
    assert_eq!(code(&response), "key_invalid");
    assert_eq!(response.execution.as_deref(), Some("not run"));
    assert_eq!(deployment.received("queued-request").await, 0);
    assert!(open.await.expect("caller ends").whole, "the stream is cut");
    until("the other key is not affected", START, || async {
        let request = chat(gate, &first, &completion("after", 1, false));
        request.send().await.ok().filter(|it| it.status == 200)
    })
    .await;
}

#[actix_rt::test]
async fn host_that_wakes_refuses_a_withdrawn_key_at_once() {
    let deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let key = deployment.key("asleep").await;
    let mut connection = Connection::open(deployment.gate(2)).await;
    assert_eq!(connection.models(&key).await, Some(200));
    let host = &deployment.hosts[2];
    host.gate.pause();
    host.steer.pause();
    // This request is read as soon as the host wakes.
    let asked = actix_rt::spawn({
        let key = key.clone();
        async move { connection.models(&key).await }
    });
    deployment.operator(0).withdraw("asleep").await;
    tokio::time::sleep(IN_FORCE).await;
    host.gate.resume();
    host.steer.resume();
    assert_ne!(
        asked.await.expect("caller ends"),
        Some(200),
        "withdrawn key works"
    );
    until("the host has the withdrawal", START, || async {
        let response = models(deployment.gate(2), &key).send().await.ok()?;
        assert_ne!(response.status, 200, "withdrawn key works");
        (code(&response) == "key_invalid").then_some(())
    })
    .await;
}
