//! Guards against a withdrawn key that a host accepts because the store, its control process or
//! its peers are unreachable, and against a host that refuses valid keys although its peers attest
//! that its configuration is current.

use agate_proof::caller::{error_code, models};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::relay::Mode;
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START_TIMEOUT, until};
use awc::http::Method;
use tokio::time::Instant;

/// Index of the host that loses its connections.
const ISOLATED: usize = 2;

/// Three hosts with the default endpoints.
fn three_hosts() -> Options {
    Options {
        hosts: 3,
        ..Options::default()
    }
}

/// Sends requests to the isolated host until it refuses the key, which must happen within
/// [`IN_FORCE`] and [`SLACK`].
async fn wait_until_refused(deployment: &Deployment, key: &str) {
    let started = Instant::now();
    loop {
        let response = models(deployment.gate(ISOLATED), key).send().await;
        let response = response.expect("gate responds");
        if response.status != 200 {
            assert_eq!(response.execution.as_deref(), Some("not run"));
            return;
        }
        let age = started.elapsed();
        assert!(
            age < IN_FORCE + SLACK,
            "the key is still accepted after {age:?}"
        );
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn host_without_the_store_learns_of_a_withdrawal_from_its_peers() {
    let (deployment, relays) = Deployment::start_with_relays(three_hosts(), 1).await;
    let relay = &relays[0];
    let kept = deployment.grant_key("kept").await;
    let key = deployment.grant_key("withdrawn").await;
    relay.set(Mode::Hold);
    tokio::time::sleep(IN_FORCE).await;
    let gate = deployment.gate(ISOLATED);
    let response = models(gate, &kept).send().await.expect("gate responds");
    assert_eq!(
        response.status, 200,
        "peers attest that the configuration of the host is current"
    );
    deployment.operator(0).withdraw("withdrawn").await;
    wait_until_refused(&deployment, &key).await;
    until("the other key is accepted", START_TIMEOUT, || async {
        models(gate, &kept)
            .send()
            .await
            .ok()
            .filter(|response| response.status == 200)
    })
    .await;
}

#[actix_rt::test]
async fn gate_without_a_control_process_refuses_a_withdrawn_key() {
    let deployment = Deployment::start(Options {
        keyless_hosts: vec![3],
        ..three_hosts()
    })
    .await;
    let key = deployment.grant_key("withdrawn").await;
    deployment.hosts[ISOLATED].steer.pause();
    deployment.operator(0).withdraw("withdrawn").await;
    let withdrawn = Instant::now();
    wait_until_refused(&deployment, &key).await;
    let refused = models(deployment.gate(ISOLATED), &key).send().await;
    assert_eq!(error_code(&refused.expect("gate responds")), "config_stale");

    // The resumed control process may pass on evidence from before the withdrawal that the gate had
    // not fetched yet. Until that lapses, the key is accepted again.
    deployment.hosts[ISOLATED].steer.resume();
    until(
        "the gate has received the withdrawal",
        START_TIMEOUT,
        || async {
            let sent = withdrawn.elapsed();
            let response = models(deployment.gate(ISOLATED), &key).send().await.ok()?;
            assert!(
                response.status != 200 || sent < IN_FORCE,
                "the key was accepted {sent:?} after its withdrawal"
            );
            (error_code(&response) == "key_invalid").then_some(())
        },
    )
    .await;
    let received = Instant::now();
    while received.elapsed() < IN_FORCE {
        let response = models(deployment.gate(ISOLATED), &key).send().await;
        let response = response.expect("gate responds");
        assert_eq!(error_code(&response), "key_invalid");
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn host_without_store_and_peers_serves_only_open_routes() {
    let (deployment, relays) = Deployment::start_with_relays(three_hosts(), 1).await;
    let relay = &relays[0];
    let key = deployment.grant_key("valid").await;
    relay.set(Mode::Hold);
    for host in 0..ISOLATED {
        deployment.hosts[host].steer.pause();
    }
    wait_until_refused(&deployment, &key).await;
    let gate = deployment.gate(ISOLATED);
    let refused = models(gate, &key).send().await.expect("gate responds");
    assert_eq!(error_code(&refused), "config_stale");
    let open = Request::new(Method::GET, gate, "/catalogue/7").send().await;
    assert_eq!(
        open.expect("gate responds").status,
        200,
        "open routes are still served"
    );

    for host in 0..ISOLATED {
        deployment.hosts[host].steer.resume();
    }
    relay.set(Mode::Pass);
    until("host serves again", START_TIMEOUT, || async {
        models(gate, &key)
            .send()
            .await
            .ok()
            .filter(|response| response.status == 200)
    })
    .await;
}

#[actix_rt::test]
async fn gate_keeps_serving_after_its_control_process_is_killed() {
    let mut deployment = Deployment::start(three_hosts()).await;
    let key = deployment.grant_key("withdrawn").await;
    let kept = deployment.grant_key("kept").await;
    deployment.hosts[ISOLATED].steer.kill();
    let gate = deployment.gate(ISOLATED);
    let deadline = Instant::now() + IN_FORCE + SLACK;
    while Instant::now() < deadline {
        let response = models(gate, &kept).send().await.expect("gate responds");
        assert_eq!(
            response.status, 200,
            "the gate uses the control processes of other hosts"
        );
        tokio::time::sleep(POLL).await;
    }
    deployment.operator(0).withdraw("withdrawn").await;
    wait_until_refused(&deployment, &key).await;
}
