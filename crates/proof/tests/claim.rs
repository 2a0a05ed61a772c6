//! A booking that its caller submits again runs once.

use agate_proof::caller::{booking, code};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::wait::{START, until};
use agate_wire::fault::Faults;
use futures_util::future::join_all;

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

/// Bookings that are submitted everywhere at once.
const BOOKINGS: usize = 12;

/// Times that each is submitted at each host.
const REPEATS: usize = 2;

#[actix_rt::test]
async fn booking_submitted_at_every_host_at_once_runs_once() {
    let deployment = Deployment::start(Options {
        hosts: 3,
        services: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.key("claim").await;
    let half_lost = Faults {
        lose_answer_rate: 0.5,
        ..Faults::default()
    };
    deployment
        .platform
        .set_interface_faults("tables", &half_lost)
        .await;
    let names: Vec<String> = (0..BOOKINGS)
        .map(|it| format!("everywhere-{it}-end"))
        .collect();
    let calls = names.iter().flat_map(|name| {
        let submit = |host: usize| booking(deployment.gate(host), &key, name);
        let everywhere = (0..3 * REPEATS).map(move |it| submit(it % 3));
        everywhere.map(|it| it.header("idempotency-key", name.as_str()))
    });
    let calls: Vec<_> = calls.collect();
    let answers = join_all(calls.iter().map(Request::send)).await;
    deployment
        .platform
        .set_interface_faults("tables", &Faults::default())
        .await;
    for answer in answers {
        let answer = answer.expect("gate answers");
        if answer.status != 200 {
            assert!(code(&answer).starts_with("claim_"), "{}", code(&answer));
        }
    }
    for name in &names {
        let count = deployment.received(name).await;
        assert!(count <= 1, "{name} ran {count} times");
        let again =
            booking(deployment.gate(0), &key, name).header("idempotency-key", name.as_str());
        let again = again.send().await.expect("gate answers");
        let is_settled = again.status == 200 || code(&again).starts_with("claim_");
        assert!(is_settled, "status {}", again.status);
        assert!(deployment.received(name).await <= 1, "{name} ran again");
    }
}
