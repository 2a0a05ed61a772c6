//! This host's copy of the configuration. It never goes back.

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

/// Entries kept for hosts and gates that are behind.
const ENTRY_LIMIT: usize = 256;

/// Why entries were not taken up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An entry is missing in between.
    #[error(transparent)]
    Gap(#[from] Gap),
    /// An entry cannot be read, for example because a newer program wrote it.
    #[error("change cannot be read: {0}")]
    Unreadable(#[from] Report),
}

/// Configuration, recent entries and evidence.
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
    /// Version of this copy.
    pub fn version(&self) -> Version {
        self.state.borrow().snapshot.version()
    }

    /// Highest version known to exist; above [`Copy::version`] if this copy is behind.
    pub fn head(&self) -> Version {
        self.state.borrow().head.max(self.version())
    }

    /// Highest version known to be accepted.
    pub fn accepted(&self) -> Version {
        self.state.borrow().accepted
    }

    /// Resources in force.
    pub fn snapshot(&self) -> Rc<Snapshot> {
        Rc::clone(&self.state.borrow().snapshot)
    }

    /// Witness sets.
    pub fn sets(&self) -> History {
        self.state.borrow().sets.clone()
    }

    /// Signals every new version.
    pub fn watch(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Age of the newest proof that this copy is current.
    pub fn proof_age(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let now = Instant::now().into_std();
        state
            .evidence
            .age(state.snapshot.version(), &state.sets, now)
    }

    /// The newest store proof, for other hosts.
    pub fn store_proof(&self) -> Option<Statement> {
        let now = Instant::now().into_std();
        self.state.borrow().evidence.newest(now)
    }

    /// Attestation of each member of the newest witness set, for other hosts.
    pub fn attestations(&self) -> Vec<Option<Statement>> {
        let state = self.state.borrow();
        let now = Instant::now().into_std();
        match state.sets.newest() {
            Some(set) => state.evidence.attestations(set, now),
            None => Vec::new(),
        }
    }

    /// Members of the newest witness set.
    pub fn witnesses(&self) -> Set {
        self.state
            .borrow()
            .sets
            .newest()
            .cloned()
            .unwrap_or_default()
    }

    /// Records that the store's head was `head` at some time after `at`.
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

    /// Records that `version` exists.
    pub fn hear_of(&self, version: Version) {
        let mut state = self.state.borrow_mut();
        state.head = state.head.max(version);
    }

    /// Records that `version` was accepted.
    pub fn accept(&self, version: Version) {
        let mut state = self.state.borrow_mut();
        let known = version.min(state.snapshot.version());
        if known > state.accepted {
            state.accepted = known;
            state.sets.prune(known);
        }
    }

    /// Takes up entries that continue this copy; older ones are skipped.
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

    /// Takes up a whole copy, unless it is older.
    pub fn replace(&self, copy: peer::Copy) -> Result<(), Error> {
        let before = self.version();
        if take_up(before, copy.snapshot.version) == before {
            return Ok(());
        }
        let snapshot: Snapshot = copy.snapshot.try_into()?;
        let sets = copy.witnesses.into_iter().map(set).collect();
        let mut state = self.state.borrow_mut();
        state.snapshot = Rc::new(snapshot);
        state.sets = History::new(sets);
        let ended = copy.ended.into_iter().map(conf_witness);
        ended.for_each(|it| state.sets.end(it));
        state.entries.clear();
        drop(state);
        self.notify(before);
        Ok(())
    }

    /// Entries above `version`, or `None` if some are no longer kept.
    pub fn entries_above(&self, version: Version) -> Option<Vec<Entry>> {
        let state = self.state.borrow();
        let missing = state.snapshot.version().saturating_sub(version);
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let skipped = state.entries.len().checked_sub(missing)?;
        Some(state.entries.iter().skip(skipped).cloned().collect())
    }

    /// The whole copy.
    pub fn whole(&self) -> peer::Copy {
        let state = self.state.borrow();
        let pair = |(since, set): &(Version, Set)| WitnessSet {
            since: *since,
            members: set.members.iter().cloned().map(peer_witness).collect(),
        };
        peer::Copy {
            snapshot: change::Snapshot::from(&*state.snapshot),
            witnesses: state.sets.sets().iter().map(pair).collect(),
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
        let have = self.snapshot.version();
        let offered = entry.change.version;
        if take_up(have, offered) == have {
            return Ok(());
        }
        let change: Change = entry.change.clone().try_into()?;
        Rc::make_mut(&mut self.snapshot).apply(change)?;
        if let Some(members) = &entry.witnesses {
            let members = members.iter().cloned().map(conf_witness).collect();
            self.sets.push(offered, Set { members });
        }
        let ended = entry.ended.iter().cloned().map(conf_witness);
        ended.for_each(|it| self.sets.end(it));
        self.entries.push_back(entry);
        if self.entries.len() > ENTRY_LIMIT {
            self.entries.pop_front();
        }
        Ok(())
    }
}

fn set(it: WitnessSet) -> (Version, Set) {
    let members = it.members.into_iter().map(conf_witness).collect();
    (it.since, Set { members })
}

/// Domain form of a witness.
pub fn conf_witness(it: peer::Witness) -> Witness {
    Witness {
        host: it.host,
        incarnation: it.incarnation,
        zone: it.zone,
        gossip: it.gossip,
    }
}

/// Serialised form of a witness.
pub fn peer_witness(it: Witness) -> peer::Witness {
    peer::Witness {
        host: it.host,
        incarnation: it.incarnation,
        zone: it.zone,
        gossip: it.gossip,
    }
}
