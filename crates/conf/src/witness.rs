//! Witnesses: the members whose majority proves, without the store, that nothing newer was accepted.
//!
//! A witness is one run of one host. A restarted host has forgotten what it took
//! up, so its new run is no witness until the configuration names it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use agate_model::id::{HostId, Incarnation, Version, ZoneId};

/// Most witnesses of a configuration.
pub const WITNESS_LIMIT: usize = 15;

/// One run of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Witness {
    /// Host.
    pub host: HostId,
    /// Run of its control process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where it answers gossip. Two live runs never share an address.
    pub gossip: SocketAddr,
}

/// The witnesses in force from one version on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Set {
    /// Ordered by host.
    pub members: Vec<Witness>,
}

impl Set {
    /// Number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Position of a run.
    pub fn position(&self, host: &str, incarnation: &str) -> Option<usize> {
        self.members
            .iter()
            .position(|it| it.host == host && it.incarnation == incarnation)
    }

    /// The set with `joining` in it, or `None` if it stays as it is. A run replaces the
    /// earlier one of its host; a full set takes a member of a less represented
    /// availability zone in place of one of the most represented.
    pub fn joined(&self, joining: &Witness) -> Option<Set> {
        if self.members.contains(joining) {
            return None;
        }
        let mut members = self.members.clone();
        if let Some(at) = members.iter().position(|it| it.host == joining.host) {
            members.remove(at);
        } else if members.len() >= WITNESS_LIMIT {
            members.remove(self.surplus(&joining.zone)?);
        }
        members.push(joining.clone());
        members.sort();
        Some(Set { members })
    }

    /// The set without a host, or `None` if it was not in it.
    pub fn without(&self, host: &str) -> Option<Set> {
        let members: Vec<Witness> = self
            .members
            .iter()
            .filter(|it| it.host != host)
            .cloned()
            .collect();
        (members.len() < self.members.len()).then_some(Set { members })
    }

    /// A member of the most represented zone, if `zone` has at least two fewer.
    fn surplus(&self, zone: &str) -> Option<usize> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for member in &self.members {
            *counts.entry(&member.zone).or_default() += 1;
        }
        let own = counts.get(zone).copied().unwrap_or(0);
        let (largest, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        if count < own + 2 {
            return None;
        }
        self.members.iter().rposition(|it| it.zone == largest)
    }
}

/// The sets of the versions that some host may still have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    sets: Vec<(Version, Set)>,
    ended: Vec<Witness>,
}

impl History {
    /// A history from pairs of the first version and its set, in ascending order.
    pub fn new(sets: Vec<(Version, Set)>) -> Self {
        Self {
            sets,
            ended: Vec::new(),
        }
    }

    /// Runs that an operator declared as ended.
    pub fn ended(&self) -> &[Witness] {
        &self.ended
    }

    /// Records a run that an operator declared as ended.
    pub fn end(&mut self, witness: Witness) {
        if !self.ended.contains(&witness) {
            self.ended.push(witness);
        }
    }

    /// Whether a run has ended, by declaration or because another one has its address.
    pub fn has_ended(&self, witness: &Witness) -> bool {
        self.ended.contains(witness) || self.is_superseded(witness)
    }

    /// The pairs.
    pub fn sets(&self) -> &[(Version, Set)] {
        &self.sets
    }

    /// Set in force at `version`.
    pub fn at(&self, version: Version) -> Option<&Set> {
        self.sets
            .iter()
            .rfind(|(since, _)| *since <= version)
            .map(|(_, set)| set)
    }

    /// Set in force from the newest version on.
    pub fn newest(&self) -> Option<&Set> {
        self.sets.last().map(|(_, set)| set)
    }

    /// Records the set that a change put in force.
    pub fn push(&mut self, since: Version, set: Set) {
        debug_assert!(self.sets.last().is_none_or(|(last, _)| *last < since));
        self.sets.push((since, set));
    }

    /// Sets in force at some version below `version`.
    pub fn below(&self, version: Version) -> impl Iterator<Item = &Set> {
        self.sets
            .iter()
            .filter(move |(since, _)| *since < version)
            .map(|(_, set)| set)
    }

    /// Whether a later set names another run of the same host at the same address. That run
    /// could bind the address only after the earlier one had ended.
    pub fn is_superseded(&self, witness: &Witness) -> bool {
        let named = |set: &Set| set.members.contains(witness);
        let Some(last) = self.sets.iter().rposition(|(_, set)| named(set)) else {
            return false;
        };
        let later = self.sets[last + 1..]
            .iter()
            .flat_map(|(_, set)| &set.members);
        let is_successor = |it: &Witness| it.host == witness.host && it.gossip == witness.gossip;
        later.into_iter().any(is_successor)
    }

    /// Forgets the sets that were replaced at or below an accepted version.
    pub fn prune(&mut self, accepted: Version) {
        let current = self
            .sets
            .iter()
            .rposition(|(since, _)| *since <= accepted)
            .unwrap_or(0);
        self.sets.drain(..current);
        let sets = &self.sets;
        let is_named = |it: &Witness| sets.iter().any(|(_, set)| set.members.contains(it));
        self.ended.retain(is_named);
    }
}
