//! Guards against orders of a former lease holder that take effect after orders of its successor.
//! The holder is suspended while it sends orders, another host acquires the lease, and the former
//! holder is resumed. The platform and the engines must never carry out an order with an older
//! epoch after one with a newer epoch.

use std::time::Duration;

use agate_fake::platform::orders;
use agate_proof::deployment::{Deployment, IDLE_ARGS, Options, SHORT_INTERVALS};
use agate_proof::resources::ordered_pool;
use agate_proof::standin::Standin;
use agate_proof::wait::{START_TIMEOUT, until};
use agate_wire::order::Machine;
use rstest::rstest;

/// Number of changes of the lease holder in one test.
const ROUNDS: u32 = 2;

/// Timeout for another host to acquire the lease and send orders.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(25);

/// Time in which a resumed former holder might send orders.
const RESUME_TIME: Duration = Duration::from_secs(2);

/// Three hosts without engines; the platform treats old epochs as `fencing` says.
fn options(fencing: &str) -> Options {
    let mut platform_args: Vec<String> = IDLE_ARGS.map(str::to_owned).to_vec();
    let further_args = [
        "--list-lag",
        "300ms",
        "--boot",
        "200ms",
        "--fencing",
        fencing,
    ];
    platform_args.extend(further_args.map(str::to_owned));
    // Engines start with another model, so that the lease holder orders them to load the right one.
    platform_args.extend(["--model".to_owned(), "another".to_owned()]);
    Options {
        hosts: 3,
        engine_args: Vec::new(),
        platform_args,
        steer_settings: SHORT_INTERVALS.to_owned(),
        ..Options::default()
    }
}

/// Checks that the epochs, in the order in which orders took effect, never decrease.
fn assert_epochs_sorted(epochs: &[u64], receiver: &str) {
    assert!(
        epochs.is_sorted(),
        "{receiver}: epochs never decrease: {epochs:?}"
    );
}

/// Returns the endpoint orders that had an effect, in order of arrival.
async fn effective_orders(deployment: &Deployment) -> Vec<orders::Received> {
    let received = deployment.platform.endpoint_orders().await;
    received
        .into_iter()
        .filter(|received| received.effective)
        .collect()
}

/// Waits until at least `count` endpoint orders have had an effect.
async fn wait_for_orders(deployment: &Deployment, count: usize) {
    until("endpoints are ordered", TAKEOVER_TIMEOUT, || async {
        (effective_orders(deployment).await.len() >= count).then_some(())
    })
    .await;
}

/// Returns, for each ordered engine, the epochs of the orders that it carried out.
async fn engine_epochs(deployment: &Deployment) -> Vec<Vec<u64>> {
    let machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
    let mut epochs = Vec::new();
    for machine in machines {
        let received = Standin::read_at::<Vec<agate_fake::engine::orders::Received>>(
            machine.address,
            "/admin/orders",
        )
        .await;
        let effective = received.into_iter().filter(|received| received.effective);
        epochs.push(effective.map(|received| received.order.epoch).collect());
    }
    epochs
}

#[rstest]
#[case::checked("checked")]
#[case::ignored("ignored")]
#[actix_rt::test]
async fn orders_of_a_suspended_lease_holder_have_no_effect_after_its_successor(
    #[case] fencing: &str,
) {
    let (deployment, relays) = Deployment::start_with_relays(options(fencing), 3).await;
    deployment
        .operator(0)
        .apply(&[ordered_pool(2, 12, false)])
        .await;
    wait_for_orders(&deployment, 2).await;
    for round in 0..ROUNDS {
        let lease_holder = deployment.lease_holder().await;
        let steer = &deployment.hosts[lease_holder].steer;
        let operator = deployment.operator((lease_holder + 1) % 3);
        let orders = effective_orders(&deployment).await.len();
        // Suspends the holder while it sends orders: in the first round when it opens a new
        // connection, later at once.
        operator
            .apply(&[ordered_pool(4 + 2 * round, 12, false)])
            .await;
        match round {
            0 => relays[lease_holder].freeze_at_next_connection(steer.id()),
            _ => steer.pause(),
        }
        until(
            "another host acquires the lease",
            TAKEOVER_TIMEOUT,
            || async {
                let lease = operator.status().await.ok()?.lease?;
                (lease.holder != deployment.hosts[lease_holder].name).then_some(())
            },
        )
        .await;
        assert!(
            relays[lease_holder].has_frozen(),
            "the lease holder was suspended"
        );
        wait_for_orders(&deployment, orders + 2).await;
        steer.resume();
        tokio::time::sleep(RESUME_TIME).await;
    }
    until("engines have received orders", TAKEOVER_TIMEOUT, || async {
        let engines = engine_epochs(&deployment).await;
        engines
            .iter()
            .any(|epochs| !epochs.is_empty())
            .then_some(())
    })
    .await;
    until(
        "the platform receives no more orders",
        START_TIMEOUT,
        || async {
            let before = deployment.platform.endpoint_orders().await.len();
            tokio::time::sleep(Duration::from_millis(1500)).await;
            (deployment.platform.endpoint_orders().await.len() == before).then_some(())
        },
    )
    .await;
    check_orders(&deployment).await;
    let expected = 4 + 2 * (ROUNDS - 1);
    let machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
    assert_eq!(
        machines.len(),
        expected as usize,
        "exactly the expected endpoints"
    );
}

/// Checks the epochs of all effective orders, that the lease changed its holder, and that no order
/// had an effect twice.
async fn check_orders(deployment: &Deployment) {
    let effective = effective_orders(deployment).await;
    let epochs: Vec<u64> = effective
        .iter()
        .map(|received| received.order.epoch)
        .collect();
    assert_epochs_sorted(&epochs, "platform");
    assert!(
        epochs[epochs.len() - 1] > epochs[0],
        "the lease has changed its holder"
    );
    let mut ids: Vec<&str> = effective
        .iter()
        .map(|received| received.order.id.as_str())
        .collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), effective.len(), "no order had an effect twice");
    let engines = engine_epochs(deployment).await;
    assert!(
        engines.iter().any(|epochs| !epochs.is_empty()),
        "engines have received orders"
    );
    for epochs in engines {
        assert_epochs_sorted(&epochs, "engine");
    }
}
