//! Each check finds the violation of its promise, and no other check reports that ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_soak::check::{Bounds, CHECKS, Promise, findings};
use agate_soak::ledger::{
    Arrival, Ask, Asked, Call, Cause, Change, Departure, Disturbance, End, Leaving, Ledger, Notice,
    Ran, Retry, Use,
};
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    withdraw: Duration::from_secs(4),
    drain: Duration::from_secs(2),
    apply: Duration::from_secs(2),
    settle: Duration::from_secs(3),
    limit: Duration::from_millis(2_500),
    lease: Duration::from_secs(3),
    retry_ratio: 0.2,
    retry_extra: 2.0,
    retry_window: Duration::from_secs(10),
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

fn request(id: &str, sent: f64, end: End) -> Asked {
    Asked {
        id: id.to_owned(),
        host: 0,
        boot: 1,
        repeat: Retry::Forbidden,
        key: Some("key".to_owned()),
        route: "book".to_owned(),
        sent: seconds(sent),
        ended: seconds(sent + 0.1),
        end,
    }
}

fn execution(id: &str, at: f64) -> Ran {
    Ran {
        id: id.to_owned(),
        endpoint: "e".to_owned(),
        account: Some("night".to_owned()),
        saw_key: false,
        at: seconds(at),
    }
}

fn arrival(id: &str, at: f64) -> Arrival {
    Arrival {
        id: id.to_owned(),
        endpoint: "e".to_owned(),
        at: seconds(at),
    }
}

fn notice(id: &str, at: f64, ask: Ask) -> Notice {
    Notice {
        id: id.to_owned(),
        endpoint: "e".to_owned(),
        at: seconds(at),
        ask,
    }
}

fn change(at: f64, keys: &[&str], routes: &[&str]) -> Change {
    let account = |key: &&str| ((*key).to_owned(), "night".to_owned());
    Change {
        at: seconds(at),
        keys: keys.iter().map(account).collect(),
        routes: routes.iter().map(|route| (*route).to_owned()).collect(),
        open: Vec::new(),
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

/// Returns a ledger in which every promise holds.
fn sound_ledger() -> Ledger {
    Ledger {
        requests: vec![
            request("r1", 1.0, whole(200, true)),
            request("r2", 30.0, whole(503, false)),
        ],
        executions: vec![execution("r1", 1.05)],
        changes: vec![change(0.0, &["key"], &["book"])],
        calls: vec![
            call(1.0, "one", 1, Some((1, 5))),
            call(9.0, "two", 2, Some((1, 5))),
        ],
        probes: vec![(10, 10)],
        usage: vec![Use {
            descriptors: 40,
            memory: 8,
        }],
        ..Ledger::default()
    }
}

#[test]
fn a_ledger_without_violations_has_no_findings() {
    assert_eq!(findings(&sound_ledger(), &BOUNDS), []);
}

/// Returns a ledger in which exactly one promise is broken.
fn broken_ledger(promise: Promise) -> Ledger {
    let mut ledger = sound_ledger();
    match promise {
        Promise::AtMostOnce => ledger.executions.push(execution("r1", 1.07)),
        Promise::NotRun => ledger.executions.push(execution("r2", 30.05)),
        Promise::WholeAnswer => {
            ledger.requests[0].end = End::Whole {
                status: 200,
                signed: true,
                right: false,
            };
        }
        Promise::Account => ledger.executions[0].account = Some("day".to_owned()),
        Promise::KeyHidden => ledger.executions[0].saw_key = true,
        Promise::Withdrawal => {
            ledger.changes.push(change(10.0, &[], &["book"]));
            ledger.requests.push(request("r3", 14.5, whole(200, true)));
            ledger.executions.push(execution("r3", 14.55));
        }
        Promise::Denial => ledger.requests.push(request("r3", 0.5, whole(401, false))),
        Promise::InForce => {
            ledger
                .changes
                .push(change(10.0, &["key"], &["book", "new"]));
            let mut late = request("r3", 12.5, whole(404, false));
            late.route = "new".to_owned();
            ledger.requests.push(late);
        }
        Promise::NeverBack => {
            ledger
                .changes
                .push(change(10.0, &["key"], &["book", "new"]));
            let served = request("r3", 10.5, whole(200, true));
            let denied = request("r4", 11.0, whole(404, false));
            for mut request in [served, denied] {
                request.route = "new".to_owned();
                ledger.requests.push(request);
            }
            ledger.executions.push(execution("r3", 10.55));
        }
        Promise::OneHolder => ledger.calls.push(call(9.5, "one", 1, None)),
        Promise::OneFigure => ledger.calls[1] = call(9.0, "two", 2, Some((1, 6))),
        Promise::PlannedStop => {
            ledger.disturbances.push(Disturbance {
                host: Some(0),
                from: seconds(39.0),
                until: seconds(47.0),
                cause: Cause::Stop,
            });
            ledger
                .requests
                .push(request("r3", 40.0, End::Broken { begun: false }));
            ledger.executions.push(execution("r3", 40.05));
        }
        Promise::Answered => {
            for (cause, host) in [(Cause::Stop, Some(0)), (Cause::Store, None)] {
                ledger.disturbances.push(Disturbance {
                    host,
                    from: seconds(39.0),
                    until: seconds(47.0),
                    cause,
                });
            }
            ledger
                .requests
                .push(request("r3", 40.0, End::Broken { begun: false }));
            ledger.arrivals.push(arrival("r3", 40.05));
        }
        Promise::RetryBudget => {
            ledger.requests[0].repeat = Retry::Allowed;
            for n in 0..4 {
                ledger
                    .executions
                    .push(execution("r1", 1.06 + f64::from(n) / 100.0));
            }
        }
        Promise::Leaving => {
            ledger.notices.push(notice("r1", 1.05, Ask::Leave));
            ledger.requests.push(request("r3", 3.2, whole(200, true)));
            ledger.arrivals.push(arrival("r3", 3.25));
        }
        Promise::Pause => {
            ledger
                .notices
                .push(notice("r1", 1.05, Ask::Pause(seconds(2.0))));
            for (n, at) in [(3, 1.6), (4, 2.0), (5, 3.0)] {
                let id = format!("r{n}");
                ledger.requests.push(request(&id, at, whole(200, true)));
                ledger.arrivals.push(arrival(&id, at));
            }
        }
        Promise::Drain => {
            ledger.leavings.push(Leaving {
                endpoint: "e".to_owned(),
                at: seconds(10.0),
            });
            ledger.requests.push(request("r3", 12.1, whole(200, true)));
            ledger.arrivals.push(arrival("r3", 12.15));
        }
        Promise::Limit => {
            for n in 0..60 {
                let (id, at) = (format!("l{n}"), 20.0 + f64::from(n) / 6.0);
                ledger.requests.push(request(&id, at, whole(200, true)));
                ledger.arrivals.push(arrival(&id, at));
                ledger.notices.push(notice(&id, at, Ask::Limit(10)));
            }
        }
        Promise::Recovery => ledger.probes[0] = (9, 10),
        Promise::Rest => ledger.usage[0].descriptors = 400,
    }
    ledger
}

#[rstest]
fn each_check_alone_reports_the_violation_of_its_promise(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19)] n: usize,
) {
    let (promise, _) = CHECKS[n];
    let found = findings(&broken_ledger(promise), &BOUNDS);
    assert!(
        !found.is_empty(),
        "no check reports that {promise:?} is broken"
    );
    assert!(
        found.iter().all(|finding| finding.promise == promise),
        "{found:?}"
    );
}

/// Requests that were under way, those after the pause, and those of a process that was started since.
#[test]
fn requests_that_a_notice_does_not_forbid_are_no_findings() {
    let mut ledger = sound_ledger();
    ledger
        .notices
        .push(notice("r1", 1.05, Ask::Pause(seconds(2.0))));
    ledger.notices.push(notice("r1", 1.05, Ask::Leave));
    for (n, at, boot) in [
        (3, 1.2, 1),
        (4, 1.5, 1),
        (5, 2.0, 1),
        (6, 2.5, 1),
        (7, 5.0, 2),
    ] {
        let id = format!("r{n}");
        let mut sent = request(&id, at, whole(200, true));
        sent.boot = boot;
        ledger.requests.push(sent);
        ledger.arrivals.push(arrival(&id, at));
    }
    assert_eq!(findings(&ledger, &BOUNDS), []);
}

/// A host that a fault cuts off from the store may serve an older configuration, so this is not
/// a finding.
#[test]
fn a_disturbed_host_may_serve_an_older_configuration() {
    let mut ledger = broken_ledger(Promise::InForce);
    ledger.disturbances.push(Disturbance {
        host: Some(0),
        from: seconds(9.0),
        until: seconds(11.0),
        cause: Cause::Store,
    });
    assert_eq!(findings(&ledger, &BOUNDS), []);
}

#[rstest]
#[case::nothing_disturbs(None, 40.0, End::Silence)]
#[case::a_store_that_fails(Some(Cause::Store), 40.0, End::Broken { begun: true })]
#[case::a_stop(Some(Cause::Stop), 40.0, End::Silence)]
fn a_request_at_an_endpoint_without_a_response_is_a_finding(
    #[case] cause: Option<Cause>,
    #[case] sent: f64,
    #[case] end: End,
) {
    let ledger = unanswered_ledger(cause, sent, end);
    let found = findings(&ledger, &BOUNDS);
    let promises: Vec<Promise> = found.iter().map(|finding| finding.promise).collect();
    assert_eq!(promises, [Promise::Answered], "{found:?}");
}

#[rstest]
#[case::another_fault(Some(Cause::Other), 40.0, End::Silence)]
#[case::another_fault_that_just_ended(Some(Cause::Other), 49.9, End::Broken { begun: false })]
#[case::the_caller_left(None, 40.0, End::Left)]
fn a_request_that_other_faults_excuse_is_no_finding(
    #[case] cause: Option<Cause>,
    #[case] sent: f64,
    #[case] end: End,
) {
    assert_eq!(findings(&unanswered_ledger(cause, sent, end), &BOUNDS), []);
}

/// A response may be cut at the time limit, and the run's own stall is no fault of a host.
#[test]
fn a_response_that_is_cut_at_the_time_limit_or_in_a_stall_is_no_finding() {
    let broken = unanswered_ledger(None, 40.0, End::Broken { begun: true });
    for (ended, count) in [(42.4, 1), (42.6, 0)] {
        let mut limited = broken.clone();
        limited.requests[2].ended = seconds(ended);
        assert_eq!(findings(&limited, &BOUNDS).len(), count);
        limited.requests[2].end = End::Broken { begun: false };
        assert_eq!(findings(&limited, &BOUNDS).len(), 1);
    }
    for (stall, count) in [((38.0, 39.9), 1), ((39.0, 40.05), 0), ((40.2, 43.0), 1)] {
        let mut stalled = broken.clone();
        stalled.stalls.push((seconds(stall.0), seconds(stall.1)));
        assert_eq!(findings(&stalled, &BOUNDS).len(), count);
    }
}

/// An endpoint that ends, and one that a fault disturbs, are not sound.
#[test]
fn a_request_whose_endpoint_ends_is_no_finding() {
    let unanswered = unanswered_ledger(None, 40.0, End::Silence);
    let mut departed = unanswered.clone();
    let endpoints = ["e", "f"].map(|endpoint| Departure {
        endpoint: endpoint.to_owned(),
        at: seconds(40.08),
    });
    let [own, other] = endpoints;
    departed.departures.push(other);
    assert_eq!(findings(&departed, &BOUNDS).len(), 1);
    departed.departures.push(own);
    assert_eq!(findings(&departed, &BOUNDS), []);
    let mut disturbed = unanswered;
    disturbed
        .endpoint_disturbances
        .push((seconds(36.0), seconds(37.5)));
    assert_eq!(findings(&disturbed, &BOUNDS), []);
}

#[rstest]
#[case::open_route(&["book"], None, None)]
#[case::closed_route(&[], None, Some(Promise::Account))]
#[case::open_route_for_an_account(&["book"], Some("night"), Some(Promise::Account))]
fn a_request_without_a_key_runs_on_open_routes_for_no_account(
    #[case] open: &[&str],
    #[case] account: Option<&str>,
    #[case] promise: Option<Promise>,
) {
    let mut ledger = sound_ledger();
    ledger.changes[0].open = open.iter().map(|route| (*route).to_owned()).collect();
    ledger.requests[0].key = None;
    ledger.executions[0].account = account.map(str::to_owned);
    let found = findings(&ledger, &BOUNDS);
    let promises: Vec<Promise> = found.iter().map(|finding| finding.promise).collect();
    assert_eq!(promises, Vec::from_iter(promise), "{found:?}");
}

/// Returns a ledger with a request that reached an endpoint and ended like this, with a disturbance of
/// its host from 39 s to 47 s.
fn unanswered_ledger(cause: Option<Cause>, sent: f64, end: End) -> Ledger {
    let mut ledger = sound_ledger();
    ledger.disturbances.extend(cause.map(|cause| Disturbance {
        host: Some(0),
        from: seconds(39.0),
        until: seconds(47.0),
        cause,
    }));
    ledger.requests.push(request("r3", sent, end));
    ledger.arrivals.push(arrival("r3", sent + 0.05));
    ledger
}

/// The first seconds of a limit, its own requests, and those of a host that was disturbed.
#[test]
fn requests_that_a_limit_allows_are_no_findings() {
    let mut ledger = sound_ledger();
    for n in 0..40 {
        // 14 a second until the limit holds, then one a second.
        let late = f64::from(n.max(35) - 35);
        let at = 20.0 + f64::from(n.min(35)) / 14.0 + late;
        let id = format!("l{n}");
        ledger.requests.push(request(&id, at, whole(200, true)));
        ledger.arrivals.push(arrival(&id, at));
        ledger.notices.push(notice(&id, at, Ask::Limit(10)));
    }
    assert_eq!(findings(&ledger, &BOUNDS), []);
    let mut ledger = broken_ledger(Promise::Limit);
    ledger.disturbances.push(Disturbance {
        host: Some(0),
        from: seconds(21.0),
        until: seconds(22.0),
        cause: Cause::Other,
    });
    assert_eq!(findings(&ledger, &BOUNDS), []);
}

/// Returns a ledger with an endpoint that announces at 10 s that it leaves, and a request that reaches it
/// at `at`.
fn leaving_ledger(at: f64) -> Ledger {
    let mut ledger = sound_ledger();
    ledger.leavings.push(Leaving {
        endpoint: "e".to_owned(),
        at: seconds(10.0),
    });
    ledger
        .requests
        .push(request("r3", at - 0.05, whole(200, true)));
    ledger.arrivals.push(arrival("r3", at));
    ledger
}

/// Returns a disturbance by the store.
fn store_disturbance(host: Option<usize>, from: f64, until: f64) -> Disturbance {
    Disturbance {
        host,
        from: seconds(from),
        until: seconds(until),
        cause: Cause::Store,
    }
}

// Guards against: findings about hosts that had no time to learn that an endpoint leaves.
#[rstest]
#[case::within_the_bound(11.95, None, None)]
#[case::a_fault_at_the_announcement(12.15, Some((9.0, 11.0)), None)]
#[case::a_fault_that_ended_just_before_the_announcement(12.15, Some((5.0, 7.05)), None)]
#[case::a_fault_that_ended_just_before_the_request(16.0, Some((12.5, 13.05)), None)]
#[case::a_fault_at_the_request(20.0, Some((19.9, 22.0)), None)]
#[case::a_stall_within_the_bound(12.15, None, Some((11.0, 11.6)))]
fn a_leaving_endpoint_may_get_requests_that_its_drain_excuses(
    #[case] at: f64,
    #[case] fault: Option<(f64, f64)>,
    #[case] stall: Option<(f64, f64)>,
) {
    let mut ledger = leaving_ledger(at);
    let fault = fault.map(|(from, until)| store_disturbance(None, from, until));
    ledger.disturbances.extend(fault);
    let stall = stall.map(|(from, until)| (seconds(from), seconds(until)));
    ledger.stalls.extend(stall);
    assert_eq!(findings(&ledger, &BOUNDS), []);
}

// Guards against: requests to a leaving endpoint that faults elsewhere or long ago excuse.
#[rstest]
#[case::a_fault_long_before_the_announcement(12.15, None, Some((5.0, 6.9)), None)]
#[case::a_fault_just_after_the_announcement(14.2, None, Some((10.05, 11.1)), None)]
#[case::a_fault_between_bound_and_request(17.2, None, Some((12.1, 14.1)), None)]
#[case::a_fault_after_the_request(12.15, None, Some((12.2, 14.0)), None)]
#[case::a_fault_of_another_host(12.15, Some(1), Some((9.0, 11.0)), None)]
#[case::a_stall_long_before_the_announcement(12.15, None, None, Some((5.0, 6.9)))]
#[case::a_request_long_after_the_bound(30.0, None, None, None)]
fn a_leaving_endpoint_that_gets_a_request_is_a_finding(
    #[case] at: f64,
    #[case] host: Option<usize>,
    #[case] fault: Option<(f64, f64)>,
    #[case] stall: Option<(f64, f64)>,
) {
    let mut ledger = leaving_ledger(at);
    let fault = fault.map(|(from, until)| store_disturbance(host, from, until));
    ledger.disturbances.extend(fault);
    let stall = stall.map(|(from, until)| (seconds(from), seconds(until)));
    ledger.stalls.extend(stall);
    let found = findings(&ledger, &BOUNDS);
    let promises: Vec<Promise> = found.iter().map(|finding| finding.promise).collect();
    assert_eq!(promises, [Promise::Drain], "{found:?}");
}

// Guards against: a request that a host took within the bound and sent on after it goes unnoticed.
#[test]
fn a_request_sent_on_after_the_bound_is_a_finding() {
    let mut ledger = leaving_ledger(12.15);
    if let Some(request) = ledger.requests.last_mut() {
        request.sent = seconds(11.0);
    }
    let found = findings(&ledger, &BOUNDS);
    let promises: Vec<Promise> = found.iter().map(|finding| finding.promise).collect();
    assert_eq!(promises, [Promise::Drain], "{found:?}");
}

// Guards against: an endpoint that serves on is taken for another one that leaves.
#[test]
fn a_request_at_another_endpoint_than_the_leaving_one_is_no_finding() {
    let mut ledger = leaving_ledger(12.15);
    ledger.leavings[0].endpoint = "f".to_owned();
    assert_eq!(findings(&ledger, &BOUNDS), []);
}
