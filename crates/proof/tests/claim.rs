//! A booking that its caller submits again runs once.

use agate_proof::caller::{booking, code};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{START, until};

fn two_slow_services() -> Options {
    let args = ["--delay", "4s"].map(str::to_owned).to_vec();
    Options {
        hosts: 2,
        services: vec![args.clone(), args],
        ..Options::default()
    }
}

#[actix_rt::test]
async fn resubmitted_booking_runs_once_after_its_gate_was_killed() {
    let mut deployment = Deployment::start(two_slow_services()).await;
    let key = deployment.key("crash").await;
    let submit = |deployment: &Deployment, host: usize| {
        booking(deployment.gate(host), &key, "resubmitted").header("idempotency-key", "order-77")
    };
    let call = submit(&deployment, 0);
    let call = actix_rt::spawn(async move { call.send().await });
    until("a service has the booking", START, || async {
        (deployment.received("resubmitted").await > 0).then_some(())
    })
    .await;
    deployment.hosts[0].gate.kill();
    assert!(
        call.await.expect("caller ends").is_err(),
        "the connection is lost"
    );
    for _ in 0..3 {
        let again = submit(&deployment, 1).send().await.expect("gate answers");
        assert_eq!(
            again.status,
            409,
            "{}",
            String::from_utf8_lossy(&again.body)
        );
        assert!(code(&again).starts_with("claim_"));
    }
    assert_eq!(deployment.received("resubmitted").await, 1);
}
