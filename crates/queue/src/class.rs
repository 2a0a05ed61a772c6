//! Queue of one class.

use std::collections::{BTreeSet, HashMap};

use agate_model::id::{AccountId, ClassId, Tier};

use crate::flow;
use crate::item::Room;
use crate::share::{Counter, Share};

slotmap::new_key_type! {
    /// A class.
    pub(crate) struct Key;
}

/// Flows of one class and its counters among other classes.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) id: ClassId,
    pub(crate) tier: usize,
    pub(crate) weight: u32,
    pub(crate) limit: usize,
    /// Whether its work may run on reclaimable endpoints.
    pub(crate) reclaimable: bool,
    pub(crate) queued: usize,
    /// Sum of the weights of flows with queued requests.
    pub(crate) active_weight: u64,
    /// Service received, among the classes of its tier.
    pub(crate) served: Counter,
    /// Starts received from the reserve.
    pub(crate) reserved: Counter,
    pub(crate) flows: Share<flow::Key>,
    /// Flows with queued requests, by [`flow::Flow::finish`].
    pub(crate) finishes: BTreeSet<(Counter, flow::Key)>,
    /// Idle flows whose counter is above the floor.
    pub(crate) idle: BTreeSet<(Counter, flow::Key)>,
    pub(crate) names: HashMap<Option<AccountId>, flow::Key>,
}

impl Class {
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
            flows: Share::new(),
            finishes: BTreeSet::new(),
            idle: BTreeSet::new(),
            names: HashMap::new(),
        }
    }

    /// Whether there is room for its work.
    pub(crate) fn fits(&self, room: Room) -> bool {
        let has = |lowest: Option<Tier>| lowest.is_some_and(|it| self.tier <= usize::from(it));
        has(room.standard) || (self.reclaimable && has(room.reclaimable))
    }

    /// Whether there is room for its work if it counts as the highest tier.
    pub(crate) fn fits_urgently(&self, room: Room) -> bool {
        room.standard.is_some() || (self.reclaimable && room.reclaimable.is_some())
    }

    /// The flow most over its share, and how far it is over.
    pub(crate) fn heaviest(&self) -> Option<(Counter, flow::Key)> {
        let &(finish, key) = self.finishes.last()?;
        Some((finish.saturating_sub(self.flows.floor()), key))
    }
}
