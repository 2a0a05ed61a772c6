//! Model check of acceptance and currency.
//!
//! Every run of a host may know every statement that exists, with its right age. This
//! covers all partitions, delays and relays: a real host knows a part of that. Runs end and come back
//! empty, at the same address or at a new one while the old run goes on unnoticed.

use std::net::SocketAddr;
use std::time::Duration;

use agate_conf::acceptance::{Standing, is_accepted, take_up};
use agate_conf::currency::{Statement, age};
use agate_conf::witness::{History, Set, Witness};
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

/// Ticks after which a statement lapses.
const LIMIT: usize = 1;
const HOSTS: u8 = 3;
const FIRST: u64 = 1;

/// How large the explored system is.
#[derive(Clone, Copy)]
struct Bounds {
    commits: u64,
    restarts: usize,
}

/// Parts of the rules that a broken variant replaces.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Rules {
    /// The rules as the program applies them.
    Real,
    /// A restarted host counts as the witness that it was.
    HostsNotRuns,
    /// One witness fewer than a majority suffices for a proof.
    OneTooFew,
    /// Only the newest set of witnesses is asked for acceptance.
    NewestSetOnly,
    /// A run counts as ended when its host is recorded at another address.
    AddressIgnored,
    /// Statements do not lapse.
    NoLapse,
    /// A host takes up whatever it is handed.
    Reverting,
}

/// One run of a host.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Run {
    host: u8,
    address: u16,
    is_alive: bool,
    /// Version held a number of ticks ago.
    held: [Option<u64>; LIMIT + 1],
}

/// State of the system.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    runs: Vec<Run>,
    /// Runs in the set that a version put in force, from the first version on.
    log: Vec<Option<Vec<usize>>>,
    /// Head of the store a number of ticks ago.
    head: [u64; LIMIT + 1],
    /// Ticks since each version after the first was accepted, at most one above the limit.
    accepted: Vec<Option<usize>>,
    has_reverted: bool,
}

impl State {
    fn start() -> Self {
        let run = |host| Run {
            host,
            address: u16::from(host),
            is_alive: true,
            held: [Some(FIRST); LIMIT + 1],
        };
        Self {
            runs: (0..HOSTS).map(run).collect(),
            log: vec![Some((0..usize::from(HOSTS)).collect())],
            head: [FIRST; LIMIT + 1],
            accepted: Vec::new(),
            has_reverted: false,
        }
    }

    fn witness(&self, run: usize) -> Witness {
        let it = &self.runs[run];
        Witness {
            host: it.host.to_string(),
            incarnation: run.to_string(),
            zone: "z".to_owned(),
            gossip: SocketAddr::from(([10, 0, 0, 1], it.address)),
        }
    }

    fn sets(&self, rules: Rules) -> History {
        let mut history = History::default();
        for (n, runs) in self.log.iter().enumerate() {
            let Some(runs) = runs else { continue };
            let members = runs.iter().map(|run| {
                let mut witness = self.witness(*run);
                if rules == Rules::AddressIgnored {
                    witness.gossip.set_port(0);
                }
                witness
            });
            let set = Set {
                members: members.collect(),
            };
            history.push(FIRST + n as u64, set);
        }
        history
    }

    fn standing(&self, witness: &Witness) -> Standing {
        let run: usize = witness.incarnation.parse().expect("a run's number");
        match self.runs[run].held[0] {
            Some(version) if self.runs[run].is_alive => Standing::Has(version),
            _ => Standing::Unknown,
        }
    }

    /// Records which versions are accepted, as early as anyone could know.
    fn settle(&mut self, rules: Rules) {
        let mut sets = self.sets(rules);
        if rules == Rules::NewestSetOnly {
            let newest = sets.newest().cloned().expect("a first set");
            sets = History::new(vec![(FIRST, newest)]);
        }
        for n in 0..self.accepted.len() {
            let version = FIRST + 1 + n as u64;
            let standing = |it: &Witness| self.standing(it);
            if self.accepted[n].is_none() && is_accepted(version, &sets, &standing) {
                self.accepted[n] = Some(0);
            }
        }
    }

    /// Youngest statement of a run that it has nothing above `version`.
    fn statement(&self, run: usize, version: u64) -> Option<Statement> {
        let held = self.runs[run].held.iter().enumerate();
        let mut usable = held.filter_map(|(ticks, held)| {
            let held = held.filter(|it| *it <= version)?;
            Some(statement(held, ticks))
        });
        usable.next()
    }

    fn attestations(&self, set: &Set, version: u64, rules: Rules) -> Vec<Option<Statement>> {
        let of_run = |run: usize| self.statement(run, version);
        let attested = set.members.iter().map(|it| {
            let run: usize = it.incarnation.parse().expect("a run's number");
            if rules != Rules::HostsNotRuns {
                return of_run(run);
            }
            let host = self.runs[run].host;
            let runs = (0..self.runs.len()).filter(|run| self.runs[*run].host == host);
            runs.filter_map(of_run).min_by_key(|it| it.age)
        });
        attested.collect()
    }

    /// Whether a run may serve keyed work.
    fn serves(&self, run: usize, rules: Rules) -> bool {
        let Some(version) = self.runs[run].held[0] else {
            return false;
        };
        let heads = self.head.iter().enumerate();
        let mut proofs = heads.filter(|(_, head)| **head <= version);
        let store = proofs.next().map(|(ticks, head)| statement(*head, ticks));
        let sets = self.sets(Rules::Real);
        let mut attestations = match sets.at(version) {
            Some(set) => self.attestations(set, version, rules),
            None => Vec::new(),
        };
        if rules == Rules::OneTooFew {
            attestations.extend([Some(statement(0, 0)); 2]);
        }
        age(version, store, &attestations).is_some()
    }

    /// A run serves an older version although a newer one was accepted longer ago than the limit.
    fn is_violated(&self, rules: Rules) -> bool {
        let newest = self.accepted.iter().rposition(|since| *since > Some(LIMIT));
        let Some(newest) = newest.map(|n| FIRST + 1 + n as u64) else {
            return self.has_reverted;
        };
        let is_stale = |run: usize| {
            let held = self.runs[run].held[0];
            let is_old = held.is_some_and(|it| it < newest);
            self.runs[run].is_alive && is_old && self.serves(run, rules)
        };
        self.has_reverted || (0..self.runs.len()).any(is_stale)
    }

    fn successors(&self, rules: Rules, bounds: Bounds) -> Vec<State> {
        let mut next = vec![self.ticked(rules)];
        if self.head[0] < FIRST + bounds.commits {
            next.push(self.committed(None));
            next.extend((0..self.runs.len()).filter_map(|run| self.joined(run)));
        }
        for run in 0..self.runs.len() {
            next.extend(self.taken_up(run, rules));
            if self.runs.len() < usize::from(HOSTS) + bounds.restarts {
                next.extend(self.restarted(run, true));
                next.extend(self.restarted(run, false));
            }
        }
        next.iter_mut().for_each(|it| it.settle(rules));
        next
    }

    fn ticked(&self, rules: Rules) -> State {
        let mut next = self.clone();
        for run in &mut next.runs {
            let oldest = run.held[LIMIT];
            run.held.rotate_right(1);
            run.held[0] = if run.is_alive { run.held[1] } else { None };
            if rules == Rules::NoLapse {
                run.held[LIMIT] = oldest;
            }
        }
        next.head.rotate_right(1);
        next.head[0] = self.head[0];
        for since in next.accepted.iter_mut().flatten() {
            *since = (*since + 1).min(LIMIT + 1);
        }
        next
    }

    fn committed(&self, set: Option<Vec<usize>>) -> State {
        let mut next = self.clone();
        next.head[0] += 1;
        next.log.push(set);
        next.accepted.push(None);
        next
    }

    /// A run that has read the store's head joins the witnesses.
    fn joined(&self, run: usize) -> Option<State> {
        if !self.runs[run].is_alive {
            return None;
        }
        let sets = self.sets(Rules::Real);
        let set = sets.newest()?.joined(&self.witness(run))?;
        let runs = set.members.iter().map(|it| it.incarnation.parse());
        let runs: Result<Vec<usize>, _> = runs.collect();
        let mut next = self.committed(Some(runs.expect("runs' numbers")));
        next.runs[run].held[0] = Some(next.head[0]);
        Some(next)
    }

    fn taken_up(&self, run: usize, rules: Rules) -> Vec<State> {
        if !self.runs[run].is_alive {
            return Vec::new();
        }
        let have = self.runs[run].held[0].unwrap_or(0);
        let offers = FIRST..=self.head[0];
        let states = offers.filter_map(|offered| {
            let has = if rules == Rules::Reverting {
                offered
            } else {
                take_up(have, offered)
            };
            if has == have {
                return None;
            }
            let mut next = self.clone();
            next.has_reverted |= has < have;
            next.runs[run].held[0] = Some(has);
            Some(next)
        });
        states.collect()
    }

    /// A host starts anew: in place, which ends the old run, or elsewhere, which does not.
    fn restarted(&self, run: usize, in_place: bool) -> Option<State> {
        let old = &self.runs[run];
        let is_newest = !self.runs[run + 1..].iter().any(|it| it.host == old.host);
        if !old.is_alive || !is_newest {
            return None;
        }
        let mut next = self.clone();
        let moved = u16::try_from(100 + self.runs.len()).expect("few runs");
        let address = if in_place { old.address } else { moved };
        next.runs[run].is_alive &= !in_place;
        next.runs.push(Run {
            host: old.host,
            address,
            is_alive: true,
            held: [None; LIMIT + 1],
        });
        Some(next)
    }
}

fn statement(version: u64, ticks: usize) -> Statement {
    Statement {
        version,
        age: Duration::from_secs(ticks as u64),
    }
}

fn violation(rules: Rules, bounds: Bounds) -> Option<Vec<State>> {
    bfs(
        &State::start(),
        |state| state.successors(rules, bounds),
        |state| state.is_violated(rules),
    )
}

/// Bounds from `AGATE_MODEL_COMMITS` and `AGATE_MODEL_RESTARTS`, for runs beyond those of the CI.
fn wider(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[rstest]
#[case::two_changes_one_restart(2, 1)]
#[case::one_change_two_restarts(1, 2)]
#[case::as_asked_for(wider("AGATE_MODEL_COMMITS", 3), wider("AGATE_MODEL_RESTARTS", 0) as usize)]
fn no_run_serves_an_older_version_than_the_accepted_one(
    #[case] commits: u64,
    #[case] restarts: usize,
) {
    let bounds = Bounds { commits, restarts };
    let found = violation(Rules::Real, bounds);
    assert!(found.is_none(), "{found:#?}");
    let states = bfs_reach(State::start(), |it| it.successors(Rules::Real, bounds)).count();
    println!("{commits} changes, {restarts} restarts: {states} states");
    assert!(states > 1000);
}

#[rstest]
#[case(Rules::HostsNotRuns, 1, 1)]
#[case(Rules::OneTooFew, 1, 0)]
#[case(Rules::NewestSetOnly, 2, 2)]
#[case(Rules::AddressIgnored, 2, 1)]
#[case(Rules::NoLapse, 1, 0)]
#[case(Rules::Reverting, 1, 0)]
fn the_check_finds_what_a_broken_rule_allows(
    #[case] rules: Rules,
    #[case] commits: u64,
    #[case] restarts: usize,
) {
    let bounds = Bounds { commits, restarts };
    let found = violation(rules, bounds).expect("a violation");
    println!("{rules:?}: violated after {} steps", found.len() - 1);
}
