//! Guards against a replaced host that serves an outdated configuration: it starts without state
//! while the store is unreachable and cannot know whether a key has been withdrawn. It may serve
//! only after a majority of hosts has attested that its configuration is current.

use std::time::Duration;

use agate_proof::caller::{error_code, models};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START_TIMEOUT, until};
use agate_wire::fault::Faults;
use tokio::time::Instant;

/// Index of the host that is replaced.
const REPLACED: usize = 2;

/// Faults that close every connection to the platform.
fn cut() -> Faults {
    Faults {
        cut: true,
        ..Faults::default()
    }
}

/// Starts three hosts, cuts off the store and replaces the third host; returns the deployment, a
/// valid key and a withdrawn key.
async fn deployment_with_replaced_host() -> (Deployment, String, String) {
    let mut deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let valid = deployment.grant_key("valid").await;
    let withdrawn = deployment.grant_key("withdrawn").await;
    deployment.operator(0).withdraw("withdrawn").await;
    deployment.platform.set_faults(&cut()).await;
    deployment.replace_host(REPLACED);
    (deployment, valid, withdrawn)
}

#[actix_rt::test]
async fn replaced_host_serves_after_a_majority_attests() {
    let (deployment, valid, withdrawn) = deployment_with_replaced_host().await;
    let gate = deployment.gate(REPLACED);
    until("replaced host serves", START_TIMEOUT, || async {
        if let Ok(response) = models(gate, &withdrawn).send().await {
            assert_ne!(response.status, 200, "withdrawn key is refused");
        }
        let response = models(gate, &valid).send().await.ok()?;
        if response.status != 200 {
            assert_eq!(error_code(&response), "config_stale");
            assert_eq!(response.execution.as_deref(), Some("not run"));
        }
        (response.status == 200).then_some(())
    })
    .await;
    let refused = models(gate, &withdrawn)
        .send()
        .await
        .expect("gate responds");
    assert_eq!(error_code(&refused), "key_invalid");
    for host in 0..REPLACED {
        let response = models(deployment.gate(host), &valid).send().await;
        assert_eq!(
            response.expect("gate responds").status,
            200,
            "host {host} still serves"
        );
    }
}

#[actix_rt::test]
async fn replaced_host_without_a_majority_does_not_serve() {
    let (deployment, valid, withdrawn) = deployment_with_replaced_host().await;
    for host in 0..REPLACED {
        deployment.hosts[host].steer.pause();
    }
    let gate = deployment.gate(REPLACED);
    // An attestation from before the pause stays valid for a while.
    tokio::time::sleep(IN_FORCE + SLACK).await;
    let deadline = Instant::now() + Duration::from_secs(3);
    while Instant::now() < deadline {
        for key in [&valid, &withdrawn] {
            if let Ok(response) = models(gate, key).send().await {
                assert_ne!(response.status, 200, "gate refuses keys without a majority");
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn configuration_survives_restart_of_all_hosts() {
    let mut deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let valid = deployment.grant_key("valid").await;
    let withdrawn = deployment.grant_key("withdrawn").await;
    let version = deployment.operator(0).withdraw("withdrawn").await.version;
    for host in 0..3 {
        deployment.hosts[host].steer.kill();
        deployment.hosts[host].gate.kill();
    }
    for host in 0..3 {
        deployment.replace_host(host);
    }
    for host in 0..3 {
        let gate = deployment.gate(host);
        until("replaced host serves", START_TIMEOUT, || async {
            let response = models(gate, &withdrawn).send().await.ok()?;
            assert_ne!(response.status, 200, "withdrawn key is refused");
            models(gate, &valid)
                .send()
                .await
                .ok()
                .filter(|response| response.status == 200)
        })
        .await;
        let status = deployment.operator(host).status().await;
        assert!(status.expect("resource API responds").version >= version);
    }
}
