//! Guards against a request with an idempotency key that runs twice when its caller submits it
//! again: after its gate was killed, or at several hosts at once while responses of the store get
//! lost.

use agate_proof::caller::{booking, error_code};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::wait::{START_TIMEOUT, until};
use agate_wire::fault::Faults;
use futures_util::future::join_all;

/// Two hosts and two services that respond after 4 s.
fn two_slow_services() -> Options {
    let standin_args = ["--delay", "4s"].map(str::to_owned).to_vec();
    Options {
        hosts: 2,
        service_args: vec![standin_args.clone(), standin_args],
        ..Options::default()
    }
}

#[actix_rt::test]
async fn resubmitted_booking_runs_once_after_its_gate_is_killed() {
    let mut deployment = Deployment::start(two_slow_services()).await;
    let key = deployment.grant_key("crash").await;
    let submit = |deployment: &Deployment, host: usize| {
        booking(deployment.gate(host), &key, "resubmitted").header("idempotency-key", "order-77")
    };
    let call = submit(&deployment, 0);
    let call = actix_rt::spawn(async move { call.send().await });
    until("a service has the booking", START_TIMEOUT, || async {
        (deployment.received_count("resubmitted").await > 0).then_some(())
    })
    .await;
    deployment.hosts[0].gate.kill();
    assert!(
        call.await.expect("caller task completes").is_err(),
        "the connection to the killed gate is closed"
    );
    for _ in 0..3 {
        let resubmitted = submit(&deployment, 1).send().await.expect("gate responds");
        assert_eq!(
            resubmitted.status,
            409,
            "{}",
            String::from_utf8_lossy(&resubmitted.body)
        );
        assert!(error_code(&resubmitted).starts_with("claim_"));
    }
    assert_eq!(deployment.received_count("resubmitted").await, 1);
}

/// Number of bookings that are submitted at every host at once.
const BOOKINGS: usize = 12;

/// Number of times that each booking is submitted at each host.
const SUBMISSIONS: usize = 2;

#[actix_rt::test]
async fn booking_submitted_at_every_host_at_once_runs_once() {
    let deployment = Deployment::start(Options {
        hosts: 3,
        service_args: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.grant_key("claim").await;
    let half_lost = Faults {
        lose_answer_rate: 0.5,
        ..Faults::default()
    };
    deployment
        .platform
        .set_interface_faults("tables", &half_lost)
        .await;
    let names: Vec<String> = (0..BOOKINGS)
        .map(|number| format!("everywhere-{number}-end"))
        .collect();
    let calls = names.iter().flat_map(|name| {
        let submit = |host: usize| booking(deployment.gate(host), &key, name);
        let submissions = (0..3 * SUBMISSIONS).map(move |number| submit(number % 3));
        submissions.map(|request| request.header("idempotency-key", name.as_str()))
    });
    let calls: Vec<_> = calls.collect();
    let responses = join_all(calls.iter().map(Request::send)).await;
    deployment
        .platform
        .set_interface_faults("tables", &Faults::default())
        .await;
    for response in responses {
        let response = response.expect("gate responds");
        if response.status != 200 {
            assert!(
                error_code(&response).starts_with("claim_"),
                "{}",
                error_code(&response)
            );
        }
    }
    for name in &names {
        let count = deployment.received_count(name).await;
        assert!(count <= 1, "{name} ran {count} times");
        let resubmitted =
            booking(deployment.gate(0), &key, name).header("idempotency-key", name.as_str());
        let resubmitted = resubmitted.send().await.expect("gate responds");
        let is_settled =
            resubmitted.status == 200 || error_code(&resubmitted).starts_with("claim_");
        assert!(
            is_settled,
            "status {}, expected 200 or a claim_ error",
            resubmitted.status
        );
        assert!(
            deployment.received_count(name).await <= 1,
            "{name} ran again"
        );
    }
}
