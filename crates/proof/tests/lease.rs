//! The platform and the engines never carry out an order with an older epoch after a newer one.

use std::time::Duration;

use agate_fake::platform::orders;
use agate_proof::deployment::{Deployment, IDLE, Options, QUICK};
use agate_proof::resources::ordered_pool;
use agate_proof::standin::Standin;
use agate_proof::wait::{START, until};
use agate_wire::order::Machine;
use rstest::rstest;

/// Changes of the holder in one test.
const ROUNDS: u32 = 2;

/// Time for a takeover and the orders after it.
const TAKEOVER: Duration = Duration::from_secs(25);

/// Time in which a holder that wakes might send.
const WAKE: Duration = Duration::from_secs(2);

fn options(fencing: &str) -> Options {
    let mut platform: Vec<String> = IDLE.map(str::to_owned).to_vec();
    let more = [
        "--list-lag",
        "300ms",
        "--boot",
        "200ms",
        "--fencing",
        fencing,
    ];
    platform.extend(more.map(str::to_owned));
    // The engines have no model, so that they are told to load one.
    platform.extend(["--model".to_owned(), "another".to_owned()]);
    Options {
        hosts: 3,
        engines: Vec::new(),
        platform,
        steer: QUICK.to_owned(),
        ..Options::default()
    }
}

/// Epochs in order of effect.
fn assert_rising(epochs: &[u64], what: &str) {
    assert!(epochs.is_sorted(), "{what}: {epochs:?}");
}

async fn effective(deployment: &Deployment) -> Vec<orders::Received> {
    let received = deployment.platform.endpoint_orders().await;
    received.into_iter().filter(|it| it.effective).collect()
}

async fn ordered(deployment: &Deployment, count: usize) {
    until("endpoints are ordered", TAKEOVER, || async {
        (effective(deployment).await.len() >= count).then_some(())
    })
    .await;
}

/// Orders that the ordered engines carried out, by engine.
async fn engine_epochs(deployment: &Deployment) -> Vec<Vec<u64>> {
    let machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
    let mut epochs = Vec::new();
    for machine in machines {
        let received = Standin::read_at::<Vec<agate_fake::engine::orders::Received>>(
            machine.address,
            "/admin/orders",
        )
        .await;
        let effective = received.into_iter().filter(|it| it.effective);
        epochs.push(effective.map(|it| it.order.epoch).collect());
    }
    epochs
}

#[rstest]
#[case::checked("checked")]
#[case::ignored("ignored")]
#[actix_rt::test]
async fn frozen_holder_orders_nothing_after_its_successor(#[case] fencing: &str) {
    let (deployment, relays) = Deployment::start_with_relays(options(fencing), 3).await;
    deployment
        .operator(0)
        .apply(&[ordered_pool(2, 12, false)])
        .await;
    ordered(&deployment, 2).await;
    for round in 0..ROUNDS {
        let holder = deployment.holder().await;
        let steer = &deployment.hosts[holder].steer;
        let operator = deployment.operator((holder + 1) % 3);
        let orders = effective(&deployment).await.len();
        // The holder freezes while it sends orders: at once, or on a new connection.
        operator
            .apply(&[ordered_pool(4 + 2 * round, 12, false)])
            .await;
        match round {
            0 => relays[holder].freeze_at_next_connection(steer.id()),
            _ => steer.pause(),
        }
        until("another host takes over", TAKEOVER, || async {
            let lease = operator.status().await.ok()?.lease?;
            (lease.holder != deployment.hosts[holder].name).then_some(())
        })
        .await;
        assert!(relays[holder].has_frozen(), "the holder was frozen");
        ordered(&deployment, orders + 2).await;
        steer.resume();
        tokio::time::sleep(WAKE).await;
    }
    until("engines received orders", TAKEOVER, || async {
        let engines = engine_epochs(&deployment).await;
        engines.iter().any(|it| !it.is_empty()).then_some(())
    })
    .await;
    until("orders have ended", START, || async {
        let before = deployment.platform.endpoint_orders().await.len();
        tokio::time::sleep(Duration::from_millis(1500)).await;
        (deployment.platform.endpoint_orders().await.len() == before).then_some(())
    })
    .await;
    check_orders(&deployment).await;
    let wanted = 4 + 2 * (ROUNDS - 1);
    let machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
    assert_eq!(machines.len(), wanted as usize, "no endpoint too many");
}

async fn check_orders(deployment: &Deployment) {
    let effective = effective(deployment).await;
    let epochs: Vec<u64> = effective.iter().map(|it| it.order.epoch).collect();
    assert_rising(&epochs, "platform");
    assert!(
        epochs[epochs.len() - 1] > epochs[0],
        "the lease has changed hands"
    );
    let mut ids: Vec<&str> = effective.iter().map(|it| it.order.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), effective.len(), "no order had an effect twice");
    let engines = engine_epochs(deployment).await;
    assert!(
        engines.iter().any(|it| !it.is_empty()),
        "engines received orders"
    );
    for epochs in engines {
        assert_rising(&epochs, "engine");
    }
}
