//! Proof that a copy of the configuration is the newest accepted one, and the age of that proof.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_model::id::Version;
use agate_model::version::FRESHNESS_LIMIT;

use crate::witness::{History, Set, Witness};

/// A store proof or a witness's attestation, with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Statement {
    /// In a store proof the head that was read; in an attestation the version that the witness
    /// holds.
    pub version: Version,
    /// Time since a moment at which the statement was certainly true.
    pub age: Duration,
}

/// Returns the age of the newest proof that nothing above `version` was accepted, or `None` without
/// proof.
///
/// `attestations` holds one entry for each member of the set in force at `version`, `None` where a
/// member has made none. Without members there is no majority.
pub fn age(
    version: Version,
    store: Option<Statement>,
    attestations: &[Option<Statement>],
) -> Option<Duration> {
    let store = store
        .filter(|proof| proof.version <= version)
        .map(|proof| proof.age);
    let attested = majority_age(version, attestations);
    match (store, attested) {
        (Some(store), Some(attested)) => Some(store.min(attested)),
        (store, attested) => store.or(attested),
    }
}

/// Returns the age of the oldest attestation in the majority with the newest attestations.
fn majority_age(version: Version, attestations: &[Option<Statement>]) -> Option<Duration> {
    let mut ages: Vec<Duration> = attestations
        .iter()
        .flatten()
        .filter(|attestation| attestation.version <= version)
        .map(|attestation| attestation.age)
        .collect();
    ages.sort();
    let majority = attestations.len() / 2 + 1;
    ages.get(majority - 1).copied()
}

/// Store proofs and attestations that a host has collected.
///
/// Each is kept with a reading of the local monotonic clock, and was true at some time after it.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    store: Vec<(Version, Instant)>,
    attested: HashMap<Witness, (Version, Instant)>,
}

impl Evidence {
    /// Records that the store's head was `version` at some time after `at`. A proof is dropped if
    /// one at least as new shows the same or an older head.
    pub fn observe(&mut self, version: Version, at: Instant) {
        let is_dominated = |proof: &(Version, Instant)| proof.1 <= at && proof.0 >= version;
        if self
            .store
            .iter()
            .any(|proof| proof.1 >= at && proof.0 <= version)
        {
            return;
        }
        self.store.retain(|proof| !is_dominated(proof));
        self.store.push((version, at));
        self.store.sort_by_key(|(_, at)| *at);
    }

    /// Records that a witness held `version` at some time after `at`, unless a later attestation of
    /// the witness is recorded.
    pub fn attest(&mut self, witness: Witness, version: Version, at: Instant) {
        let entry = self.attested.entry(witness).or_insert((version, at));
        if entry.1 < at {
            *entry = (version, at);
        }
    }

    /// Drops the statements older than [`FRESHNESS_LIMIT`], and the attestations of witnesses that
    /// no set of `sets` names.
    pub fn prune(&mut self, sets: &History, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= FRESHNESS_LIMIT;
        self.store.retain(|(_, at)| is_fresh(*at));
        self.attested.retain(|witness, (_, at)| {
            is_fresh(*at)
                && sets
                    .sets()
                    .iter()
                    .any(|(_, set)| set.members.contains(witness))
        });
    }

    /// Returns the newest store proof, whatever its version; `None` if there is none.
    pub fn newest(&self, now: Instant) -> Option<Statement> {
        self.store.last().map(|proof| statement(*proof, now))
    }

    /// Returns the attestation of each member of `set`, in its order; `None` where there is none.
    pub fn attestations(&self, set: &Set, now: Instant) -> Vec<Option<Statement>> {
        set.members
            .iter()
            .map(|witness| {
                self.attested
                    .get(witness)
                    .map(|attestation| statement(*attestation, now))
            })
            .collect()
    }

    /// Returns the age of the newest proof that `version` is the newest accepted one, or `None`
    /// without proof. The witnesses are those of the set in force at `version`.
    pub fn age(&self, version: Version, sets: &History, now: Instant) -> Option<Duration> {
        let usable = self.store.iter().rfind(|(head, _)| *head <= version);
        let store = usable.map(|proof| statement(*proof, now));
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
