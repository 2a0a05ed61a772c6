//! Configuration and its proof, usage counters, and the choice of a control process.

mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_gate::config::Config;
use agate_gate::gate::Gate;
use agate_gate::sync::{Error, Steer, Syncer};
use agate_gate::usage::Ledger;
use agate_wire::platform::Figures;
use agate_wire::sync::{Request, Response, Update};
use agate_wire::{change, sync};
use futures_util::future::LocalBoxFuture;
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner};
use support::run;
use tokio::time::Instant;

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

fn answer(version: u64, age_ms: Option<u64>, update: Option<Update>) -> Response {
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
fn the_age_of_a_proof_counts_from_before_the_call() {
    let sent = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(answer(3, Some(500), snapshot(3)), sent)
        .expect("an update");
    assert_eq!(config.age(sent + millis(1000)), Some(millis(1500)));
    assert!(config.is_current(sent + millis(2000), LIMIT));
    assert!(!config.is_current(sent + millis(2001), LIMIT));
}

#[test]
fn an_answer_without_proof_proves_nothing() {
    let sent = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(answer(3, None, snapshot(3)), sent)
        .expect("an update");
    assert_eq!((config.version(), config.age(sent)), (3, None));
}

#[test]
fn a_proof_of_another_version_proves_nothing() {
    let sent = Instant::now() + 60 * SECOND;
    let mut config = Config::default();
    config
        .apply(answer(3, Some(0), snapshot(3)), sent)
        .expect("an update");
    // A peer that is behind, and one that is ahead but sends no update.
    for version in [2, 4] {
        let later = sent + 10 * SECOND;
        config
            .apply(answer(version, Some(0), None), later)
            .expect("an answer");
        assert!(!config.is_current(later, LIMIT));
    }
    // Configuration changes take the proof of the former version away.
    config
        .apply(answer(4, None, changes(&[4])), sent)
        .expect("an update");
    assert_eq!((config.version(), config.age(sent)), (4, None));
}

#[test]
fn the_version_never_goes_back() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let runs = Runs {
        failure_persistence: None,
        ..Runs::default()
    };
    let answers = prop::collection::vec((0..6u64, 0..3u8, prop::option::of(0..5000u64)), 0..30);
    TestRunner::new_with_rng(runs, rng)
        .run(&answers, |answers| {
            let start = Instant::now() + 60 * SECOND;
            let mut config = Config::default();
            let mut proofs: Vec<(u64, Instant)> = Vec::new();
            for (at, (version, kind, age)) in answers.into_iter().enumerate() {
                let sent = start + millis(at as u64 * 300);
                let before = config.version();
                let update = match kind {
                    0 => None,
                    1 => snapshot(version),
                    _ => changes(&[version]),
                };
                // A gap is refused and changes nothing.
                let applied = config.apply(answer(version, age, update), sent);
                prop_assert!(config.version() >= before);
                if let (Ok(_), Some(age)) = (applied, age) {
                    proofs.push((version, sent - millis(age)));
                }
                let known = proofs
                    .iter()
                    .filter(|it| it.0 == config.version() && it.0 > 0);
                let oldest = known.map(|it| it.1).max();
                let age = config.age(sent);
                prop_assert!(age.is_none_or(|age| oldest.is_some_and(|at| sent - at <= age)));
            }
            Ok(())
        })
        .expect("property holds");
}

fn figures(requests: u64) -> Figures {
    Figures {
        requests,
        ..Figures::default()
    }
}

#[test]
fn totals_are_due_until_they_are_acknowledged_unchanged() {
    let mut ledger = Ledger::default();
    ledger.add(60, "workshop", figures(1));
    let sent = ledger.changed();
    ledger.add(60, "workshop", figures(1));
    ledger.acknowledge(&sent);
    assert_eq!(ledger.changed()[0].figures.requests, 2);
    let sent = ledger.changed();
    ledger.acknowledge(&sent);
    assert!(ledger.is_settled());
    ledger.mark_all_changed();
    assert_eq!(ledger.changed(), sent);
}

#[test]
fn windows_are_kept_until_acknowledged() {
    let mut ledger = Ledger::default();
    for window in 0..10 {
        ledger.add(window, "workshop", figures(1));
    }
    assert_eq!(ledger.changed().len(), 10);
    let sent = ledger.changed();
    ledger.acknowledge(&sent);
    ledger.mark_all_changed();
    assert!(ledger.changed().len() < 10);
    assert_eq!(ledger.changed().last().expect("a window").window, 9);
}

/// Control processes by address, some of them down.
#[derive(Default)]
struct Several {
    down: Cell<u16>,
    calls: RefCell<Vec<(u16, sync::Request)>>,
}

impl Steer for Several {
    fn sync(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> LocalBoxFuture<'_, Result<Response, Error>> {
        Box::pin(async move {
            if address.port() <= self.down.get() {
                return Err(Error::Timeout);
            }
            self.calls.borrow_mut().push((address.port(), request));
            let mut response = answer(1, Some(0), snapshot(1));
            response.peers = vec!["127.0.0.1:3".to_owned()];
            Ok(response)
        })
    }
}

#[test]
fn peers_are_called_when_the_own_control_process_is_out() {
    run(async {
        let mut settings = support::settings();
        settings.steer = [1, 2]
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .to_vec();
        let gate = Gate::new(settings, None);
        let steer = Rc::new(Several::default());
        let mut syncer = Syncer::new(gate.clone(), steer.clone());
        gate.usage.borrow_mut().add(60, "workshop", figures(1));
        for down in 0..3 {
            steer.down.set(down);
            assert!(syncer.round().await);
        }
        // Another process has not seen the usage that the first acknowledged.
        let calls: Vec<(u16, usize)> = steer
            .calls
            .borrow()
            .iter()
            .map(|(port, request)| (*port, request.usage.len()))
            .collect();
        assert_eq!(calls, [(1, 1), (2, 1), (3, 1)]);
        steer.down.set(3);
        assert!(!syncer.round().await);
        assert_eq!(gate.config.borrow().version(), 1);
    });
}
