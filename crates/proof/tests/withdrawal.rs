//! A withdrawn key stops working within seconds.

use std::time::Duration;

use agate_proof::caller::{Connection, chat, code, completion, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START, until};
use tokio::time::Instant;

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
    let long = chat(gate, &first, &completion("long-running", 220, true));
    let long = actix_rt::spawn(async move { stream(&long, |_| {}).await });
    until("the slot is taken", START, || async {
        (deployment.received("long-running").await > 0).then_some(())
    })
    .await;
    let queued = chat(gate, &second, &completion("queued-request", 3, false));
    let queued = actix_rt::spawn(async move { queued.send().await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        deployment.received("queued-request").await,
        0,
        "it waits at the gate"
    );
    operator.withdraw("second").await;

    let response = queued.await.expect("caller ends").expect("gate answers");
    assert_eq!(code(&response), "key_invalid");
    assert_eq!(response.execution.as_deref(), Some("not run"));
    assert_eq!(deployment.received("queued-request").await, 0);
    assert!(
        long.await.expect("caller ends").whole,
        "the other key is not affected"
    );
}
