//! Guards against usage that is lost, counted twice or reported with two totals for one account
//! and window: responses get lost, the lease holder is killed or suspended, and hosts fail or shut
//! down.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_fake::platform::reports::{Received, Verdict};
use agate_proof::caller::{chat, completion};
use agate_proof::deployment::{Deployment, IDLE_ARGS, Options, SHORT_INTERVALS};
use agate_proof::resources::ACCOUNT;
use agate_proof::wait::until;
use agate_wire::fault::Faults;

/// Timeout for all usage to be reported; covers a change of the lease holder.
const REPORT_TIMEOUT: Duration = Duration::from_secs(40);

/// Timeout for the usage of a failed host to be reported; its peer waits until nothing has been
/// received from it for 30 s.
const FAILED_HOST_TIMEOUT: Duration = Duration::from_secs(90);

/// Response tokens of each request.
const RESPONSE_TOKENS: u32 = 3;

fn options() -> Options {
    let mut platform_args: Vec<String> = IDLE_ARGS.map(str::to_owned).to_vec();
    platform_args.extend(["--list-lag", "300ms"].map(str::to_owned));
    Options {
        hosts: 3,
        engine_args: vec![["--step", "1ms"].map(str::to_owned).to_vec()],
        platform_args,
        window: Duration::from_secs(2),
        steer_settings: SHORT_INTERVALS.to_owned(),
        ..Options::default()
    }
}

/// Sends requests through all gates in turn and returns how many succeeded.
async fn send_requests(deployment: &Deployment, key: &str, requests: usize) -> u64 {
    let mut succeeded = 0;
    for number in 0..requests {
        let gate = deployment.gate(number % deployment.hosts.len());
        let request = chat(
            gate,
            key,
            &completion(&format!("work {number}"), RESPONSE_TOKENS, false),
        );
        let response = request.send().await.expect("gate responds");
        succeeded += u64::from(response.status == 200);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    succeeded
}

/// Returns the number of requests in all reports, counting each window once.
///
/// Panics if two reports of a window differ, the platform found a contradiction, or the response
/// tokens don't match the requests.
fn reported_requests(reports: &[Received]) -> u64 {
    let mut windows = BTreeMap::new();
    for received in reports {
        let report = &received.report;
        assert_eq!(report.account, ACCOUNT);
        assert_ne!(received.verdict, Verdict::Contradicted, "{report:?}");
        let previous = windows.insert(report.window, report.figures);
        assert!(
            previous.is_none_or(|usage| usage == report.figures),
            "{report:?}"
        );
    }
    for usage in windows.values() {
        assert_eq!(
            usage.answer_tokens,
            usage.requests * u64::from(RESPONSE_TOKENS)
        );
    }
    windows.values().map(|usage| usage.requests).sum()
}

/// Waits until the reports count exactly `expected` requests, and checks that they still do 3 s
/// later.
async fn wait_until_reported(deployment: &Deployment, expected: u64, timeout: Duration) {
    until("all usage is reported", timeout, || async {
        let total = reported_requests(&deployment.platform.reports().await);
        assert!(
            total <= expected,
            "{total} requests reported, expected at most {expected}"
        );
        (total == expected).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        reported_requests(&deployment.platform.reports().await),
        expected
    );
}

/// Checks that no report has a lower epoch than an earlier one.
fn assert_epochs_sorted(reports: &[Received]) {
    let epochs: Vec<u64> = reports
        .iter()
        .map(|received| received.report.epoch)
        .collect();
    assert!(epochs.is_sorted(), "{epochs:?}");
}

#[actix_rt::test]
async fn usage_is_counted_once_despite_lost_responses() {
    let deployment = Deployment::start(options()).await;
    let key = deployment.grant_key("usage").await;
    let half_lost = Faults {
        lose_answer_rate: 0.5,
        ..Faults::default()
    };
    deployment
        .platform
        .set_interface_faults("reports", &half_lost)
        .await;
    deployment
        .platform
        .set_interface_faults("tables", &half_lost)
        .await;
    let succeeded = send_requests(&deployment, &key, 90).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for interface in ["reports", "tables"] {
        deployment
            .platform
            .set_interface_faults(interface, &Faults::default())
            .await;
    }
    wait_until_reported(&deployment, succeeded, REPORT_TIMEOUT).await;
}

#[actix_rt::test]
async fn killed_lease_holder_leaves_one_total_for_each_window() {
    let mut deployment = Deployment::start(options()).await;
    let key = deployment.grant_key("usage").await;
    let mut succeeded = send_requests(&deployment, &key, 60).await;
    let lease_holder = deployment.lease_holder().await;
    deployment.hosts[lease_holder].steer.kill();
    succeeded += send_requests(&deployment, &key, 60).await;
    wait_until_reported(&deployment, succeeded, REPORT_TIMEOUT).await;
    assert_epochs_sorted(&deployment.platform.reports().await);
}

#[actix_rt::test]
async fn suspended_lease_holder_reports_nothing_after_its_successor() {
    let deployment = Deployment::start(options()).await;
    let key = deployment.grant_key("usage").await;
    let mut succeeded = send_requests(&deployment, &key, 60).await;
    let lease_holder = deployment.lease_holder().await;
    deployment.hosts[lease_holder].steer.pause();
    succeeded += send_requests(&deployment, &key, 30).await;
    let operator = deployment.operator((lease_holder + 1) % 3);
    until(
        "another host acquires the lease",
        REPORT_TIMEOUT,
        || async {
            let lease = operator.status().await.ok()?.lease?;
            (lease.holder != deployment.hosts[lease_holder].name).then_some(())
        },
    )
    .await;
    succeeded += send_requests(&deployment, &key, 60).await;
    deployment.hosts[lease_holder].steer.resume();
    succeeded += send_requests(&deployment, &key, 30).await;
    wait_until_reported(&deployment, succeeded, REPORT_TIMEOUT).await;
    assert_epochs_sorted(&deployment.platform.reports().await);
}

#[actix_rt::test]
async fn usage_of_a_host_killed_during_a_store_outage_is_reported() {
    let mut deployment = Deployment::start(options()).await;
    let key = deployment.grant_key("usage").await;
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    deployment.platform.set_faults(&cut).await;
    let succeeded = send_requests(&deployment, &key, 45).await;
    // Gives gates time to send their usage to the control processes, and these time to copy it to
    // a peer.
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.hosts[2].gate.kill();
    deployment.hosts[2].steer.kill();
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.platform.set_faults(&Faults::default()).await;
    wait_until_reported(&deployment, succeeded, FAILED_HOST_TIMEOUT).await;
}

#[actix_rt::test]
async fn usage_of_a_host_that_shuts_down_is_reported() {
    let mut deployment = Deployment::start(options()).await;
    let key = deployment.grant_key("usage").await;
    let succeeded = send_requests(&deployment, &key, 45).await;
    deployment.hosts[2].gate.terminate();
    deployment.hosts[2].steer.terminate();
    let host = &mut deployment.hosts[2];
    for program in [&mut host.gate, &mut host.steer] {
        let status = program.exit_status(REPORT_TIMEOUT).await;
        assert!(status.success(), "process exits successfully, {status}");
    }
    wait_until_reported(&deployment, succeeded, REPORT_TIMEOUT).await;
}
