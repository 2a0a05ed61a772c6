//! Settings files that change without a signal.

use std::time::Duration;

use agate_settings::watch::Watch;
use tokio::time::timeout;

const BOUND: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_changed_file_is_noticed_once_within_two_seconds() {
    let path = std::env::temp_dir().join(format!("agate-watch-{}.yaml", std::process::id()));
    std::fs::write(&path, "log: info").expect("a file is written");
    let mut watch = Watch::new(&path);
    assert!(timeout(BOUND, watch.changed()).await.is_err(), "unchanged");
    std::fs::write(&path, "log: debug").expect("a file is written");
    assert!(timeout(BOUND, watch.changed()).await.is_ok(), "changed");
    assert!(
        timeout(BOUND, watch.changed()).await.is_err(),
        "noticed before"
    );
    std::fs::remove_file(&path).expect("a file is removed");
    assert!(timeout(BOUND, watch.changed()).await.is_err(), "missing");
    std::fs::write(&path, "log: debug").expect("a file is written");
    assert!(
        timeout(BOUND, watch.changed()).await.is_err(),
        "back as it was"
    );
}
