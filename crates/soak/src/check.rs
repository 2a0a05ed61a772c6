//! Checks of the system's promises against the ledger of a run.

mod notice;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ledger::{Arrival, Asked, Cause, Change, End, Ledger, Ran, Retry};

/// Bounds that the checks allow, as the settings of the hosts give them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time from the withdrawal of a key until no request with it is executed.
    pub withdraw: Duration,
    /// Time after a host passed on the response of a leaving endpoint in which it may still be sent
    /// requests.
    pub drain: Duration,
    /// Longest time from a configuration change until it is in force at undisturbed hosts.
    pub apply: Duration,
    /// Time that must have passed since a disturbance for a host to count as undisturbed.
    pub settle: Duration,
    /// Time limit of a request, after which a host may end a response that has begun.
    pub limit: Duration,
    /// Time within which the lease may not change its holder and return to the former one.
    pub lease: Duration,
    /// Retries allowed for each request of a window.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to those of the ratio.
    pub retry_extra: f64,
    /// Length of the window of the retry budget.
    pub retry_window: Duration,
    /// Largest number of open file descriptors of an idle host.
    pub descriptors: usize,
    /// Largest resident memory of an idle host, in MiB.
    pub memory: usize,
}

/// A property that the system guarantees whatever faults occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may not be retried is executed at most once.
    AtMostOnce,
    /// A request that a host refuses as not executed is never executed.
    NotRun,
    /// A complete response with status 200 has the whole body of the caller's own request.
    WholeAnswer,
    /// A request is executed only for the client account of its key.
    Account,
    /// No caller's key reaches an endpoint.
    KeyHidden,
    /// No request is executed with a key withdrawn longer ago than the bound.
    Withdrawal,
    /// A request whose key and route were valid throughout the run is never denied.
    Denial,
    /// A configuration is in force at undisturbed hosts within its bound.
    InForce,
    /// A process incarnation never returns to an older configuration.
    NeverBack,
    /// One lease holder acts at a time, and fencing tokens never fall.
    OneHolder,
    /// All reports of a window carry the same usage counters.
    OneFigure,
    /// An orderly stop breaks no request in flight.
    PlannedStop,
    /// A request that has reached a sound endpoint gets its whole response, whatever is planned and
    /// whatever the store does.
    Answered,
    /// The number of retries stays within the retry budget.
    RetryBudget,
    /// A host that has passed on the response of a leaving endpoint sends it no further request.
    Leaving,
    /// A host sends no request to an endpoint that has asked it for a pause.
    Pause,
    /// An endpoint that has announced in the store that it leaves gets no request after the bound.
    Drain,
    /// Hosts together send an endpoint no more than it says that it takes, soon after it has said so.
    Limit,
    /// All requests are served again soon after the last fault.
    Recovery,
    /// No process exits unasked, and memory and descriptors of idle hosts stay within bounds.
    Rest,
}

/// One observation that breaks a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Promise that is broken.
    pub promise: Promise,
    /// Ledger entries or values that break the promise.
    pub text: String,
}

/// All promises with their checks, in the order in which they are checked.
pub const CHECKS: [(Promise, Check); 20] = [
    (Promise::AtMostOnce, at_most_once),
    (Promise::NotRun, not_run),
    (Promise::WholeAnswer, whole_answer),
    (Promise::Account, account),
    (Promise::KeyHidden, key_hidden),
    (Promise::Withdrawal, withdrawal),
    (Promise::Denial, denial),
    (Promise::InForce, in_force),
    (Promise::NeverBack, never_back),
    (Promise::OneHolder, one_holder),
    (Promise::OneFigure, one_figure),
    (Promise::PlannedStop, planned_stop),
    (Promise::Answered, answered),
    (Promise::RetryBudget, retry_budget),
    (Promise::Leaving, notice::leaving),
    (Promise::Pause, notice::pause),
    (Promise::Drain, drain),
    (Promise::Limit, notice::limit),
    (Promise::Recovery, recovery),
    (Promise::Rest, rest),
];

/// Checks one promise and returns one text for each observation that breaks it.
pub type Check = fn(&Ledger, &Bounds) -> Vec<String>;

/// Runs all checks and returns everything that breaks a promise.
pub fn findings(ledger: &Ledger, bounds: &Bounds) -> Vec<Finding> {
    let checks = CHECKS.iter();
    let found = checks.flat_map(|(promise, check)| {
        let texts = check(ledger, bounds).into_iter();
        texts.map(|text| Finding {
            promise: *promise,
            text,
        })
    });
    found.collect()
}

/// Returns the requests of callers by their ids.
fn requests_by_id(ledger: &Ledger) -> HashMap<&str, &Asked> {
    ledger
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect()
}

/// Returns the executions of each request by its id.
fn executions_by_id(ledger: &Ledger) -> BTreeMap<&str, Vec<&Ran>> {
    let mut executions: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
    for execution in &ledger.executions {
        executions.entry(&execution.id).or_default().push(execution);
    }
    executions
}

fn at_most_once(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let repeated = executions_by_id(ledger)
        .into_iter()
        .filter(|(id, executions)| {
            let is_forbidden =
                requests.get(id).map(|request| request.repeat) == Some(Retry::Forbidden);
            is_forbidden && executions.len() > 1
        });
    let text = |(id, executions): (&str, Vec<&Ran>)| {
        format!("{id} ran {} times: {executions:?}", executions.len())
    };
    repeated.map(text).collect()
}

/// Returns whether a response of the host itself states that the request was not executed and
/// will not be.
fn states_not_executed(end: &End) -> bool {
    matches!(
        end,
        End::Whole {
            status: 408 | 421 | 429 | 503,
            signed: false,
            ..
        }
    )
}

fn not_run(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let executions = executions_by_id(ledger);
    let refused = ledger.requests.iter().filter(|request| {
        let is_refused = request.repeat == Retry::Forbidden && states_not_executed(&request.end);
        is_refused && executions.contains_key(request.id.as_str())
    });
    let text =
        |request: &Asked| format!("{} was refused as not run: {:?}", request.id, request.end);
    refused.map(text).collect()
}

fn whole_answer(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let wrong = ledger.requests.iter().filter(|request| {
        matches!(
            request.end,
            End::Whole {
                status: 200,
                right: false,
                ..
            } | End::Whole {
                status: 200,
                signed: false,
                ..
            }
        )
    });
    let text = |request: &Asked| format!("{} got a wrong answer: {:?}", request.id, request.end);
    wrong.map(text).collect()
}

fn account(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let wrong = ledger.executions.iter().filter(|execution| {
        let Some(request) = requests.get(execution.id.as_str()) else {
            return true;
        };
        // Other checks verify whether the configuration was still in force.
        let written = ledger
            .changes
            .iter()
            .take_while(|change| change.at <= execution.at);
        let mut accounts = written.filter_map(|change| change.account(request));
        !accounts.any(|account| account == execution.account.as_ref())
    });
    wrong.map(|execution| format!("{execution:?}")).collect()
}

fn key_hidden(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let exposed = ledger
        .executions
        .iter()
        .filter(|execution| execution.saw_key);
    exposed.map(|execution| format!("{execution:?}")).collect()
}

/// Returns the time at which a key was withdrawn for good; `None` if it never was.
fn withdrawn_at(changes: &[Change], key: &str) -> Option<Duration> {
    let last = changes
        .iter()
        .rposition(|change| change.keys.contains_key(key))?;
    changes.get(last + 1).map(|change| change.at)
}

fn withdrawal(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let late = ledger.executions.iter().filter(|execution| {
        let Some(request) = requests.get(execution.id.as_str()) else {
            return false;
        };
        let key = request.key.as_deref();
        let withdrawn = key.and_then(|key| withdrawn_at(&ledger.changes, key));
        withdrawn.is_some_and(|at| request.sent > at + bounds.withdraw)
    });
    let text = |execution: &Ran| {
        format!(
            "ran with a withdrawn key: {execution:?}, {:?}",
            requests[execution.id.as_str()]
        )
    };
    late.map(text).collect()
}

fn denial(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let denied = ledger.requests.iter().filter(|request| {
        let is_denied = matches!(
            request.end,
            End::Whole {
                status: 400 | 401 | 403 | 404,
                signed: false,
                ..
            }
        );
        let allows = |change: &Change| change.allows(request);
        is_denied && ledger.changes.iter().all(allows)
    });
    denied.map(|request| format!("{request:?}")).collect()
}

fn in_force(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let late = ledger.requests.iter().filter(|request| {
        let is_unknown = matches!(
            request.end,
            End::Whole {
                status: 401 | 404,
                signed: false,
                ..
            }
        );
        let allows = |change: &Change| change.allows(request);
        let Some(since) = request.sent.checked_sub(bounds.apply) else {
            return false;
        };
        let first = ledger.changes.iter().rposition(|change| change.at < since);
        let is_allowed = first.is_some_and(|first| {
            let changes = ledger.changes[first..].iter();
            changes
                .take_while(|change| change.at <= request.ended)
                .all(allows)
        });
        let settled = since.saturating_sub(bounds.settle);
        is_unknown && is_allowed && ledger.is_undisturbed(request.host, settled, request.ended)
    });
    late.map(|request| format!("{request:?}")).collect()
}

/// Checks that a process incarnation which served a route and key does not refuse them later as
/// unknown, as long as both exist in the configuration.
fn never_back(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let mut served: HashMap<(usize, u64, Option<&str>, &str), Duration> = HashMap::new();
    for request in &ledger.requests {
        if matches!(request.end, End::Whole { status: 200, .. }) {
            let scope = (
                request.host,
                request.boot,
                request.key.as_deref(),
                request.route.as_str(),
            );
            let since = served.entry(scope).or_insert(request.ended);
            *since = (*since).min(request.ended);
        }
    }
    let reverted = ledger.requests.iter().filter(|request| {
        let is_unknown = matches!(
            request.end,
            End::Whole {
                status: 401 | 404,
                signed: false,
                ..
            }
        );
        let scope = (
            request.host,
            request.boot,
            request.key.as_deref(),
            request.route.as_str(),
        );
        let since = served.get(&scope).filter(|since| **since < request.sent);
        let exists = |change: &Change| change.allows(request);
        is_unknown
            && since.is_some_and(|since| {
                let changes = &ledger.changes;
                let first = changes
                    .iter()
                    .rposition(|change| change.at <= *since)
                    .unwrap_or(0);
                let changes = changes[first..].iter();
                changes
                    .take_while(|change| change.at <= request.ended)
                    .all(exists)
            })
    });
    reverted.map(|request| format!("{request:?}")).collect()
}

fn one_holder(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let mut violations = Vec::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut highest = 0;
    for (n, call) in ledger.calls.iter().enumerate() {
        if call.epoch < highest {
            violations.push(format!("{call:?} after fencing number {highest}"));
        }
        highest = highest.max(call.epoch);
        let holder = holders.entry(call.epoch).or_insert(&call.holder);
        if *holder != call.holder {
            violations.push(format!("{call:?} with the fencing number of {holder}"));
        }
        let recent = ledger.calls[..n].iter().rev();
        let mut recent = recent.take_while(|earlier| earlier.at + bounds.lease >= call.at);
        let has_other = recent.any(|earlier| earlier.holder != call.holder);
        if has_other && recent.any(|earlier| earlier.holder == call.holder) {
            violations.push(format!("{call:?} in turn with another"));
        }
    }
    violations
}

fn one_figure(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let mut counters: HashMap<u64, &BTreeMap<String, u64>> = HashMap::new();
    let reports = ledger.calls.iter().filter_map(|call| call.report.as_ref());
    let mut violations = Vec::new();
    for (window, counts) in reports {
        let first = counters.entry(*window).or_insert(counts);
        if *first != counts {
            violations.push(format!("window {window}: {first:?}, then {counts:?}"));
        }
    }
    violations
}

fn planned_stop(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let broken = ledger.requests.iter().filter(|request| {
        let is_broken = matches!(request.end, End::Broken { .. });
        let from = request.sent.saturating_sub(bounds.settle);
        let is_disturbed = !ledger.is_undisturbed(request.host, from, request.ended);
        is_broken
            && is_disturbed
            && ledger.has_only_planned_stops(request.host, from, request.ended)
            && ledger.are_endpoints_undisturbed(from, request.ended)
            // A request that arrives while the host closes the connection and is not forwarded is
            // safe to send again, so only executed requests count.
            && ledger.executions.iter().any(|execution| execution.id == request.id)
    });
    broken.map(|request| format!("{request:?}")).collect()
}

/// Checks the requests of hosts that met nothing but orderly stops, reloads, changes of the
/// configuration and faults of the store.
fn answered(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &ledger.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let mut texts = Vec::new();
    for request in &ledger.requests {
        let Some(arrivals) = arrivals.get(request.id.as_str()) else {
            continue;
        };
        let from = request.sent.saturating_sub(bounds.settle);
        let until = request.ended;
        let is_unanswered = match request.end {
            End::Broken { begun: true } => until.saturating_sub(request.sent) < bounds.limit,
            End::Broken { begun: false } | End::Silence => true,
            _ => false,
        };
        let first = arrivals.iter().map(|arrival| arrival.at).min();
        let is_departed = ledger.departures.iter().any(|departure| {
            let is_its = arrivals
                .iter()
                .any(|arrival| arrival.endpoint == departure.endpoint);
            is_its && first.is_some_and(|first| (first..=until).contains(&departure.at))
        });
        let causes = [Cause::Stop, Cause::Store];
        if is_unanswered
            && !is_departed
            && ledger.is_steady(request.sent, until)
            && ledger.has_only(request.host, from, until, &causes)
            && ledger.are_endpoints_undisturbed(from, until)
        {
            texts.push(format!("{request:?}, {arrivals:?}"));
        }
    }
    texts
}

/// Checks the requests of hosts that had time to learn of a leaving endpoint, which it announced while the store was
/// sound. What a store loses later is written again, so a fault after the announcement excuses a host no longer than
/// any other.
fn drain(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let mut texts = Vec::new();
    for arrival in &ledger.arrivals {
        let leavings = ledger.leavings.iter();
        let mut leavings = leavings.filter(|leaving| leaving.endpoint == arrival.endpoint);
        let Some(leaving) = leavings.next() else {
            continue;
        };
        let Some(request) = requests.get(arrival.id.as_str()) else {
            continue;
        };
        let in_time = leaving.at + bounds.drain;
        let from = arrival.at.saturating_sub(bounds.settle);
        let since = leaving.at.saturating_sub(bounds.settle);
        if arrival.at > in_time
            && ledger.is_undisturbed(request.host, from, arrival.at)
            && ledger.is_undisturbed(request.host, since, leaving.at)
            && ledger.is_steady(since, arrival.at)
        {
            texts.push(format!("{arrival:?} of {request:?} after {leaving:?}"));
        }
    }
    texts
}

fn retry_budget(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let mut executions: HashMap<&str, usize> = HashMap::new();
    let mut retries: Vec<Duration> = Vec::new();
    for execution in &ledger.executions {
        let count = executions.entry(&execution.id).or_default();
        *count += 1;
        if *count > 1 {
            retries.push(execution.at);
        }
    }
    let window = bounds.retry_window;
    let mut violations = Vec::new();
    for (n, at) in retries.iter().enumerate() {
        let within = retries[..=n]
            .iter()
            .filter(|earlier| **earlier + window >= *at);
        let within = within.count() as f64;
        let sent = |from: Duration, until: Duration| {
            let requests = ledger.requests.iter();
            requests
                .filter(|request| request.sent >= from && request.sent <= until)
                .count() as f64
        };
        let from = at.saturating_sub(window);
        let middle = at.saturating_sub(window / 2);
        let requests = sent(from, *at).max(sent(from.saturating_sub(window / 2), middle));
        if within > bounds.retry_ratio * requests + bounds.retry_extra {
            violations.push(format!(
                "{within} repeats for {requests} requests until {at:?}"
            ));
        }
    }
    violations
}

fn recovery(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let hosts = ledger.probes.iter().enumerate();
    let unserved = hosts.filter(|(_, (served, sent))| served < sent);
    let text = |(host, (served, sent)): (usize, &(usize, usize))| {
        format!("host {host} served {served} of {sent} after the last fault")
    };
    unserved.map(text).collect()
}

fn rest(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let exits = ledger.unexpected_exits.iter();
    let mut violations: Vec<String> = exits
        .map(|(host, at)| format!("the process of host {host} ended by itself at {at:?}"))
        .collect();
    for (host, used) in ledger.usage.iter().enumerate() {
        if used.descriptors > bounds.descriptors || used.memory > bounds.memory {
            violations.push(format!("host {host} at rest: {used:?}"));
        }
    }
    violations
}
