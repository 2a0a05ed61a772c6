//! Guards against a configuration change that is committed twice: the platform commits it, its
//! response is lost, and the host or the operator retries.

use std::time::Duration;

use agate_proof::caller::MODEL;
use agate_proof::deployment::{Deployment, Options};
use agate_proof::resources;
use agate_proof::wait::until;
use agate_wire::change::Edit;
use agate_wire::fault::Faults;
use agate_wire::manifest::Manifest;

/// Number of changes that the test makes.
const CHANGES: usize = 8;

/// Timeout for one change to be accepted although responses get lost.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Faults that lose half of the responses after the effect.
fn half_lost() -> Faults {
    Faults {
        lose_answer_rate: 0.5,
        ..Faults::default()
    }
}

/// Returns the id of the pool that a change declares, which is also its idempotency key.
fn pool_id(number: usize) -> String {
    format!("lost-{number}")
}

#[actix_rt::test]
async fn change_is_committed_once_despite_lost_responses() {
    let deployment = Deployment::start(Options {
        hosts: 2,
        ..Options::default()
    })
    .await;
    deployment
        .platform
        .set_interface_faults("tables", &half_lost())
        .await;
    for number in 0..CHANGES {
        let change = [resources::pool(&pool_id(number), Some(MODEL))];
        let operator = deployment.operator(number % 2);
        until("change is accepted", CHANGE_TIMEOUT, || async {
            let response = operator.try_apply(&pool_id(number), &change).await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
    }
    deployment
        .platform
        .set_interface_faults("tables", &Faults::default())
        .await;
    let changes = deployment.operator(0).changes(0).await;
    assert!(
        !changes.reset,
        "the watch returns all changes since version 0"
    );
    for number in 0..CHANGES {
        let puts = changes
            .changes
            .iter()
            .flat_map(|change| &change.edits)
            .filter(|edit| {
                matches!(edit, Edit::Put { manifest: Manifest::Pool(pool) }
                    if pool.id == pool_id(number))
            });
        assert_eq!(
            puts.count(),
            1,
            "{} was declared exactly once",
            pool_id(number)
        );
    }
    let versions: Vec<u64> = changes
        .changes
        .iter()
        .map(|change| change.version)
        .collect();
    assert!(
        versions.windows(2).all(|pair| pair[1] == pair[0] + 1),
        "versions are consecutive: {versions:?}"
    );
}
