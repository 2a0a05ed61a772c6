//! Queue of one request class.

use std::collections::{BTreeSet, HashMap};

use agate_model::id::{AccountId, ClassId, Tier};

use crate::flow;
use crate::item::Room;
use crate::ranking::{Counter, Ranking};

slotmap::new_key_type! {
    /// Identifies a class within one scheduler.
    pub(crate) struct Key;
}

/// Flows of one request class, and its counters that are compared with other classes.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) id: ClassId,
    /// Priority; 0 is the highest.
    pub(crate) tier: usize,
    /// Weight among the classes of the tier and in the reserve, at least 1.
    pub(crate) weight: u32,
    /// Requests that the class may queue, see [`crate::Item::queue_limit`].
    pub(crate) limit: usize,
    /// Whether requests of the class may run on reclaimable endpoints.
    pub(crate) reclaimable: bool,
    /// Number of queued requests.
    pub(crate) queued: usize,
    /// Sum of the weights of flows with queued requests.
    pub(crate) active_weight: u64,
    /// Service received, compared among the classes of the same tier.
    pub(crate) served: Counter,
    /// Starts received from the reserve, compared among all classes.
    pub(crate) reserved: Counter,
    /// Flows with queued requests, least served first.
    pub(crate) flows: Ranking<flow::Key>,
    /// Flows with queued requests, ordered by [`flow::Flow::finish`].
    pub(crate) finishes: BTreeSet<(Counter, flow::Key)>,
    /// Idle flows whose counter is still above [`Ranking::min_served`]; their state is kept.
    pub(crate) idle: BTreeSet<(Counter, flow::Key)>,
    /// Flow of each client account; `None` is the flow of open routes.
    pub(crate) flow_keys: HashMap<Option<AccountId>, flow::Key>,
}

impl Class {
    /// Creates a class of tier 0 and weight 1 that may queue nothing yet.
    pub(crate) fn new(id: ClassId) -> Self {
        Self {
            id,
            tier: 0,
            weight: 1,
            limit: 0,
            reclaimable: false,
            queued: 0,
            active_weight: 0,
            served: 0,
            reserved: 0,
            flows: Ranking::new(),
            finishes: BTreeSet::new(),
            idle: BTreeSet::new(),
            flow_keys: HashMap::new(),
        }
    }

    /// Returns whether an endpoint has room for a request of the class.
    pub(crate) fn fits(&self, room: Room) -> bool {
        let includes_tier =
            |lowest: Option<Tier>| lowest.is_some_and(|lowest| self.tier <= usize::from(lowest));
        includes_tier(room.standard) || (self.reclaimable && includes_tier(room.reclaimable))
    }

    /// Returns whether an endpoint has room for a request of the class if it counts as one of the
    /// highest tier.
    pub(crate) fn fits_as_top_tier(&self, room: Room) -> bool {
        room.standard.is_some() || (self.reclaimable && room.reclaimable.is_some())
    }

    /// Returns the flow that is most over its share, and by how much.
    pub(crate) fn most_over_share(&self) -> Option<(Counter, flow::Key)> {
        let &(finish, key) = self.finishes.last()?;
        Some((finish.saturating_sub(self.flows.min_served()), key))
    }
}
