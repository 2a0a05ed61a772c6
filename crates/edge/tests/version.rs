//! Writes of the configuration that bring no newer version.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, KEY, Server, Step, request, status};
use tokio::time::sleep;

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
/// Longer than the evidence that a configuration is the newest may be old.
const EVIDENCE_TIME: Duration = Duration::from_millis(6_500);

// Guards against: an operator who repeats a write whose acknowledgement was lost ends all service of requests with
// a key, until another version comes (review/2).
#[rstest]
#[case::same(&["7"])]
#[case::same_twice(&["7", "7"])]
#[case::older(&["6"])]
#[case::older_and_same(&["6", "7"])]
#[actix_rt::test]
async fn a_version_that_is_written_again_is_still_served(#[case] writes: &[&str]) {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let first = Harness::start(&[&server]).await;
    let hosts = [first.start_peer("two").await, first];
    let store = &hosts[0].store;
    for version in ["7"].iter().chain(writes) {
        let value = format!("{version} {KEY}");
        store.put("settings", "config", Some(&value));
        sleep(Duration::from_millis(300)).await;
    }
    sleep(EVIDENCE_TIME).await;
    for host in &hosts {
        let response = host.call(&request("read", "r1", "")).await;
        assert_eq!(status(&response), "200", "{response}");
        let version = host.program.edge().config().map(|config| config.version);
        assert_eq!(version, Some(7));
    }
}

// Guards against: a version that follows the repeated one is not put in force, or not by all hosts.
#[actix_rt::test]
async fn a_version_after_a_repeated_one_comes_into_force_on_all_hosts() {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let first = Harness::start(&[&server]).await;
    let hosts = [first.start_peer("two").await, first];
    let store = &hosts[0].store;
    for version in ["7", "7", "9"] {
        let value = format!("{version} {KEY} other");
        store.put("settings", "config", Some(&value));
        sleep(Duration::from_millis(300)).await;
    }
    sleep(Duration::from_millis(1_700)).await;
    for host in &hosts {
        let version = host.program.edge().config().map(|config| config.version);
        assert_eq!(version, Some(9));
        assert_eq!(
            host.program.edge().config_revision.get(),
            hosts[0].program.edge().config_revision.get()
        );
    }
}
