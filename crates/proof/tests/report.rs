//! Reports: one figure for each account and window, and nothing lost or doubled.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_fake::platform::reports::{Received, Verdict};
use agate_proof::caller::{chat, completion};
use agate_proof::deployment::{Deployment, IDLE, Options, QUICK};
use agate_proof::resources::ACCOUNT;
use agate_proof::wait::until;
use agate_wire::fault::Faults;

/// Time for usage to be reported, with a change of the holder.
const REPORTED: Duration = Duration::from_secs(40);

/// Answer tokens of each request.
const TOKENS: u32 = 3;

fn options() -> Options {
    let mut platform: Vec<String> = IDLE.map(str::to_owned).to_vec();
    platform.extend(["--list-lag", "300ms"].map(str::to_owned));
    Options {
        hosts: 3,
        engines: vec![["--step", "1ms"].map(str::to_owned).to_vec()],
        platform,
        window: Duration::from_secs(2),
        steer: QUICK.to_owned(),
        ..Options::default()
    }
}

/// Makes requests through all gates and answers how many were answered.
async fn work(deployment: &Deployment, key: &str, requests: usize) -> u64 {
    let mut answered = 0;
    for number in 0..requests {
        let gate = deployment.gate(number % deployment.hosts.len());
        let request = chat(
            gate,
            key,
            &completion(&format!("work {number}"), TOKENS, false),
        );
        let response = request.send().await.expect("gate answers");
        answered += u64::from(response.status == 200);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    answered
}

/// Requests in accepted reports; fails on a second figure for a window.
fn total(reports: &[Received]) -> u64 {
    let mut figures = BTreeMap::new();
    for received in reports {
        let report = &received.report;
        assert_eq!(report.account, ACCOUNT);
        assert_ne!(received.verdict, Verdict::Contradicted, "{report:?}");
        let known = figures.insert(report.window, report.figures);
        assert!(known.is_none_or(|it| it == report.figures), "{report:?}");
    }
    for figures in figures.values() {
        assert_eq!(figures.answer_tokens, figures.requests * u64::from(TOKENS));
    }
    figures.values().map(|it| it.requests).sum()
}

async fn reported(deployment: &Deployment, answered: u64) {
    until("all usage is reported", REPORTED, || async {
        let total = total(&deployment.platform.reports().await);
        assert!(total <= answered, "{total} of {answered} requests reported");
        (total == answered).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(total(&deployment.platform.reports().await), answered);
}

fn assert_rising(reports: &[Received]) {
    let epochs: Vec<u64> = reports.iter().map(|it| it.report.epoch).collect();
    assert!(epochs.is_sorted(), "{epochs:?}");
}

#[actix_rt::test]
async fn lost_answers_double_nothing() {
    let deployment = Deployment::start(options()).await;
    let key = deployment.key("usage").await;
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
    let answered = work(&deployment, &key, 90).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for interface in ["reports", "tables"] {
        deployment
            .platform
            .set_interface_faults(interface, &Faults::default())
            .await;
    }
    reported(&deployment, answered).await;
}

#[actix_rt::test]
async fn killed_holder_leaves_one_figure_for_each_window() {
    let mut deployment = Deployment::start(options()).await;
    let key = deployment.key("usage").await;
    let mut answered = work(&deployment, &key, 60).await;
    let holder = deployment.holder().await;
    deployment.hosts[holder].steer.kill();
    answered += work(&deployment, &key, 120).await;
    reported(&deployment, answered).await;
    assert_rising(&deployment.platform.reports().await);
}

#[actix_rt::test]
async fn paused_holder_reports_nothing_after_its_successor() {
    let deployment = Deployment::start(options()).await;
    let key = deployment.key("usage").await;
    let mut answered = work(&deployment, &key, 60).await;
    let holder = deployment.holder().await;
    deployment.hosts[holder].steer.pause();
    answered += work(&deployment, &key, 200).await;
    deployment.hosts[holder].steer.resume();
    answered += work(&deployment, &key, 60).await;
    reported(&deployment, answered).await;
    assert_rising(&deployment.platform.reports().await);
}

#[actix_rt::test]
async fn host_lost_during_a_store_outage_leaves_its_usage() {
    let mut deployment = Deployment::start(options()).await;
    let key = deployment.key("usage").await;
    let cut = Faults {
        cut: true,
        ..Faults::default()
    };
    deployment.platform.set_faults(&cut).await;
    let answered = work(&deployment, &key, 45).await;
    // Gates hand their usage over and control processes copy it to a peer.
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.hosts[2].gate.kill();
    deployment.hosts[2].steer.kill();
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.platform.set_faults(&Faults::default()).await;
    reported(&deployment, answered).await;
}

#[actix_rt::test]
async fn host_that_shuts_down_leaves_its_usage() {
    let mut deployment = Deployment::start(options()).await;
    let key = deployment.key("usage").await;
    let answered = work(&deployment, &key, 45).await;
    deployment.hosts[2].gate.terminate();
    deployment.hosts[2].steer.terminate();
    let host = &mut deployment.hosts[2];
    for program in [&mut host.gate, &mut host.steer] {
        let status = program.ended(REPORTED).await;
        assert!(status.success(), "{status}");
    }
    reported(&deployment, answered).await;
}
