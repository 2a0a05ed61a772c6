//! A refusal that says "not run" is true.

use std::time::Duration;

use agate_proof::caller::{booking, chat, completion};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::{Request, Response};
use agate_wire::fault::Faults;
use agate_wire::refusal::Body;

const NOT_RUN: &str = "not run";

/// Requests of each round.
const ROUND: usize = 24;

fn faults() -> Vec<Faults> {
    let none = Faults::default;
    vec![
        Faults {
            error_rate: 0.7,
            ..none()
        },
        Faults {
            lose_answer_rate: 0.7,
            ..none()
        },
        Faults {
            cut: true,
            ..none()
        },
        Faults {
            frozen: true,
            ..none()
        },
        Faults {
            break_after_chunks: 1,
            ..none()
        },
        Faults {
            delay_ms: 1500,
            ..none()
        },
    ]
}

/// A request with a mark of its own, in turn of each kind; some have a wrong key.
fn request(deployment: &Deployment, key: &str, mark: &str, number: usize) -> Request {
    let gate = deployment.gate(0);
    let key = if number.is_multiple_of(8) {
        "wrong"
    } else {
        key
    };
    let request = match number % 4 {
        0 => booking(gate, key, mark),
        1 => booking(gate, key, mark).header("idempotency-key", mark),
        2 => chat(gate, key, &completion(mark, 4, true)),
        _ => chat(gate, key, &completion(mark, 4, false)),
    };
    request.header("x-agate-deadline-ms", "1000")
}

struct Refused {
    mark: String,
    response: Response,
}

/// Whether a stream that had begun ends with an error event.
fn is_broken(response: &Response) -> bool {
    String::from_utf8_lossy(&response.body).contains("\"error\"")
}

async fn round(deployment: &Deployment, key: &str, name: &str) -> Vec<Refused> {
    let calls = (0..ROUND).map(|number| async move {
        let mark = format!("mark-{name}-{number}-end");
        let request = request(deployment, key, &mark, number);
        let response = request.send().await.ok()?;
        let is_refused = response.status != 200 || is_broken(&response);
        is_refused.then_some(Refused { mark, response })
    });
    let refused = futures_util::future::join_all(calls).await;
    refused.into_iter().flatten().collect()
}

#[actix_rt::test]
async fn refusals_say_truly_that_nothing_ran() {
    let mut deployment = Deployment::start(Options {
        engines: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.key("truth").await;
    let mut refused = Vec::new();
    for (number, faults) in faults().into_iter().enumerate() {
        for standin in deployment.engines.iter().chain(&deployment.services) {
            standin.set_faults(&faults).await;
        }
        refused.extend(round(&deployment, &key, &format!("fault-{number}")).await);
    }
    for standin in deployment.engines.iter().chain(&deployment.services) {
        standin.set_faults(&Faults::default()).await;
    }
    // The claims need the store.
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    deployment.platform.set_faults(&cut).await;
    refused.extend(round(&deployment, &key, "store-out").await);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let mut not_run = 0;
    for refusal in &refused {
        let received = deployment.received(&refusal.mark).await;
        let body = String::from_utf8_lossy(&refusal.response.body);
        let header = refusal.response.execution.as_deref();
        if header == Some(NOT_RUN) || body.contains(NOT_RUN) {
            not_run += 1;
            assert_eq!(received, 0, "{} was received: {body}", refusal.mark);
        }
        match serde_json::from_str::<Body>(&body) {
            Ok(it) => assert_eq!(header, Some(it.error.execution.as_str())),
            // The answer of an endpoint, passed on.
            Err(_) => assert!(received > 0, "{} says nothing: {body}", refusal.mark),
        }
    }
    assert!(not_run >= 10, "only {not_run} refusals");

    // Nobody listens any more: nothing is sent, and the refusals say so.
    for standin in deployment
        .engines
        .iter_mut()
        .chain(&mut deployment.services)
    {
        standin.program.kill();
    }
    for refusal in round(&deployment, &key, "killed").await {
        let execution = refusal.response.execution.as_deref();
        assert_eq!(execution, Some(NOT_RUN), "{}", refusal.mark);
    }
}

#[actix_rt::test]
async fn bookings_run_at_most_once_under_faults() {
    let deployment = Deployment::start(Options {
        services: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.key("once").await;
    for (number, faults) in faults().into_iter().enumerate() {
        for standin in &deployment.services {
            standin.set_faults(&faults).await;
        }
        round(&deployment, &key, &format!("once-{number}")).await;
    }
    for service in &deployment.services {
        service.set_faults(&Faults::default()).await;
    }
    for number in 0..faults().len() {
        for request in (0..ROUND).filter(|it| it % 4 < 2) {
            let mark = format!("mark-once-{number}-{request}-end");
            assert!(
                deployment.received(&mark).await <= 1,
                "{mark} was sent twice"
            );
        }
    }
}
