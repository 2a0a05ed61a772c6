//! Answers of the platform that are lost after the effect double nothing.

use std::time::Duration;

use agate_proof::caller::MODEL;
use agate_proof::deployment::{Deployment, Options};
use agate_proof::resources;
use agate_proof::wait::until;
use agate_wire::change::Edit;
use agate_wire::fault::Faults;
use agate_wire::manifest::Manifest;

/// Changes that the test makes.
const CHANGES: usize = 8;

/// Time for one change in spite of lost answers.
const PATIENCE: Duration = Duration::from_secs(30);

fn half_lost() -> Faults {
    Faults {
        lose_answer_rate: 0.5,
        ..Faults::default()
    }
}

fn name(number: usize) -> String {
    format!("lost-{number}")
}

#[actix_rt::test]
async fn a_change_is_made_once() {
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
        let change = [resources::pool(&name(number), Some(MODEL))];
        let operator = deployment.operator(number % 2);
        until("change is accepted", PATIENCE, || async {
            let response = operator.try_apply(&name(number), &change).await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
    }
    deployment
        .platform
        .set_interface_faults("tables", &Faults::default())
        .await;
    let changes = deployment.operator(0).changes(0).await;
    assert!(!changes.reset, "the watch has all changes");
    for number in 0..CHANGES {
        let puts = changes.changes.iter().flat_map(|it| &it.edits).filter(|it| {
            matches!(it, Edit::Put { manifest: Manifest::Pool(pool) } if pool.id == name(number))
        });
        assert_eq!(puts.count(), 1, "{} was changed once", name(number));
    }
    let versions: Vec<u64> = changes.changes.iter().map(|it| it.version).collect();
    assert!(
        versions.windows(2).all(|it| it[1] == it[0] + 1),
        "{versions:?}"
    );
}
