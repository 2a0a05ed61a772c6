//! A host that starts with nothing during a store outage serves only after proof.

use std::time::Duration;

use agate_proof::caller::{code, models};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{IN_FORCE, POLL, SLACK, START, until};
use agate_wire::fault::Faults;
use tokio::time::Instant;

/// Index of the host that is replaced.
const REPLACED: usize = 2;

fn cut() -> Faults {
    Faults {
        cut: true,
        ..Faults::default()
    }
}

/// Three hosts whose store has just gone out, with the third one replaced.
async fn replaced() -> (Deployment, String, String) {
    let mut deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let valid = deployment.key("valid").await;
    let withdrawn = deployment.key("withdrawn").await;
    deployment.operator(0).withdraw("withdrawn").await;
    deployment.platform.set_faults(&cut()).await;
    deployment.replace_host(REPLACED);
    (deployment, valid, withdrawn)
}

#[actix_rt::test]
async fn replaced_host_serves_after_the_others_attest() {
    let (deployment, valid, withdrawn) = replaced().await;
    let gate = deployment.gate(REPLACED);
    until("replaced host serves", START, || async {
        if let Ok(response) = models(gate, &withdrawn).send().await {
            assert_ne!(response.status, 200, "withdrawn key works");
        }
        let response = models(gate, &valid).send().await.ok()?;
        if response.status != 200 {
            assert_eq!(code(&response), "config_stale");
            assert_eq!(response.execution.as_deref(), Some("not run"));
        }
        (response.status == 200).then_some(())
    })
    .await;
    let refused = models(gate, &withdrawn).send().await.expect("gate answers");
    assert_eq!(code(&refused), "key_invalid");
    for host in 0..REPLACED {
        let response = models(deployment.gate(host), &valid).send().await;
        assert_eq!(
            response.expect("gate answers").status,
            200,
            "host {host} serves on"
        );
    }
}

#[actix_rt::test]
async fn replaced_host_without_a_majority_does_not_serve() {
    let (deployment, valid, withdrawn) = replaced().await;
    for host in 0..REPLACED {
        deployment.hosts[host].steer.pause();
    }
    let gate = deployment.gate(REPLACED);
    // An attestation that was given before the pause may still count for a while.
    tokio::time::sleep(IN_FORCE + SLACK).await;
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        for key in [&valid, &withdrawn] {
            if let Ok(response) = models(gate, key).send().await {
                assert_ne!(response.status, 200, "no majority attests");
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn configuration_outlives_all_hosts() {
    let mut deployment = Deployment::start(Options {
        hosts: 3,
        ..Options::default()
    })
    .await;
    let valid = deployment.key("valid").await;
    let withdrawn = deployment.key("withdrawn").await;
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
        until("replaced host serves", START, || async {
            let response = models(gate, &withdrawn).send().await.ok()?;
            assert_ne!(response.status, 200, "withdrawn key works");
            models(gate, &valid)
                .send()
                .await
                .ok()
                .filter(|it| it.status == 200)
        })
        .await;
        let status = deployment.operator(host).status().await;
        assert!(status.expect("resource API answers").version >= version);
    }
}
