//! Promises, checked against what callers, endpoints and the receiver of reports saw.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ledger::{Asked, Change, End, Ledger, Ran, Repeat};

/// Bounds that the hosts were given.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// From a withdrawal until no request with the key runs.
    pub withdraw: Duration,
    /// From a change of the configuration until it is in force at calm hosts.
    pub apply: Duration,
    /// Time without disturbance after which a host counts as calm.
    pub contact: Duration,
    /// Time within which holders do not take turns.
    pub lease: Duration,
    /// Repeats for each request, in a window.
    pub repeat_ratio: f64,
    /// Repeats beside those.
    pub repeat_extra: f64,
    /// Window of the budget of repeats.
    pub repeat_window: Duration,
    /// Most descriptors of a host at rest.
    pub descriptors: usize,
    /// Most resident memory of a host, in MiB.
    pub memory: usize,
}

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may not be repeated runs once at most.
    AtMostOnce,
    /// A refusal that says "not run" is true.
    NotRun,
    /// An answer that looks whole is whole and the caller's own.
    WholeAnswer,
    /// A request runs only for the account of its key.
    Account,
    /// No endpoint sees a key.
    KeyHidden,
    /// A withdrawn key stops working in time.
    Withdrawal,
    /// What was always allowed is never denied.
    Denial,
    /// A configuration is in force in time.
    InForce,
    /// A configuration is never taken back within one run of a host.
    NeverBack,
    /// One holder acts at a time, and fencing numbers rise.
    OneHolder,
    /// A window is reported with one set of figures.
    OneFigure,
    /// An orderly stop cuts no request off.
    PlannedStop,
    /// Repeats stay within their budget.
    RetryBudget,
    /// Everything is served again soon after the last fault.
    Recovery,
    /// No process ends by itself, and memory and descriptors return to rest.
    Rest,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub text: String,
}

/// All promises in the order in which they are checked.
pub const CHECKS: [(Promise, Check); 15] = [
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
    (Promise::RetryBudget, retry_budget),
    (Promise::Recovery, recovery),
    (Promise::Rest, rest),
];

/// Looks for what breaks one promise; each text is one case.
pub type Check = fn(&Ledger, &Terms) -> Vec<String>;

/// Everything that breaks a promise.
pub fn findings(ledger: &Ledger, terms: &Terms) -> Vec<Finding> {
    let checks = CHECKS.iter();
    let found = checks.flat_map(|(promise, check)| {
        let texts = check(ledger, terms).into_iter();
        texts.map(|text| Finding {
            promise: *promise,
            text,
        })
    });
    found.collect()
}

/// Requests of callers by identity.
fn by_id(ledger: &Ledger) -> HashMap<&str, &Asked> {
    ledger.asked.iter().map(|it| (it.id.as_str(), it)).collect()
}

fn runs_by_id(ledger: &Ledger) -> BTreeMap<&str, Vec<&Ran>> {
    let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
    for ran in &ledger.ran {
        runs.entry(&ran.id).or_default().push(ran);
    }
    runs
}

fn at_most_once(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let asked = by_id(ledger);
    let repeated = runs_by_id(ledger).into_iter().filter(|(id, runs)| {
        let forbidden = asked.get(id).map(|it| it.repeat) == Some(Repeat::Forbidden);
        forbidden && runs.len() > 1
    });
    let text = |(id, runs): (&str, Vec<&Ran>)| format!("{id} ran {} times: {runs:?}", runs.len());
    repeated.map(text).collect()
}

/// Whether an answer of a host itself states that the request has not run and will not.
fn promises_not_run(end: &End) -> bool {
    matches!(
        end,
        End::Whole {
            status: 408 | 421 | 429 | 503,
            signed: false,
            ..
        }
    )
}

fn not_run(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let runs = runs_by_id(ledger);
    let refused = ledger.asked.iter().filter(|it| {
        let is_bound = it.repeat == Repeat::Forbidden && promises_not_run(&it.end);
        is_bound && runs.contains_key(it.id.as_str())
    });
    let text = |it: &Asked| format!("{} was refused as not run: {:?}", it.id, it.end);
    refused.map(text).collect()
}

fn whole_answer(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let wrong = ledger.asked.iter().filter(|it| {
        matches!(
            it.end,
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
    let text = |it: &Asked| format!("{} got a wrong answer: {:?}", it.id, it.end);
    wrong.map(text).collect()
}

fn account(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let asked = by_id(ledger);
    let wrong = ledger.ran.iter().filter(|ran| {
        let Some(asked) = asked.get(ran.id.as_str()) else {
            return true;
        };
        // Whether the configuration was still in force is the matter of other checks.
        let written = ledger.changes.iter().take_while(|it| it.at <= ran.at);
        let mut accounts = written.filter_map(|it| it.keys.get(&asked.key));
        !accounts.any(|it| Some(it) == ran.account.as_ref())
    });
    wrong.map(|it| format!("{it:?}")).collect()
}

fn key_hidden(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let seen = ledger.ran.iter().filter(|it| it.saw_key);
    seen.map(|it| format!("{it:?}")).collect()
}

/// When a key was withdrawn for good, if it was.
fn withdrawn(changes: &[Change], key: &str) -> Option<Duration> {
    let last = changes.iter().rposition(|it| it.keys.contains_key(key))?;
    changes.get(last + 1).map(|it| it.at)
}

fn withdrawal(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let asked = by_id(ledger);
    let late = ledger.ran.iter().filter(|ran| {
        let Some(asked) = asked.get(ran.id.as_str()) else {
            return false;
        };
        let withdrawn = withdrawn(&ledger.changes, &asked.key);
        withdrawn.is_some_and(|at| asked.sent > at + terms.withdraw)
    });
    let text = |it: &Ran| {
        format!(
            "ran with a withdrawn key: {it:?}, {:?}",
            asked[it.id.as_str()]
        )
    };
    late.map(text).collect()
}

fn denial(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let denied = ledger.asked.iter().filter(|it| {
        let is_denied = matches!(
            it.end,
            End::Whole {
                status: 400 | 401 | 403 | 404,
                signed: false,
                ..
            }
        );
        let allows = |change: &Change| {
            change.keys.contains_key(&it.key) && change.routes.contains(&it.route)
        };
        is_denied && ledger.changes.iter().all(allows)
    });
    denied.map(|it| format!("{it:?}")).collect()
}

fn in_force(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let late = ledger.asked.iter().filter(|it| {
        let is_unknown = matches!(
            it.end,
            End::Whole {
                status: 401 | 404,
                signed: false,
                ..
            }
        );
        let allows = |change: &Change| {
            change.keys.contains_key(&it.key) && change.routes.contains(&it.route)
        };
        let Some(since) = it.sent.checked_sub(terms.apply) else {
            return false;
        };
        let first = ledger.changes.iter().rposition(|change| change.at < since);
        let is_allowed = first.is_some_and(|first| {
            let until = ledger.changes[first..].iter();
            until.take_while(|it_| it_.at <= it.ended).all(allows)
        });
        let calm = since.saturating_sub(terms.contact);
        is_unknown && is_allowed && ledger.is_calm(it.host, calm, it.ended)
    });
    late.map(|it| format!("{it:?}")).collect()
}

/// A route or key that one run of a host knew must stay known to it while it exists.
fn never_back(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let mut known: HashMap<(usize, u64, &str, &str), Duration> = HashMap::new();
    for it in &ledger.asked {
        if matches!(it.end, End::Whole { status: 200, .. }) {
            let run = (it.host, it.boot, it.key.as_str(), it.route.as_str());
            let since = known.entry(run).or_insert(it.ended);
            *since = (*since).min(it.ended);
        }
    }
    let back = ledger.asked.iter().filter(|it| {
        let is_unknown = matches!(
            it.end,
            End::Whole {
                status: 401 | 404,
                signed: false,
                ..
            }
        );
        let run = (it.host, it.boot, it.key.as_str(), it.route.as_str());
        let since = known.get(&run).filter(|since| **since < it.sent);
        let exists = |change: &Change| {
            change.keys.contains_key(&it.key) && change.routes.contains(&it.route)
        };
        is_unknown
            && since.is_some_and(|since| {
                let changes = &ledger.changes;
                let first = changes.iter().rposition(|it| it.at <= *since).unwrap_or(0);
                let until = changes[first..].iter();
                until.take_while(|change| change.at <= it.ended).all(exists)
            })
    });
    back.map(|it| format!("{it:?}")).collect()
}

fn one_holder(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let mut broken = Vec::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut highest = 0;
    for (n, call) in ledger.calls.iter().enumerate() {
        if call.epoch < highest {
            broken.push(format!("{call:?} after fencing number {highest}"));
        }
        highest = highest.max(call.epoch);
        let holder = holders.entry(call.epoch).or_insert(&call.holder);
        if *holder != call.holder {
            broken.push(format!("{call:?} with the fencing number of {holder}"));
        }
        let recent = ledger.calls[..n].iter().rev();
        let mut recent = recent.take_while(|it| it.at + terms.lease >= call.at);
        let has_other = recent.any(|it| it.holder != call.holder);
        if has_other && recent.any(|it| it.holder == call.holder) {
            broken.push(format!("{call:?} in turn with another"));
        }
    }
    broken
}

fn one_figure(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let mut figures: HashMap<u64, &BTreeMap<String, u64>> = HashMap::new();
    let reports = ledger.calls.iter().filter_map(|it| it.report.as_ref());
    let mut broken = Vec::new();
    for (window, counts) in reports {
        let known = figures.entry(*window).or_insert(counts);
        if *known != counts {
            broken.push(format!("window {window}: {known:?}, then {counts:?}"));
        }
    }
    broken
}

fn planned_stop(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let cut = ledger.asked.iter().filter(|it| {
        let is_cut = matches!(it.end, End::Broken { .. });
        let from = it.sent.saturating_sub(terms.contact);
        let is_stopping = !ledger.is_calm(it.host, from, it.ended);
        is_cut
            && is_stopping
            && ledger.is_planned_only(it.host, from, it.ended)
            && ledger.are_endpoints_calm(from, it.ended)
            // A request that crosses the close and was not passed on is sent again.
            && ledger.ran.iter().any(|ran| ran.id == it.id)
    });
    cut.map(|it| format!("{it:?}")).collect()
}

fn retry_budget(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let mut repeats: Vec<Duration> = Vec::new();
    for ran in &ledger.ran {
        let count = seen.entry(&ran.id).or_default();
        *count += 1;
        if *count > 1 {
            repeats.push(ran.at);
        }
    }
    let window = terms.repeat_window;
    let mut broken = Vec::new();
    for (n, at) in repeats.iter().enumerate() {
        let within = repeats[..=n].iter().filter(|it| **it + window >= *at);
        let within = within.count() as f64;
        let asked = |from: Duration, until: Duration| {
            let asked = ledger.asked.iter();
            asked
                .filter(|it| it.sent >= from && it.sent <= until)
                .count() as f64
        };
        let from = at.saturating_sub(window);
        let before = at.saturating_sub(window / 2);
        let own = asked(from, *at).max(asked(from.saturating_sub(window / 2), before));
        if within > terms.repeat_ratio * own + terms.repeat_extra {
            broken.push(format!("{within} repeats for {own} requests until {at:?}"));
        }
    }
    broken
}

fn recovery(ledger: &Ledger, _: &Terms) -> Vec<String> {
    let hosts = ledger.recovered.iter().enumerate();
    let behind = hosts.filter(|(_, (served, asked))| served < asked);
    let text = |(host, (served, asked)): (usize, &(usize, usize))| {
        format!("host {host} served {served} of {asked} after the last fault")
    };
    behind.map(text).collect()
}

fn rest(ledger: &Ledger, terms: &Terms) -> Vec<String> {
    let exits = ledger.exits.iter();
    let mut broken: Vec<String> = exits
        .map(|(host, at)| format!("the process of host {host} ended by itself at {at:?}"))
        .collect();
    for (host, used) in ledger.usage.iter().enumerate() {
        if used.descriptors > terms.descriptors || used.memory > terms.memory {
            broken.push(format!("host {host} at rest: {used:?}"));
        }
    }
    broken
}
