//! Endpoint states sent to gates: ordered endpoints, and endpoints that take no new work.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use agate_model::id::EndpointId;
use agate_wire::manifest::Endpoint;
use agate_wire::sync::EndpointStates;

/// Source of the report that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// The platform's list of hosts and endpoints.
    Platform,
    /// The platform's list of ordered endpoints.
    Orders,
    /// Rumours received by gossip.
    Gossip,
}

/// The states, with a revision that grows with every change. The revision starts at a random
/// number, so that a gate that switches to another process doesn't take its states for known.
#[derive(Debug)]
pub struct States {
    state: RefCell<State>,
}

impl Default for States {
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

/// Number of bits below the random part of the first revision, which leave room for changes.
const FIRST_REVISION_SHIFT: u32 = 20;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    ordered: Vec<Endpoint>,
    leaving: BTreeMap<Source, BTreeSet<EndpointId>>,
}

impl States {
    /// Replaces the ordered endpoints, starting ones excepted.
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

    /// Adds one leaving endpoint. Returns whether it is new for this source.
    pub fn add_leaving(&self, source: Source, endpoint: EndpointId) -> bool {
        let mut state = self.state.borrow_mut();
        let is_new = state.leaving.entry(source).or_default().insert(endpoint);
        state.revision += u64::from(is_new);
        is_new
    }

    /// Returns the ordered endpoints, sorted by id.
    pub fn ordered(&self) -> Vec<Endpoint> {
        self.state.borrow().ordered.clone()
    }

    /// Returns the endpoints that any source reports as leaving. They take no new work.
    pub fn leaving(&self) -> BTreeSet<EndpointId> {
        let state = self.state.borrow();
        state.leaving.values().flatten().cloned().collect()
    }

    /// Returns the states for a gate that has `revision`, or `None` if nothing changed.
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
