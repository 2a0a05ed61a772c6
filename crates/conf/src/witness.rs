//! Witnesses: the members whose majority proves, without the store, that nothing newer was
//! accepted.
//!
//! A witness is one process incarnation of one host. A restarted host has lost what it took up,
//! so its new incarnation is no witness until the configuration names it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use agate_model::id::{HostId, Incarnation, Version, ZoneId};

/// Largest number of witnesses in a set.
pub const WITNESS_LIMIT: usize = 15;

/// One process incarnation of one host, as a set of witnesses names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Witness {
    /// Host on which the control process runs.
    pub host: HostId,
    /// Process incarnation of the control process.
    pub incarnation: Incarnation,
    /// Availability zone of the host; sets are kept spread over the zones.
    pub zone: ZoneId,
    /// Address on which it responds to gossip. Two live incarnations never share an address.
    pub gossip: SocketAddr,
}

/// The witnesses in force from one version on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Set {
    /// Members, ordered by host; empty if the configuration names no witness.
    pub members: Vec<Witness>,
}

impl Set {
    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the index of a process incarnation in `members`; `None` if it is no member.
    pub fn position(&self, host: &str, incarnation: &str) -> Option<usize> {
        self.members
            .iter()
            .position(|member| member.host == host && member.incarnation == incarnation)
    }

    /// Returns the set with `joining` in it, or `None` if the set stays as it is.
    ///
    /// An incarnation replaces the earlier one of its host. A full set takes a member of a less
    /// represented availability zone in place of one of the most represented.
    pub fn joined(&self, joining: &Witness) -> Option<Set> {
        if self.members.contains(joining) {
            return None;
        }
        let mut members = self.members.clone();
        if let Some(earlier) = members
            .iter()
            .position(|member| member.host == joining.host)
        {
            members.remove(earlier);
        } else if members.len() >= WITNESS_LIMIT {
            members.remove(self.surplus(&joining.zone)?);
        }
        members.push(joining.clone());
        members.sort();
        Some(Set { members })
    }

    /// Returns the set without a host, or `None` if the host has no member in it.
    pub fn without(&self, host: &str) -> Option<Set> {
        let members: Vec<Witness> = self
            .members
            .iter()
            .filter(|member| member.host != host)
            .cloned()
            .collect();
        (members.len() < self.members.len()).then_some(Set { members })
    }

    /// Returns the index of a member of the most represented zone, or `None` unless `zone` has at
    /// least two fewer members than that.
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
        self.members
            .iter()
            .rposition(|member| member.zone == largest)
    }
}

/// The sets of the versions that some host may still hold, and the witnesses known to have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    sets: Vec<(Version, Set)>,
    ended: Vec<Witness>,
}

impl History {
    /// Creates a history from pairs of a set and the version from which it is in force, in
    /// ascending order.
    pub fn new(sets: Vec<(Version, Set)>) -> Self {
        Self {
            sets,
            ended: Vec::new(),
        }
    }

    /// Returns the incarnations that an operator declared as ended.
    pub fn ended(&self) -> &[Witness] {
        &self.ended
    }

    /// Records an incarnation that an operator declared as ended.
    pub fn end(&mut self, witness: Witness) {
        if !self.ended.contains(&witness) {
            self.ended.push(witness);
        }
    }

    /// Returns whether an incarnation has ended, by declaration or because another one has its
    /// address.
    pub fn has_ended(&self, witness: &Witness) -> bool {
        self.ended.contains(witness) || self.is_superseded(witness)
    }

    /// Returns the sets, each with the version from which it is in force, in ascending order.
    pub fn sets(&self) -> &[(Version, Set)] {
        &self.sets
    }

    /// Returns the set in force at `version`; `None` if the history starts later.
    pub fn at(&self, version: Version) -> Option<&Set> {
        self.sets
            .iter()
            .rfind(|(since, _)| *since <= version)
            .map(|(_, set)| set)
    }

    /// Returns the set in force at the newest version; `None` if the history is empty.
    pub fn newest(&self) -> Option<&Set> {
        self.sets.last().map(|(_, set)| set)
    }

    /// Records the set that a change puts in force from version `since` on.
    pub fn push(&mut self, since: Version, set: Set) {
        debug_assert!(self.sets.last().is_none_or(|(last, _)| *last < since));
        self.sets.push((since, set));
    }

    /// Returns the sets in force at some version below `version`.
    pub fn below(&self, version: Version) -> impl Iterator<Item = &Set> {
        self.sets
            .iter()
            .filter(move |(since, _)| *since < version)
            .map(|(_, set)| set)
    }

    /// Returns whether a later set names another incarnation of the same host at the same address.
    /// That incarnation could bind the address only after the earlier one had ended.
    pub fn is_superseded(&self, witness: &Witness) -> bool {
        let is_named = |set: &Set| set.members.contains(witness);
        let Some(last) = self.sets.iter().rposition(|(_, set)| is_named(set)) else {
            return false;
        };
        let later = self.sets[last + 1..]
            .iter()
            .flat_map(|(_, set)| &set.members);
        let is_successor =
            |member: &Witness| member.host == witness.host && member.gossip == witness.gossip;
        later.into_iter().any(is_successor)
    }

    /// Drops the sets that were replaced at or below an accepted version, and the ended
    /// incarnations that no remaining set names.
    pub fn prune(&mut self, accepted: Version) {
        let current = self
            .sets
            .iter()
            .rposition(|(since, _)| *since <= accepted)
            .unwrap_or(0);
        self.sets.drain(..current);
        let sets = &self.sets;
        let is_named =
            |witness: &Witness| sets.iter().any(|(_, set)| set.members.contains(witness));
        self.ended.retain(is_named);
    }
}
