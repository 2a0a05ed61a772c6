//! Guards against a gate that says "not run" about a request which an endpoint has received, and
//! against requests that are not idempotent and run twice. Endpoints respond with errors, lose
//! responses, close connections, freeze, break off or respond late; the store is cut off; endpoints
//! are killed.

use std::time::Duration;

use agate_proof::caller::{booking, chat, completion};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::{Request, Response};
use agate_wire::fault::Faults;
use agate_wire::refusal::Body;

/// Value of the header `x-agate-execution` for a request that no endpoint has received.
const NOT_RUN: &str = "not run";

/// Number of concurrent requests of each round.
const ROUND_REQUESTS: usize = 24;

/// Faults of the endpoints, one kind per round.
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

/// Returns a request that contains `mark`. The kinds of request take turns by `number`, and every
/// eighth request has a wrong key.
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

/// A request that did not succeed.
struct Refusal {
    /// Text that only this request contains.
    mark: String,
    /// Response of the gate, with another status than 200 or an error event in its stream.
    response: Response,
}

/// Returns whether the body contains an error, as a stream does that fails after its start.
fn has_error(response: &Response) -> bool {
    String::from_utf8_lossy(&response.body).contains("\"error\"")
}

/// Sends the requests of one round concurrently and returns the refusals.
async fn send_round(deployment: &Deployment, key: &str, name: &str) -> Vec<Refusal> {
    let calls = (0..ROUND_REQUESTS).map(|number| async move {
        let mark = format!("mark-{name}-{number}-end");
        let request = request(deployment, key, &mark, number);
        let response = request.send().await.ok()?;
        let is_refused = response.status != 200 || has_error(&response);
        is_refused.then_some(Refusal { mark, response })
    });
    let refusals = futures_util::future::join_all(calls).await;
    refusals.into_iter().flatten().collect()
}

#[actix_rt::test]
async fn refusals_say_not_run_only_if_no_endpoint_received_the_request() {
    let mut deployment = Deployment::start(Options {
        engine_args: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.grant_key("truth").await;
    let mut refusals = Vec::new();
    for (number, faults) in faults().into_iter().enumerate() {
        for standin in deployment.engines.iter().chain(&deployment.services) {
            standin.set_faults(&faults).await;
        }
        refusals.extend(send_round(&deployment, &key, &format!("fault-{number}")).await);
    }
    for standin in deployment.engines.iter().chain(&deployment.services) {
        standin.set_faults(&Faults::default()).await;
    }
    // Requests with an idempotency key need the store for their claims.
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    deployment.platform.set_faults(&cut).await;
    refusals.extend(send_round(&deployment, &key, "store-out").await);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let mut not_run = 0;
    for refusal in &refusals {
        let received = deployment.received_count(&refusal.mark).await;
        let body = String::from_utf8_lossy(&refusal.response.body);
        let header = refusal.response.execution.as_deref();
        if header == Some(NOT_RUN) || body.contains(NOT_RUN) {
            not_run += 1;
            assert_eq!(received, 0, "{} was received: {body}", refusal.mark);
        }
        match serde_json::from_str::<Body>(&body) {
            Ok(refused) => assert_eq!(header, Some(refused.error.execution.as_str())),
            // The gate has forwarded the response of an endpoint.
            Err(_) => assert!(
                received > 0,
                "{}: body is no refusal and no endpoint received the request: {body}",
                refusal.mark
            ),
        }
    }
    assert!(
        not_run >= 10,
        "{not_run} refusals say not run, expected at least 10"
    );

    // No endpoint listens any longer, so that every refusal must say that the request was not run.
    for standin in deployment
        .engines
        .iter_mut()
        .chain(&mut deployment.services)
    {
        standin.program.kill();
    }
    for refusal in send_round(&deployment, &key, "killed").await {
        let execution = refusal.response.execution.as_deref();
        assert_eq!(execution, Some(NOT_RUN), "{}", refusal.mark);
    }
}

#[actix_rt::test]
async fn bookings_run_at_most_once_under_faults() {
    let deployment = Deployment::start(Options {
        service_args: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.grant_key("once").await;
    for (number, faults) in faults().into_iter().enumerate() {
        for standin in &deployment.services {
            standin.set_faults(&faults).await;
        }
        send_round(&deployment, &key, &format!("once-{number}")).await;
    }
    for service in &deployment.services {
        service.set_faults(&Faults::default()).await;
    }
    for number in 0..faults().len() {
        for request in (0..ROUND_REQUESTS).filter(|request| request % 4 < 2) {
            let mark = format!("mark-once-{number}-{request}-end");
            assert!(
                deployment.received_count(&mark).await <= 1,
                "{mark} was received more than once"
            );
        }
    }
}
