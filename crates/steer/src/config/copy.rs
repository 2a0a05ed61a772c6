//! This host's copy of the configuration, whose version never decreases.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use agate_conf::acceptance::take_up;
use agate_conf::freshness::{Evidence, Statement};
use agate_conf::witness::{History, Set, Witness};
use agate_model::finding::Report;
use agate_model::id::Version;
use agate_model::resource::Change;
use agate_model::snapshot::{Gap, Snapshot};
use agate_wire::change;
use agate_wire::peer::{self, Entry, WitnessSet};
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of recent entries kept for hosts and gates that are behind; those further behind get a
/// full copy.
const ENTRY_LIMIT: usize = 256;

/// Reason why entries or a full copy were not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The entry's version doesn't follow this copy's; entries in between are missing.
    #[error(transparent)]
    Gap(#[from] Gap),
    /// A change or snapshot can't be decoded, for example because a newer program version wrote it.
    #[error("change cannot be read: {0}")]
    Unreadable(#[from] Report),
}

/// Configuration in force with its witness sets, the recent entries, and the evidence that it is
/// current.
#[derive(Debug)]
pub struct Copy {
    state: RefCell<State>,
    version: watch::Sender<Version>,
}

#[derive(Debug, Default)]
struct State {
    snapshot: Rc<Snapshot>,
    sets: History,
    entries: VecDeque<Entry>,
    evidence: Evidence,
    accepted: Version,
    head: Version,
}

impl Default for Copy {
    fn default() -> Self {
        Self {
            state: RefCell::default(),
            version: watch::Sender::new(0),
        }
    }
}

impl Copy {
    /// Returns the version of the snapshot in force; 0 before the first change.
    pub fn version(&self) -> Version {
        self.state.borrow().snapshot.version()
    }

    /// Returns the highest version known to exist, which is above [`Copy::version`] if this copy is
    /// behind.
    pub fn head(&self) -> Version {
        self.state.borrow().head.max(self.version())
    }

    /// Returns the highest version of this copy that is known to be accepted.
    pub fn accepted(&self) -> Version {
        self.state.borrow().accepted
    }

    /// Returns the resources in force.
    pub fn snapshot(&self) -> Rc<Snapshot> {
        Rc::clone(&self.state.borrow().snapshot)
    }

    /// Returns the witness sets that still count, with the versions from which they apply.
    pub fn sets(&self) -> History {
        self.state.borrow().sets.clone()
    }

    /// Returns a watch of the version. It may skip versions that are replaced quickly.
    pub fn watch(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Returns the age of the newest proof that this copy is current; `None` without a proof.
    pub fn proof_age(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let now = Instant::now().into_std();
        state
            .evidence
            .age(state.snapshot.version(), &state.sets, now)
    }

    /// Returns the newest proof read from the store, for relay to other hosts.
    pub fn store_proof(&self) -> Option<Statement> {
        let now = Instant::now().into_std();
        self.state.borrow().evidence.newest(now)
    }

    /// Returns the newest attestation of each member of the newest witness set, in the set's order,
    /// for relay to other hosts.
    pub fn attestations(&self) -> Vec<Option<Statement>> {
        let state = self.state.borrow();
        let now = Instant::now().into_std();
        match state.sets.newest() {
            Some(set) => state.evidence.attestations(set, now),
            None => Vec::new(),
        }
    }

    /// Returns the newest witness set; empty if there is none.
    pub fn witnesses(&self) -> Set {
        self.state
            .borrow()
            .sets
            .newest()
            .cloned()
            .unwrap_or_default()
    }

    /// Records that the store's head was `head` at some time after `at`, and drops superseded
    /// evidence.
    pub fn observe(&self, head: Version, at: Instant) {
        let mut state = self.state.borrow_mut();
        state.head = state.head.max(head);
        state.evidence.observe(head, at.into_std());
        let sets = state.sets.clone();
        state.evidence.prune(&sets, Instant::now().into_std());
    }

    /// Records that a witness had `version` at some time after `at`.
    pub fn attest(&self, witness: Witness, version: Version, at: Instant) {
        let mut state = self.state.borrow_mut();
        state.head = state.head.max(version);
        state.evidence.attest(witness, version, at.into_std());
    }

    /// Records that `version` exists, for example because a peer named it.
    pub fn note_version(&self, version: Version) {
        let mut state = self.state.borrow_mut();
        state.head = state.head.max(version);
    }

    /// Records that `version` was accepted, up to the version of this copy.
    pub fn accept(&self, version: Version) {
        let mut state = self.state.borrow_mut();
        let accepted = version.min(state.snapshot.version());
        if accepted > state.accepted {
            state.accepted = accepted;
            state.sets.prune(accepted);
        }
    }

    /// Applies entries that continue this copy and skips older ones. Entries before the first error
    /// stay applied.
    pub fn extend(&self, entries: Vec<Entry>) -> Result<(), Error> {
        let before = self.version();
        let mut outcome = Ok(());
        for entry in entries {
            outcome = self.state.borrow_mut().append(entry);
            if outcome.is_err() {
                break;
            }
        }
        self.notify(before);
        outcome
    }

    /// Replaces everything by a full copy, unless that is no newer. Clears the recent entries.
    pub fn replace(&self, copy: peer::Configuration) -> Result<(), Error> {
        let before = self.version();
        if take_up(before, copy.snapshot.version) == before {
            return Ok(());
        }
        let snapshot: Snapshot = copy.snapshot.try_into()?;
        let sets = copy.witnesses.into_iter().map(versioned_set).collect();
        let mut state = self.state.borrow_mut();
        state.snapshot = Rc::new(snapshot);
        state.sets = History::new(sets);
        let ended = copy.ended.into_iter().map(conf_witness);
        ended.for_each(|witness| state.sets.end(witness));
        state.entries.clear();
        drop(state);
        self.notify(before);
        Ok(())
    }

    /// Returns the entries above `version`, or `None` if some are no longer kept.
    pub fn entries_above(&self, version: Version) -> Option<Vec<Entry>> {
        let state = self.state.borrow();
        let missing = state.snapshot.version().saturating_sub(version);
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let skipped = state.entries.len().checked_sub(missing)?;
        Some(state.entries.iter().skip(skipped).cloned().collect())
    }

    /// Returns the full copy in serialized form, for peers and stored snapshots.
    pub fn export(&self) -> peer::Configuration {
        let state = self.state.borrow();
        let wire_set = |(since, set): &(Version, Set)| WitnessSet {
            since: *since,
            members: set.members.iter().cloned().map(peer_witness).collect(),
        };
        peer::Configuration {
            snapshot: change::Snapshot::from(&*state.snapshot),
            witnesses: state.sets.sets().iter().map(wire_set).collect(),
            ended: state
                .sets
                .ended()
                .iter()
                .cloned()
                .map(peer_witness)
                .collect(),
        }
    }

    fn notify(&self, before: Version) {
        let version = self.version();
        if version > before {
            self.version.send_replace(version);
        }
    }
}

impl State {
    fn append(&mut self, entry: Entry) -> Result<(), Error> {
        let current = self.snapshot.version();
        let offered = entry.change.version;
        if take_up(current, offered) == current {
            return Ok(());
        }
        let change: Change = entry.change.clone().try_into()?;
        Rc::make_mut(&mut self.snapshot).apply(change)?;
        if let Some(members) = &entry.witnesses {
            let members = members.iter().cloned().map(conf_witness).collect();
            self.sets.push(offered, Set { members });
        }
        let ended = entry.ended.iter().cloned().map(conf_witness);
        ended.for_each(|witness| self.sets.end(witness));
        self.entries.push_back(entry);
        if self.entries.len() > ENTRY_LIMIT {
            self.entries.pop_front();
        }
        Ok(())
    }
}

fn versioned_set(set: WitnessSet) -> (Version, Set) {
    let members = set.members.into_iter().map(conf_witness).collect();
    (set.since, Set { members })
}

/// Converts a witness from its serialized form.
pub fn conf_witness(witness: peer::Witness) -> Witness {
    Witness {
        host: witness.host,
        incarnation: witness.incarnation,
        zone: witness.zone,
        gossip: witness.gossip,
    }
}

/// Converts a witness to its serialized form.
pub fn peer_witness(witness: Witness) -> peer::Witness {
    peer::Witness {
        host: witness.host,
        incarnation: witness.incarnation,
        zone: witness.zone,
        gossip: witness.gossip,
    }
}
