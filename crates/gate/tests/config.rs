//! Applying configuration and its evidence, usage counters, and failover between control processes.

mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_gate::config::Config;
use agate_gate::gate::Gate;
use agate_gate::sync::{Error, Steer, Syncer};
use agate_gate::usage::Ledger;
use agate_wire::permit::{Question, Reply};
use agate_wire::platform::Counters;
use agate_wire::sync::{Request, Response, Update};
use agate_wire::{change, sync};
use futures_util::future::LocalBoxFuture;
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};
use support::run;
use tokio::time::Instant;

/// Age of the evidence up to which configuration is current.
const LIMIT: Duration = Duration::from_millis(2500);
const SECOND: Duration = Duration::from_secs(1);

fn snapshot(version: u64) -> Option<Update> {
    Some(Update::Snapshot(change::Snapshot {
        version,
        resources: vec![],
    }))
}

fn changes(versions: &[u64]) -> Option<Update> {
    let change = |version: &u64| change::Change {
        version: *version,
        edits: vec![],
    };
    Some(Update::Changes(versions.iter().map(change).collect()))
}

fn response(version: u64, age_ms: Option<u64>, update: Option<Update>) -> Response {
    Response {
        version,
        proof_age_ms: age_ms,
        update,
        ..Response::default()
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn evidence_age_counts_from_before_the_call() {
    let sent = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(response(3, Some(500), snapshot(3)), sent)
        .expect("an update");
    assert_eq!(config.age(sent + millis(1000)), Some(millis(1500)));
    assert!(config.is_current(sent + millis(2000), LIMIT));
    assert!(!config.is_current(sent + millis(2001), LIMIT));
}

/// A control process that was paused passes on evidence from before the pause that the gate had not
/// fetched yet. Keys are accepted again until that evidence lapses, which is no longer than the limit
/// after it was true.
#[test]
fn evidence_fetched_after_a_lapse_is_dated_from_before_it() {
    let paused = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(response(3, Some(900), snapshot(3)), paused)
        .expect("an update");
    let resumed = paused + millis(1700);
    assert!(!config.is_current(resumed, LIMIT));
    // Between the last call of the gate and the pause, the control process read the store.
    config
        .apply(response(3, Some(1750), None), resumed)
        .expect("a response");
    let evidence = paused - millis(50);
    assert!(config.is_current(evidence + LIMIT, LIMIT));
    assert!(!config.is_current(evidence + LIMIT + millis(1), LIMIT));
}

#[test]
fn a_response_without_evidence_leaves_the_version_without_evidence() {
    let sent = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(response(3, None, snapshot(3)), sent)
        .expect("an update");
    assert_eq!((config.version(), config.age(sent)), (3, None));
}

#[test]
fn evidence_for_another_version_is_ignored() {
    let sent = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(response(3, Some(0), snapshot(3)), sent)
        .expect("an update");
    // One peer has an older version. The other has a newer one, but sends no update.
    for version in [2, 4] {
        let later = sent + 10 * SECOND;
        config
            .apply(response(version, Some(0), None), later)
            .expect("a response");
        assert!(!config.is_current(later, LIMIT));
    }
    // Configuration changes discard the evidence for the former version.
    config
        .apply(response(4, None, changes(&[4])), sent)
        .expect("an update");
    assert_eq!((config.version(), config.age(sent)), (4, None));
}

#[test]
fn version_never_goes_back_and_evidence_is_never_overstated() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let runner_config = RunnerConfig {
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let responses = prop::collection::vec((0..6u64, 0..3u8, prop::option::of(0..5000u64)), 0..30);
    TestRunner::new_with_rng(runner_config, rng)
        .run(&responses, |responses| {
            let start = Instant::now() + 60 * SECOND;
            let mut config = Config::default();
            let mut evidence: Vec<(u64, Instant)> = Vec::new();
            for (index, (version, kind, age)) in responses.into_iter().enumerate() {
                let sent = start + millis(index as u64 * 300);
                let before = config.version();
                let update = match kind {
                    0 => None,
                    1 => snapshot(version),
                    _ => changes(&[version]),
                };
                // Changes that leave a gap are refused and must not change the version.
                let applied = config.apply(response(version, age, update), sent);
                prop_assert!(config.version() >= before);
                if let (Ok(_), Some(age)) = (applied, age) {
                    evidence.push((version, sent - millis(age)));
                }
                let known = evidence
                    .iter()
                    .filter(|evidence| evidence.0 == config.version() && evidence.0 > 0);
                let latest = known.map(|evidence| evidence.1).max();
                let age = config.age(sent);
                prop_assert!(age.is_none_or(|age| latest.is_some_and(|at| sent - at <= age)));
            }
            Ok(())
        })
        .expect("property holds");
}

fn counters(requests: u64) -> Counters {
    Counters {
        requests,
        ..Counters::default()
    }
}

#[test]
fn counters_are_sent_until_their_latest_value_is_acknowledged() {
    let mut ledger = Ledger::default();
    ledger.add(60, "workshop", counters(1));
    let sent = ledger.changed();
    ledger.add(60, "workshop", counters(1));
    ledger.acknowledge(&sent);
    assert_eq!(ledger.changed()[0].figures.requests, 2);
    let sent = ledger.changed();
    ledger.acknowledge(&sent);
    assert!(ledger.is_settled());
    ledger.mark_all_changed();
    assert_eq!(ledger.changed(), sent);
}

#[test]
fn counters_of_old_windows_are_kept_until_acknowledged() {
    let mut ledger = Ledger::default();
    for window in 0..10 {
        ledger.add(window, "workshop", counters(1));
    }
    assert_eq!(ledger.changed().len(), 10);
    let sent = ledger.changed();
    ledger.acknowledge(&sent);
    ledger.mark_all_changed();
    assert!(ledger.changed().len() < 10);
    assert_eq!(ledger.changed().last().expect("a window").window, 9);
}

/// Fake control processes, identified by port, of which those with low ports are unreachable.
#[derive(Default)]
struct FakePeers {
    /// Highest port whose process is unreachable.
    unreachable_to: Cell<u16>,
    /// Requests that were received, with the port of the receiving process.
    calls: RefCell<Vec<(u16, sync::Request)>>,
}

impl Steer for FakePeers {
    fn sync(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> LocalBoxFuture<'_, Result<Response, Error>> {
        Box::pin(async move {
            if address.port() <= self.unreachable_to.get() {
                return Err(Error::Timeout);
            }
            self.calls.borrow_mut().push((address.port(), request));
            let mut response = response(1, Some(0), snapshot(1));
            response.peers = vec!["127.0.0.1:3".to_owned()];
            Ok(response)
        })
    }

    fn permits(&self, _: SocketAddr, _: Question) -> LocalBoxFuture<'_, Result<Reply, Error>> {
        Box::pin(async { Err(Error::Timeout) })
    }
}

#[test]
fn other_control_processes_are_called_when_the_first_is_unreachable() {
    run(async {
        let mut settings = support::settings();
        settings.steer = [1, 2]
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .to_vec();
        let gate = Gate::new(settings, None);
        let steer = Rc::new(FakePeers::default());
        let mut syncer = Syncer::new(gate.clone(), steer.clone());
        gate.usage.borrow_mut().add(60, "workshop", counters(1));
        for unreachable_to in 0..3 {
            steer.unreachable_to.set(unreachable_to);
            assert!(syncer.round().await);
        }
        // Each process receives the usage, although the first has acknowledged it.
        let calls: Vec<(u16, usize)> = steer
            .calls
            .borrow()
            .iter()
            .map(|(port, request)| (*port, request.usage.len()))
            .collect();
        assert_eq!(calls, [(1, 1), (2, 1), (3, 1)]);
        steer.unreachable_to.set(3);
        assert!(!syncer.round().await);
        assert_eq!(gate.config.borrow().version(), 1);
    });
}
