//! Each check finds the ledger of a system that breaks its promise, and no other check does.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_soak::check::{CHECKS, Promise, Terms, findings};
use agate_soak::ledger::{Asked, Call, Change, Disturbance, End, Ledger, Ran, Repeat, Use};
use rstest::rstest;

const TERMS: Terms = Terms {
    withdraw: Duration::from_secs(4),
    apply: Duration::from_secs(2),
    contact: Duration::from_secs(3),
    lease: Duration::from_secs(3),
    repeat_ratio: 0.2,
    repeat_extra: 2.0,
    repeat_window: Duration::from_secs(10),
    descriptors: 100,
    memory: 64,
};

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time)
}

fn whole(status: u16, signed: bool) -> End {
    End::Whole {
        status,
        signed,
        right: true,
    }
}

fn asked(id: &str, sent: f64, end: End) -> Asked {
    Asked {
        id: id.to_owned(),
        host: 0,
        boot: 1,
        repeat: Repeat::Forbidden,
        key: "key".to_owned(),
        route: "book".to_owned(),
        sent: seconds(sent),
        ended: seconds(sent + 0.1),
        end,
    }
}

fn ran(id: &str, at: f64) -> Ran {
    Ran {
        id: id.to_owned(),
        endpoint: "e".to_owned(),
        account: Some("night".to_owned()),
        saw_key: false,
        at: seconds(at),
    }
}

fn change(at: f64, keys: &[&str], routes: &[&str]) -> Change {
    let account = |key: &&str| ((*key).to_owned(), "night".to_owned());
    Change {
        at: seconds(at),
        keys: keys.iter().map(account).collect(),
        routes: routes.iter().map(|it| (*it).to_owned()).collect(),
    }
}

fn call(at: f64, holder: &str, epoch: u64, report: Option<(u64, u64)>) -> Call {
    let counts = |count| BTreeMap::from([("night".to_owned(), count)]);
    Call {
        at: seconds(at),
        holder: holder.to_owned(),
        epoch,
        report: report.map(|(window, count)| (window, counts(count))),
    }
}

/// A run in which everything went well.
fn sound() -> Ledger {
    Ledger {
        asked: vec![
            asked("r1", 1.0, whole(200, true)),
            asked("r2", 30.0, whole(503, false)),
        ],
        ran: vec![ran("r1", 1.05)],
        changes: vec![change(0.0, &["key"], &["book"])],
        calls: vec![
            call(1.0, "one", 1, Some((1, 5))),
            call(9.0, "two", 2, Some((1, 5))),
        ],
        recovered: vec![(10, 10)],
        usage: vec![Use {
            descriptors: 40,
            memory: 8,
        }],
        ..Ledger::default()
    }
}

#[test]
fn a_sound_run_has_no_findings() {
    assert_eq!(findings(&sound(), &TERMS), []);
}

/// What a system that breaks a promise leaves behind.
fn broken(promise: Promise) -> Ledger {
    let mut ledger = sound();
    match promise {
        Promise::AtMostOnce => ledger.ran.push(ran("r1", 1.07)),
        Promise::NotRun => ledger.ran.push(ran("r2", 30.05)),
        Promise::WholeAnswer => {
            ledger.asked[0].end = End::Whole {
                status: 200,
                signed: true,
                right: false,
            };
        }
        Promise::Account => ledger.ran[0].account = Some("day".to_owned()),
        Promise::KeyHidden => ledger.ran[0].saw_key = true,
        Promise::Withdrawal => {
            ledger.changes.push(change(10.0, &[], &["book"]));
            ledger.asked.push(asked("r3", 14.5, whole(200, true)));
            ledger.ran.push(ran("r3", 14.55));
        }
        Promise::Denial => ledger.asked.push(asked("r3", 0.5, whole(401, false))),
        Promise::InForce => {
            ledger
                .changes
                .push(change(10.0, &["key"], &["book", "new"]));
            let mut late = asked("r3", 12.5, whole(404, false));
            late.route = "new".to_owned();
            ledger.asked.push(late);
        }
        Promise::NeverBack => {
            ledger
                .changes
                .push(change(10.0, &["key"], &["book", "new"]));
            let served = asked("r3", 10.5, whole(200, true));
            let denied = asked("r4", 11.0, whole(404, false));
            for mut it in [served, denied] {
                it.route = "new".to_owned();
                ledger.asked.push(it);
            }
            ledger.ran.push(ran("r3", 10.55));
        }
        Promise::OneHolder => ledger.calls.push(call(9.5, "one", 1, None)),
        Promise::OneFigure => ledger.calls[1] = call(9.0, "two", 2, Some((1, 6))),
        Promise::PlannedStop => {
            ledger.disturbances.push(Disturbance {
                host: Some(0),
                from: seconds(39.0),
                until: seconds(47.0),
                planned: true,
            });
            ledger
                .asked
                .push(asked("r3", 40.0, End::Broken { begun: false }));
            ledger.ran.push(ran("r3", 40.05));
        }
        Promise::RetryBudget => {
            ledger.asked[0].repeat = Repeat::Allowed;
            for n in 0..4 {
                ledger.ran.push(ran("r1", 1.06 + f64::from(n) / 100.0));
            }
        }
        Promise::Recovery => ledger.recovered[0] = (9, 10),
        Promise::Rest => ledger.usage[0].descriptors = 400,
    }
    ledger
}

#[rstest]
fn each_check_finds_what_breaks_its_promise_alone(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14)] n: usize,
) {
    let (promise, _) = CHECKS[n];
    let found = findings(&broken(promise), &TERMS);
    assert!(!found.is_empty(), "{promise:?} is not found");
    assert!(found.iter().all(|it| it.promise == promise), "{found:?}");
}

/// A host that is cut off may not know what is new.
#[test]
fn a_disturbed_host_may_be_behind() {
    let mut ledger = broken(Promise::InForce);
    ledger.disturbances.push(Disturbance {
        host: Some(0),
        from: seconds(9.0),
        until: seconds(11.0),
        planned: false,
    });
    assert_eq!(findings(&ledger, &TERMS), []);
}
