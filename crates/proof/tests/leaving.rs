//! Guards against requests that gates send to a leaving endpoint: no host reads the store, and one
//! host does not reach the platform at all, so that it learns of the leaving endpoint only from its
//! peers.

use std::time::Duration;

use agate_fake::ledger::Entry;
use agate_proof::caller::{chat, completion};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::relay::Mode;
use agate_proof::wait::POLL;
use agate_wire::fault::Faults;
use agate_wire::platform::{Machine, Purpose, State};
use tokio::time::Instant;

/// Time after which a leaving endpoint receives no new requests.
const PROPAGATION: Duration = Duration::from_secs(6);

/// Time during which the test checks that the endpoint receives nothing.
const OBSERVATION: Duration = Duration::from_secs(3);

/// Returns the number of chat completions that the engine has received.
fn completions(ledger: &[Entry]) -> usize {
    ledger
        .iter()
        .filter(|entry| entry.path == "/v1/chat/completions")
        .count()
}

/// Sends chat completions through all gates in turn; each has to succeed.
async fn send_for(deployment: &Deployment, key: &str, duration: Duration) {
    let deadline = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < deadline {
        let gate = deployment.gate(number % deployment.hosts.len());
        let text = format!("request {number}");
        let response = chat(gate, key, &completion(&text, 2, false)).send().await;
        assert_eq!(response.expect("gate responds").status, 200);
        number += 1;
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn leaving_endpoint_receives_no_new_requests_during_a_store_outage() {
    let options = Options {
        hosts: 3,
        engine_args: vec![Vec::new(), Vec::new()],
        ..Options::default()
    };
    let (deployment, relays) = Deployment::start_with_relays(options, 1).await;
    let relay = &relays[0];
    let key = deployment.grant_key("leaving").await;
    send_for(&deployment, &key, Duration::from_secs(1)).await;
    assert!(completions(&deployment.engines[0].ledger().await) > 0);

    // No host can read the store, and the last one cannot read the list of machines either.
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    deployment
        .platform
        .set_interface_faults("tables", &cut)
        .await;
    relay.set(Mode::Hold);
    let machine = Machine {
        id: "engine-1".to_owned(),
        purpose: Purpose::Endpoint,
        zone: "hal-noord".to_owned(),
        state: State::Leaving,
    };
    deployment.platform.set_machines(&[machine]).await;
    send_for(&deployment, &key, PROPAGATION).await;
    let before = completions(&deployment.engines[0].ledger().await);
    send_for(&deployment, &key, OBSERVATION).await;
    let after = completions(&deployment.engines[0].ledger().await);
    assert_eq!(after, before, "the leaving engine receives no new requests");
}
