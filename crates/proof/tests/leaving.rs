//! An endpoint that leaves while the store is out gets no new work after a few seconds.

use std::time::Duration;

use agate_fake::ledger::Entry;
use agate_proof::caller::{chat, completion};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::relay::Mode;
use agate_proof::wait::POLL;
use agate_wire::fault::Faults;
use agate_wire::platform::{Machine, Purpose, State};
use tokio::time::Instant;

/// Time after which a leaving endpoint gets no new work.
const FEW_SECONDS: Duration = Duration::from_secs(6);

/// Time for which the test watches on.
const WATCH: Duration = Duration::from_secs(3);

fn arrivals(ledger: &[Entry]) -> usize {
    ledger
        .iter()
        .filter(|it| it.path == "/v1/chat/completions")
        .count()
}

async fn send_for(deployment: &Deployment, key: &str, duration: Duration) {
    let end = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < end {
        let gate = deployment.gate(number % deployment.hosts.len());
        let text = format!("request {number}");
        let response = chat(gate, key, &completion(&text, 2, false)).send().await;
        assert_eq!(response.expect("gate answers").status, 200);
        number += 1;
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn leaving_endpoint_gets_no_new_work() {
    let options = Options {
        hosts: 3,
        engines: vec![Vec::new(), Vec::new()],
        ..Options::default()
    };
    let (deployment, relays) = Deployment::start_with_relays(options, 1).await;
    let relay = &relays[0];
    let key = deployment.key("leaving").await;
    send_for(&deployment, &key, Duration::from_secs(1)).await;
    assert!(arrivals(&deployment.engines[0].ledger().await) > 0);

    // No host reads the store, and the last one does not read the list either.
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
    send_for(&deployment, &key, FEW_SECONDS).await;
    let before = arrivals(&deployment.engines[0].ledger().await);
    send_for(&deployment, &key, WATCH).await;
    let after = arrivals(&deployment.engines[0].ledger().await);
    assert_eq!(after, before, "the leaving engine got new work");
}
