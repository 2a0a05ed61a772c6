//! Endpoint states handed to gates: ordered endpoints and those that take no new work.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use agate_model::id::EndpointId;
use agate_wire::manifest::Endpoint;
use agate_wire::sync::EndpointStates;

/// Who reported that an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// The platform's list.
    Platform,
    /// The list of ordered endpoints.
    Orders,
    /// Gossip.
    Gossip,
}

/// The states, with a revision that grows with every change. It starts at a random number,
/// so that a gate that turns to another process does not take its states for known.
#[derive(Debug)]
pub struct Board {
    state: RefCell<State>,
}

impl Default for Board {
    fn default() -> Self {
        let state = State {
            revision: u64::from(rand::random::<u32>()) << FIRST_REVISION_SHIFT,
            ..State::default()
        };
        Self {
            state: RefCell::new(state),
        }
    }
}

/// Bits below the random part of a revision.
const FIRST_REVISION_SHIFT: u32 = 20;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    ordered: Vec<Endpoint>,
    leaving: BTreeMap<Source, BTreeSet<EndpointId>>,
}

impl Board {
    /// Replaces the ordered endpoints that take work or will.
    pub fn set_ordered(&self, mut ordered: Vec<Endpoint>) {
        ordered.sort_by(|a, b| a.id.cmp(&b.id));
        let mut state = self.state.borrow_mut();
        if state.ordered != ordered {
            state.ordered = ordered;
            state.revision += 1;
        }
    }

    /// Replaces the leaving endpoints that one source reports.
    pub fn set_leaving(&self, source: Source, leaving: BTreeSet<EndpointId>) {
        let mut state = self.state.borrow_mut();
        if state.leaving.get(&source) != Some(&leaving) {
            state.leaving.insert(source, leaving);
            state.revision += 1;
        }
    }

    /// Adds one leaving endpoint; whether it is new.
    pub fn add_leaving(&self, source: Source, endpoint: EndpointId) -> bool {
        let mut state = self.state.borrow_mut();
        let is_new = state.leaving.entry(source).or_default().insert(endpoint);
        state.revision += u64::from(is_new);
        is_new
    }

    /// Ordered endpoints.
    pub fn ordered(&self) -> Vec<Endpoint> {
        self.state.borrow().ordered.clone()
    }

    /// Endpoints that take no new work.
    pub fn leaving(&self) -> BTreeSet<EndpointId> {
        let state = self.state.borrow();
        state.leaving.values().flatten().cloned().collect()
    }

    /// The states for a gate that has `revision`, or `None` if nothing changed.
    pub fn since(&self, revision: u64) -> Option<EndpointStates> {
        if self.state.borrow().revision == revision {
            return None;
        }
        Some(EndpointStates {
            revision: self.state.borrow().revision,
            ordered: self.ordered(),
            leaving: self.leaving().into_iter().collect(),
        })
    }
}
