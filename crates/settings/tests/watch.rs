//! Detection of changes in a settings file.

use std::time::Duration;

use agate_settings::watch::Watch;
use tokio::time::timeout;

/// Time within which operators expect a change to be in force.
const LIMIT: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_change_is_reported_once_within_two_seconds() {
    let path = std::env::temp_dir().join(format!("agate-watch-{}.yaml", std::process::id()));
    std::fs::write(&path, "log: info").expect("a file is written");
    let mut watch = Watch::new(&path);
    assert!(timeout(LIMIT, watch.changed()).await.is_err(), "unchanged");
    std::fs::write(&path, "log: debug").expect("a file is written");
    assert!(timeout(LIMIT, watch.changed()).await.is_ok(), "changed");
    assert!(
        timeout(LIMIT, watch.changed()).await.is_err(),
        "reported twice"
    );
    std::fs::remove_file(&path).expect("a file is removed");
    assert!(timeout(LIMIT, watch.changed()).await.is_err(), "missing");
    std::fs::write(&path, "log: debug").expect("a file is written");
    assert!(
        timeout(LIMIT, watch.changed()).await.is_err(),
        "restored with the same contents"
    );
}
