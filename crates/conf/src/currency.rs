//! Proof that a copy of the configuration is the newest accepted one.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_model::id::Version;
use agate_model::version::FRESHNESS_LIMIT;

use crate::witness::{History, Set, Witness};

/// A statement about a version, and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Statement {
    /// In a store proof the head that was read; in an attestation the version that the witness has.
    pub version: Version,
    /// Time since a moment at which it was certainly true.
    pub age: Duration,
}

/// Age of the newest proof that nothing above `version` was accepted, or `None` without proof.
///
/// `attestations` holds one entry for each member of the set in force at `version`.
/// Without members there is no majority.
pub fn age(
    version: Version,
    store: Option<Statement>,
    attestations: &[Option<Statement>],
) -> Option<Duration> {
    let store = store.filter(|it| it.version <= version).map(|it| it.age);
    let attested = majority_age(version, attestations);
    match (store, attested) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (one, other) => one.or(other),
    }
}

/// Age of the oldest attestation of the youngest majority.
fn majority_age(version: Version, attestations: &[Option<Statement>]) -> Option<Duration> {
    let mut ages: Vec<Duration> = attestations
        .iter()
        .flatten()
        .filter(|it| it.version <= version)
        .map(|it| it.age)
        .collect();
    ages.sort();
    let majority = attestations.len() / 2 + 1;
    ages.get(majority - 1).copied()
}

/// Statements that a host has collected.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    store: Vec<(Version, Instant)>,
    attested: HashMap<Witness, (Version, Instant)>,
}

impl Evidence {
    /// Records that the store's head was `version` at some time after `at`.
    pub fn observe(&mut self, version: Version, at: Instant) {
        let dominated = |old: &(Version, Instant)| old.1 <= at && old.0 >= version;
        if self.store.iter().any(|old| old.1 >= at && old.0 <= version) {
            return;
        }
        self.store.retain(|old| !dominated(old));
        self.store.push((version, at));
        self.store.sort_by_key(|(_, at)| *at);
    }

    /// Records that a witness had `version` at some time after `at`.
    pub fn attest(&mut self, witness: Witness, version: Version, at: Instant) {
        let entry = self.attested.entry(witness).or_insert((version, at));
        if entry.1 < at {
            *entry = (version, at);
        }
    }

    /// Forgets what has lapsed, and attestations of others than `sets` names.
    pub fn prune(&mut self, sets: &History, now: Instant) {
        let is_young = |at: Instant| now.saturating_duration_since(at) <= FRESHNESS_LIMIT;
        self.store.retain(|(_, at)| is_young(*at));
        self.attested.retain(|witness, (_, at)| {
            is_young(*at)
                && sets
                    .sets()
                    .iter()
                    .any(|(_, set)| set.members.contains(witness))
        });
    }

    /// The newest store proof.
    pub fn newest(&self, now: Instant) -> Option<Statement> {
        self.store.last().map(|it| statement(*it, now))
    }

    /// Attestation of each member of `set`.
    pub fn attestations(&self, set: &Set, now: Instant) -> Vec<Option<Statement>> {
        set.members
            .iter()
            .map(|it| self.attested.get(it).map(|found| statement(*found, now)))
            .collect()
    }

    /// Age of the newest proof for a host that has `version`.
    pub fn age(&self, version: Version, sets: &History, now: Instant) -> Option<Duration> {
        let usable = self.store.iter().rfind(|(head, _)| *head <= version);
        let store = usable.map(|it| statement(*it, now));
        let attestations = match sets.at(version) {
            Some(set) => self.attestations(set, now),
            None => Vec::new(),
        };
        age(version, store, &attestations)
    }
}

fn statement((version, at): (Version, Instant), now: Instant) -> Statement {
    Statement {
        version,
        age: now.saturating_duration_since(at),
    }
}
