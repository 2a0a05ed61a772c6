//! A host that is cut off from the store, from its peers, or from both.

use agate_proof::caller::{code, models};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::relay::Mode;
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START, until};
use awc::http::Method;
use tokio::time::Instant;

/// Index of the host that is cut off.
const CUT_OFF: usize = 2;

fn three_hosts() -> Options {
    Options {
        hosts: 3,
        ..Options::default()
    }
}

/// Asks until the key no longer works, which has to be soon.
async fn stops(deployment: &Deployment, key: &str) {
    let since = Instant::now();
    loop {
        let response = models(deployment.gate(CUT_OFF), key).send().await;
        let response = response.expect("gate answers");
        if response.status != 200 {
            assert_eq!(response.execution.as_deref(), Some("not run"));
            return;
        }
        let age = since.elapsed();
        assert!(age < IN_FORCE + SLACK, "the key works after {age:?}");
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn host_without_the_store_learns_of_a_withdrawal_from_its_peers() {
    let (deployment, relays) = Deployment::start_with_relays(three_hosts(), 1).await;
    let relay = &relays[0];
    let kept = deployment.key("kept").await;
    let key = deployment.key("withdrawn").await;
    relay.set(Mode::Hold);
    tokio::time::sleep(IN_FORCE).await;
    let gate = deployment.gate(CUT_OFF);
    let response = models(gate, &kept).send().await.expect("gate answers");
    assert_eq!(
        response.status, 200,
        "its peers attest that its configuration is current"
    );
    deployment.operator(0).withdraw("withdrawn").await;
    stops(&deployment, &key).await;
    until("the other key works", START, || async {
        models(gate, &kept)
            .send()
            .await
            .ok()
            .filter(|it| it.status == 200)
    })
    .await;
}

#[actix_rt::test]
async fn gate_without_any_control_process_refuses_a_withdrawn_key() {
    let deployment = Deployment::start(Options {
        keyless: vec![3],
        ..three_hosts()
    })
    .await;
    let key = deployment.key("withdrawn").await;
    deployment.hosts[CUT_OFF].steer.pause();
    deployment.operator(0).withdraw("withdrawn").await;
    stops(&deployment, &key).await;
    let refused = models(deployment.gate(CUT_OFF), &key).send().await;
    assert_eq!(code(&refused.expect("gate answers")), "config_stale");

    deployment.hosts[CUT_OFF].steer.resume();
    until("gate knows of the withdrawal", START, || async {
        let response = models(deployment.gate(CUT_OFF), &key).send().await.ok()?;
        assert_ne!(response.status, 200, "withdrawn key works again");
        (code(&response) == "key_invalid").then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn host_that_hears_nobody_serves_only_open_routes() {
    let (deployment, relays) = Deployment::start_with_relays(three_hosts(), 1).await;
    let relay = &relays[0];
    let key = deployment.key("valid").await;
    relay.set(Mode::Hold);
    for host in 0..CUT_OFF {
        deployment.hosts[host].steer.pause();
    }
    stops(&deployment, &key).await;
    let gate = deployment.gate(CUT_OFF);
    let refused = models(gate, &key).send().await.expect("gate answers");
    assert_eq!(code(&refused), "config_stale");
    let open = Request::new(Method::GET, gate, "/catalogue/7").send().await;
    assert_eq!(
        open.expect("gate answers").status,
        200,
        "open routes keep working"
    );

    for host in 0..CUT_OFF {
        deployment.hosts[host].steer.resume();
    }
    relay.set(Mode::Pass);
    until("host serves again", START, || async {
        models(gate, &key)
            .send()
            .await
            .ok()
            .filter(|it| it.status == 200)
    })
    .await;
}

#[actix_rt::test]
async fn gate_serves_on_when_its_control_process_ends() {
    let mut deployment = Deployment::start(three_hosts()).await;
    let key = deployment.key("withdrawn").await;
    let kept = deployment.key("kept").await;
    deployment.hosts[CUT_OFF].steer.kill();
    let gate = deployment.gate(CUT_OFF);
    let end = Instant::now() + IN_FORCE + SLACK;
    while Instant::now() < end {
        let response = models(gate, &kept).send().await.expect("gate answers");
        assert_eq!(
            response.status, 200,
            "the control processes of its peers serve it"
        );
        tokio::time::sleep(POLL).await;
    }
    deployment.operator(0).withdraw("withdrawn").await;
    stops(&deployment, &key).await;
}
