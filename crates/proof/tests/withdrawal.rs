//! Guards against a withdrawn key that a gate still accepts: on connections that were open before,
//! for requests that already wait in a queue, and on a host that was suspended meanwhile.

use std::time::Duration;

use agate_proof::caller::{Connection, chat, completion, error_code, models, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START_TIMEOUT, until};
use tokio::time::Instant;

/// Number of long requests, more than the gate sends to the engine at once.
const LONG_REQUESTS: usize = 20;

/// Time for requests to reach the engine or the gate's queue.
const SETTLE_TIME: Duration = Duration::from_millis(500);

#[actix_rt::test]
async fn withdrawn_key_is_refused_on_open_connections_of_every_host() {
    let deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let operator = deployment.operator(0);
    let key = deployment.grant_key("open").await;
    let mut connections = Vec::new();
    for host in 0..3 {
        let mut connection = Connection::open(deployment.gate(host)).await;
        assert_eq!(connection.models(&key).await, Some(200));
        connections.push(connection);
    }
    operator.withdraw("open").await;
    let withdrawn_at = Instant::now();
    for (host, connection) in connections.iter_mut().enumerate() {
        while connection.models(&key).await == Some(200) {
            let age = withdrawn_at.elapsed();
            assert!(
                age < IN_FORCE + SLACK,
                "host {host} still accepts the key {age:?} after its withdrawal"
            );
            tokio::time::sleep(POLL).await;
        }
    }
    let deadline = Instant::now() + Duration::from_secs(2);
    while Instant::now() < deadline {
        for connection in &mut connections {
            assert_ne!(
                connection.models(&key).await,
                Some(200),
                "withdrawn key stays refused"
            );
        }
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn queued_request_of_a_withdrawn_key_is_refused() {
    let engine_args = ["--slots", "1", "--step", "20ms"].map(str::to_owned);
    let deployment = Deployment::start(Options {
        engine_args: vec![engine_args.to_vec()],
        slots: 1,
        ..Options::default()
    })
    .await;
    let operator = deployment.operator(0);
    let first = deployment.grant_key("first").await;
    let second = deployment.grant_key("second").await;
    let gate = deployment.gate(0);
    // This stream is in flight while the other key is withdrawn.
    let open = chat(gate, &first, &completion("open-stream", 300, true));
    let open = actix_rt::spawn(async move { stream(&open, |_| {}).await });
    until("the stream is open", START_TIMEOUT, || async {
        (deployment.received_count("open-stream").await > 0).then_some(())
    })
    .await;
    // These requests exceed the concurrency that the gate allows the engine.
    let long_requests: Vec<_> = (0..LONG_REQUESTS)
        .map(|number| {
            let completion = completion(&format!("long-running {number}"), 2000, true);
            let request = chat(gate, &first, &completion);
            actix_rt::spawn(async move { stream(&request, |_| {}).await })
        })
        .collect();
    until("the engine is busy", START_TIMEOUT, || async {
        (deployment.received_count("long-running").await > 0).then_some(())
    })
    .await;
    tokio::time::sleep(SETTLE_TIME).await;
    let queued = chat(gate, &second, &completion("queued-request", 3, false));
    let queued = actix_rt::spawn(async move { queued.send().await });
    tokio::time::sleep(SETTLE_TIME).await;
    let received = deployment.received_count("queued-request").await;
    assert_eq!(received, 0, "the request waits in the gate's queue");
    operator.withdraw("second").await;
    tokio::time::sleep(IN_FORCE).await;

    // Frees the slots of the engine, so that the gate takes the request from its queue.
    long_requests
        .iter()
        .for_each(actix_rt::task::JoinHandle::abort);
    let response = queued
        .await
        .expect("caller task completes")
        .expect("gate responds");
    assert_eq!(error_code(&response), "key_invalid");
    assert_eq!(response.execution.as_deref(), Some("not run"));
    assert_eq!(deployment.received_count("queued-request").await, 0);
    assert!(
        open.await.expect("caller task completes").is_complete,
        "stream of the other key is complete"
    );
    until(
        "requests of the other key succeed",
        START_TIMEOUT,
        || async {
            let request = chat(gate, &first, &completion("after", 1, false));
            request
                .send()
                .await
                .ok()
                .filter(|response| response.status == 200)
        },
    )
    .await;
}

#[actix_rt::test]
async fn resumed_host_refuses_a_withdrawn_key_at_once() {
    let deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let key = deployment.grant_key("asleep").await;
    let mut connection = Connection::open(deployment.gate(2)).await;
    assert_eq!(connection.models(&key).await, Some(200));
    let host = &deployment.hosts[2];
    host.gate.pause();
    host.steer.pause();
    // The gate reads this request as soon as it is resumed.
    let request = actix_rt::spawn({
        let key = key.clone();
        async move { connection.models(&key).await }
    });
    deployment.operator(0).withdraw("asleep").await;
    tokio::time::sleep(IN_FORCE).await;
    host.gate.resume();
    host.steer.resume();
    assert_ne!(
        request.await.expect("caller task completes"),
        Some(200),
        "withdrawn key is refused"
    );
    until(
        "the host has received the withdrawal",
        START_TIMEOUT,
        || async {
            let response = models(deployment.gate(2), &key).send().await.ok()?;
            assert_ne!(response.status, 200, "withdrawn key is refused");
            (error_code(&response) == "key_invalid").then_some(())
        },
    )
    .await;
}
