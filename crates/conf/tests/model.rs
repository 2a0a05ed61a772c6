//! Model check of acceptance and freshness.
//!
//! Every process incarnation may know every statement that exists, with its true age. This covers
//! all partitions, delays and relays, as a real host knows a part of that. Hosts restart without
//! their copy, at the same address or at a new one while the old incarnation goes on unnoticed.
//!
//! The checks guard against a host that serves an older version longer than the limit after a
//! newer one was accepted.

use std::net::SocketAddr;
use std::time::Duration;

use agate_conf::acceptance::{Standing, is_accepted, take_up};
use agate_conf::freshness::{Statement, age};
use agate_conf::witness::{History, Set, Witness};
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

/// Age in ticks above which a statement expires.
const LIMIT_TICKS: usize = 1;
const HOSTS: u8 = 3;
const FIRST_VERSION: u64 = 1;

/// Bounds of the explored system.
#[derive(Clone, Copy)]
struct Bounds {
    /// Changes after the first version.
    commits: u64,
    /// Restarts of all hosts together.
    restarts: usize,
}

/// The rules as implemented, and variants in which one rule is broken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Rules {
    /// The rules as implemented.
    Correct,
    /// A restarted host counts as the witness that it was before the restart.
    HostsNotIncarnations,
    /// One witness fewer than a majority is enough for a proof.
    OneTooFew,
    /// Only the newest set of witnesses needs to rule out an older version.
    NewestSetOnly,
    /// An incarnation counts as ended when its host is recorded at another address.
    AddressIgnored,
    /// Statements do not expire.
    NoExpiry,
    /// A host takes up any version that it is offered, also an older one.
    Reverting,
}

/// One process incarnation of a host.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Incarnation {
    host: u8,
    /// Port of its gossip address; a host restarted in place keeps it.
    port: u16,
    is_alive: bool,
    /// Version held now and at each earlier tick, up to the limit; `None` while it held none.
    held: [Option<u64>; LIMIT_TICKS + 1],
}

/// State of the store and of all process incarnations.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    incarnations: Vec<Incarnation>,
    /// Members of the set that each version put in force, from the first version on; `None` where
    /// the set did not change.
    log: Vec<Option<Vec<usize>>>,
    /// Head of the store now and at each earlier tick, up to the limit.
    heads: [u64; LIMIT_TICKS + 1],
    /// Ticks since each version after the first was accepted, at most one above the limit; `None`
    /// until it is accepted.
    accepted: Vec<Option<usize>>,
    /// Whether some host took up a version older than the one that it held.
    has_reverted: bool,
}

impl State {
    fn initial() -> Self {
        let incarnation = |host| Incarnation {
            host,
            port: u16::from(host),
            is_alive: true,
            held: [Some(FIRST_VERSION); LIMIT_TICKS + 1],
        };
        Self {
            incarnations: (0..HOSTS).map(incarnation).collect(),
            log: vec![Some((0..usize::from(HOSTS)).collect())],
            heads: [FIRST_VERSION; LIMIT_TICKS + 1],
            accepted: Vec::new(),
            has_reverted: false,
        }
    }

    fn witness(&self, index: usize) -> Witness {
        let incarnation = &self.incarnations[index];
        Witness {
            host: incarnation.host.to_string(),
            incarnation: index.to_string(),
            zone: "z".to_owned(),
            gossip: SocketAddr::from(([10, 0, 0, 1], incarnation.port)),
        }
    }

    fn sets(&self, rules: Rules) -> History {
        let mut history = History::default();
        for (offset, indices) in self.log.iter().enumerate() {
            let Some(indices) = indices else { continue };
            let members = indices.iter().map(|index| {
                let mut witness = self.witness(*index);
                if rules == Rules::AddressIgnored {
                    witness.gossip.set_port(0);
                }
                witness
            });
            let set = Set {
                members: members.collect(),
            };
            history.push(FIRST_VERSION + offset as u64, set);
        }
        history
    }

    fn standing(&self, witness: &Witness) -> Standing {
        let index: usize = witness
            .incarnation
            .parse()
            .expect("an incarnation is a number");
        match self.incarnations[index].held[0] {
            _ if !self.incarnations[index].is_alive => Standing::Ended,
            Some(version) => Standing::Has(version),
            None => Standing::Unknown,
        }
    }

    /// Records which versions are accepted, as early as any host could know.
    fn update_accepted(&mut self, rules: Rules) {
        let mut sets = self.sets(rules);
        if rules == Rules::NewestSetOnly {
            let newest = sets.newest().cloned().expect("the first version has a set");
            sets = History::new(vec![(FIRST_VERSION, newest)]);
        }
        for offset in 0..self.accepted.len() {
            let version = FIRST_VERSION + 1 + offset as u64;
            let standing = |witness: &Witness| self.standing(witness);
            if self.accepted[offset].is_none() && is_accepted(version, &sets, &standing) {
                self.accepted[offset] = Some(0);
            }
        }
    }

    /// Returns the newest statement of an incarnation that it holds nothing above `version`.
    fn statement(&self, index: usize, version: u64) -> Option<Statement> {
        let held = self.incarnations[index].held.iter().enumerate();
        let mut usable = held.filter_map(|(ticks, held)| {
            let held = held.filter(|held| *held <= version)?;
            Some(statement(held, ticks))
        });
        usable.next()
    }

    fn attestations(&self, set: &Set, version: u64, rules: Rules) -> Vec<Option<Statement>> {
        let attestation = |index: usize| self.statement(index, version);
        let attested = set.members.iter().map(|member| {
            let index: usize = member
                .incarnation
                .parse()
                .expect("an incarnation is a number");
            if rules != Rules::HostsNotIncarnations {
                return attestation(index);
            }
            let host = self.incarnations[index].host;
            let indices =
                (0..self.incarnations.len()).filter(|index| self.incarnations[*index].host == host);
            indices
                .filter_map(attestation)
                .min_by_key(|statement| statement.age)
        });
        attested.collect()
    }

    /// Returns whether an incarnation may serve keyed requests.
    fn serves(&self, index: usize, rules: Rules) -> bool {
        let Some(version) = self.incarnations[index].held[0] else {
            return false;
        };
        let heads = self.heads.iter().enumerate();
        let mut proofs = heads.filter(|(_, head)| **head <= version);
        let store = proofs.next().map(|(ticks, head)| statement(*head, ticks));
        let sets = self.sets(Rules::Correct);
        let mut attestations = match sets.at(version) {
            Some(set) => self.attestations(set, version, rules),
            None => Vec::new(),
        };
        if rules == Rules::OneTooFew {
            attestations.extend([Some(statement(0, 0)); 2]);
        }
        age(version, store, &attestations).is_some()
    }

    /// Returns whether an incarnation serves an older version although a newer one was accepted
    /// longer ago than the limit, or a host went back to an older version.
    fn is_violated(&self, rules: Rules) -> bool {
        let newest = self
            .accepted
            .iter()
            .rposition(|since| *since > Some(LIMIT_TICKS));
        let Some(newest) = newest.map(|offset| FIRST_VERSION + 1 + offset as u64) else {
            return self.has_reverted;
        };
        let is_stale = |index: usize| {
            let held = self.incarnations[index].held[0];
            let is_old = held.is_some_and(|held| held < newest);
            self.incarnations[index].is_alive && is_old && self.serves(index, rules)
        };
        self.has_reverted || (0..self.incarnations.len()).any(is_stale)
    }

    fn successors(&self, rules: Rules, bounds: Bounds) -> Vec<State> {
        let mut next = vec![self.ticked(rules)];
        if self.heads[0] < FIRST_VERSION + bounds.commits {
            next.push(self.committed(None));
            next.extend((0..self.incarnations.len()).filter_map(|index| self.joined(index)));
        }
        for index in 0..self.incarnations.len() {
            next.extend(self.taken_up(index, rules));
            if self.incarnations.len() < usize::from(HOSTS) + bounds.restarts {
                next.extend(self.restarted(index, true));
                next.extend(self.restarted(index, false));
            }
        }
        next.iter_mut()
            .for_each(|state| state.update_accepted(rules));
        next
    }

    fn ticked(&self, rules: Rules) -> State {
        let mut next = self.clone();
        for incarnation in &mut next.incarnations {
            let oldest = incarnation.held[LIMIT_TICKS];
            incarnation.held.rotate_right(1);
            incarnation.held[0] = if incarnation.is_alive {
                incarnation.held[1]
            } else {
                None
            };
            if rules == Rules::NoExpiry {
                incarnation.held[LIMIT_TICKS] = oldest;
            }
        }
        next.heads.rotate_right(1);
        next.heads[0] = self.heads[0];
        for since in next.accepted.iter_mut().flatten() {
            *since = (*since + 1).min(LIMIT_TICKS + 1);
        }
        next
    }

    fn committed(&self, set: Option<Vec<usize>>) -> State {
        let mut next = self.clone();
        next.heads[0] += 1;
        next.log.push(set);
        next.accepted.push(None);
        next
    }

    /// Returns the state after an incarnation that has read the store's head joined the witnesses.
    fn joined(&self, index: usize) -> Option<State> {
        if !self.incarnations[index].is_alive {
            return None;
        }
        let sets = self.sets(Rules::Correct);
        let set = sets.newest()?.joined(&self.witness(index))?;
        let indices = set.members.iter().map(|member| member.incarnation.parse());
        let indices: Result<Vec<usize>, _> = indices.collect();
        let mut next = self.committed(Some(indices.expect("incarnations are numbers")));
        next.incarnations[index].held[0] = Some(next.heads[0]);
        Some(next)
    }

    fn taken_up(&self, index: usize, rules: Rules) -> Vec<State> {
        if !self.incarnations[index].is_alive {
            return Vec::new();
        }
        let held = self.incarnations[index].held[0].unwrap_or(0);
        let offers = FIRST_VERSION..=self.heads[0];
        let states = offers.filter_map(|offered| {
            let taken_up = if rules == Rules::Reverting {
                offered
            } else {
                take_up(held, offered)
            };
            if taken_up == held {
                return None;
            }
            let mut next = self.clone();
            next.has_reverted |= taken_up < held;
            next.incarnations[index].held[0] = Some(taken_up);
            Some(next)
        });
        states.collect()
    }

    /// Returns the state after a host restarted: at its address, which ends the old incarnation, or
    /// at a new one, which does not.
    fn restarted(&self, index: usize, in_place: bool) -> Option<State> {
        let old = &self.incarnations[index];
        let is_newest = !self.incarnations[index + 1..]
            .iter()
            .any(|later| later.host == old.host);
        if !old.is_alive || !is_newest {
            return None;
        }
        let mut next = self.clone();
        let new_port = u16::try_from(100 + self.incarnations.len()).expect("few incarnations");
        let port = if in_place { old.port } else { new_port };
        next.incarnations[index].is_alive &= !in_place;
        next.incarnations.push(Incarnation {
            host: old.host,
            port,
            is_alive: true,
            held: [None; LIMIT_TICKS + 1],
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
        &State::initial(),
        |state| state.successors(rules, bounds),
        |state| state.is_violated(rules),
    )
}

/// Returns a bound from the environment, such as `AGATE_MODEL_COMMITS` or `AGATE_MODEL_RESTARTS`,
/// to explore larger systems than those of the CI.
fn bound_from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[rstest]
#[case::two_changes_one_restart(2, 1)]
#[case::one_change_two_restarts(1, 2)]
#[case::as_asked_for(
    bound_from_env("AGATE_MODEL_COMMITS", 3),
    bound_from_env("AGATE_MODEL_RESTARTS", 0) as usize
)]
fn no_incarnation_serves_an_older_version_than_the_accepted_one(
    #[case] commits: u64,
    #[case] restarts: usize,
) {
    let bounds = Bounds { commits, restarts };
    let found = violation(Rules::Correct, bounds);
    assert!(found.is_none(), "violation: {found:#?}");
    let states = bfs_reach(State::initial(), |state| {
        state.successors(Rules::Correct, bounds)
    })
    .count();
    println!("{commits} changes, {restarts} restarts: {states} states");
    assert!(states > 1000);
}

#[rstest]
#[case(Rules::HostsNotIncarnations, 1, 1)]
#[case(Rules::OneTooFew, 1, 0)]
#[case(Rules::NewestSetOnly, 2, 2)]
#[case(Rules::AddressIgnored, 2, 1)]
#[case(Rules::NoExpiry, 1, 0)]
#[case(Rules::Reverting, 1, 0)]
fn broken_rule_leads_to_a_violation(
    #[case] rules: Rules,
    #[case] commits: u64,
    #[case] restarts: usize,
) {
    let bounds = Bounds { commits, restarts };
    let found = violation(rules, bounds).expect("the broken rule leads to a violation");
    println!("{rules:?}: violated after {} steps", found.len() - 1);
}
