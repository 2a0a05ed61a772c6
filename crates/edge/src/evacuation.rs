//! Availability zones that the operators have evacuated. Their endpoints get no requests until the
//! zone is taken back.
//!
//! An evacuation is a row of the configuration's table, which hosts read from the store or from each
//! other. What a host has read from one source may be older than what it has from another, so each
//! zone keeps the revision of its newest known change.
//!
//! A store that returns from an older copy may have lost an evacuation, or that a zone was taken back. What was in force
//! before stays so for a while, in which the operators can write it again.

use std::collections::{BTreeMap, HashSet};

use agate_model::id::{Revision, ZoneId};
use agate_store::interface::Change;
use agate_wire::table::Check;
use bytes::Bytes;
use tokio::time::Instant;

use crate::config::Scale;
use crate::edge::Edge;
use crate::metrics::count;
use crate::sabotage::{self, Variant};

/// Newest known change of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    /// Revision of the row, or up to which it is known to be removed.
    revision: Revision,
    /// Whether the row exists.
    is_listed: bool,
    /// Whether the zone is evacuated. It differs from the row while the store may have lost a change.
    is_evacuated: bool,
}

/// Zones with the newest known change of their evacuation.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneId, State>,
    /// Revision of the newest known change; 0 before the first.
    newest: Revision,
    /// Revision up to which all changes are known.
    complete: Revision,
    /// Whether the next snapshot is the first one after a return of the store from an older copy.
    is_returned: bool,
    /// When the rows count whatever was in force before; `None` if they do.
    hold_until: Option<Instant>,
}

impl Evacuations {
    /// Applies the change of a zone's row, unless a newer one is known. Returns whether the zone is
    /// evacuated or taken back by it.
    pub fn apply(&mut self, zone: &ZoneId, is_evacuated: bool, revision: Revision) -> bool {
        self.newest = self.newest.max(revision);
        self.complete = self.complete.max(revision);
        let before = self.zones.get(zone).copied();
        if before.is_some_and(|before| before.revision >= revision) {
            return false;
        }
        let state = State {
            revision,
            is_listed: is_evacuated,
            is_evacuated,
        };
        self.zones.insert(zone.clone(), state);
        is_evacuated != before.is_some_and(|before| before.is_evacuated)
    }

    /// Applies all rows as they were at `revision`, with the revision of each. Returns whether a zone
    /// is evacuated or taken back by them.
    pub fn replace(&mut self, listed: &BTreeMap<ZoneId, Revision>, revision: Revision) -> bool {
        let complete = self.complete;
        let is_returned = std::mem::take(&mut self.is_returned);
        let mut is_changed = false;
        for (zone, state) in &mut self.zones {
            // A later change than the snapshot may have created the row.
            let is_gone = !state.is_listed && !state.is_evacuated;
            if is_gone || state.revision > revision || listed.contains_key(zone) {
                continue;
            }
            let is_held = state.is_evacuated && (is_returned || !state.is_listed);
            is_changed |= state.is_evacuated && !is_held;
            *state = State {
                revision,
                is_listed: false,
                is_evacuated: is_held,
            };
        }
        for (zone, row) in listed {
            // A newer snapshot than this one did not list the zone any more.
            let is_outdated = *row <= complete && !self.zones.contains_key(zone);
            if is_outdated {
                continue;
            }
            let is_held = is_returned && self.is_taken_back(zone);
            let is_applied = self.apply(zone, true, *row);
            if let Some(state) = self.zones.get_mut(zone)
                && is_held
            {
                state.is_evacuated = false;
            }
            is_changed |= is_applied && !is_held;
        }
        self.complete = self.complete.max(revision);
        is_changed
    }

    /// Records that the store has returned from an older copy; the next rows are the first ones after it. What
    /// is in force and differs from them stays so until `hold_until`.
    pub fn start_era(&mut self, hold_until: Instant) {
        self.is_returned = true;
        self.hold_until = Some(hold_until);
    }

    /// Lets the rows count once the hold time is over. Returns the zones that are evacuated or taken back by
    /// that.
    pub fn expire(&mut self, now: Instant) -> Vec<ZoneId> {
        if self.hold_until.is_none_or(|until| until > now) {
            return Vec::new();
        }
        self.hold_until = None;
        let changed: Vec<ZoneId> = self.held().cloned().collect();
        for state in self.zones.values_mut() {
            state.is_evacuated = state.is_listed;
        }
        changed
    }

    /// Returns when the rows count whatever was in force before; `None` if they do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.hold_until
    }

    /// Returns the zones for which something else is in force than their rows say.
    pub fn held(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.zones.iter();
        zones.filter_map(|(zone, state)| (state.is_evacuated != state.is_listed).then_some(zone))
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.zones.iter();
        zones.filter_map(|(zone, state)| state.is_evacuated.then_some(zone))
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_evacuated)
    }

    /// Returns the revision of a zone's row; `None` if there is no row.
    pub fn row_revision(&self, zone: &str) -> Option<Revision> {
        let state = self.zones.get(zone)?;
        state.is_listed.then_some(state.revision)
    }

    /// Returns whether a zone is known to be not evacuated any more.
    fn is_taken_back(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|state| !state.is_evacuated)
    }

    /// Returns the zones that have rows.
    fn listed(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.zones.iter();
        zones.filter_map(|(zone, state)| state.is_listed.then_some(zone))
    }

    /// Returns bounds and prices without those of evacuated zones, in which nothing is to be ordered.
    pub fn open_part(&self, scale: &Scale) -> Scale {
        let mut open = scale.clone();
        open.zone_prices.retain(|zone, _| !self.contains(zone));
        open
    }

    /// Returns the revision of the newest known change; 0 before the first.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns whether all changes up to a revision are known.
    pub fn is_complete(&self, revision: Revision) -> bool {
        self.complete >= revision
    }
}

impl Edge {
    /// Applies the change of a row of the configuration's table if it is that of an evacuation. Returns
    /// whether it is one.
    pub fn apply_evacuation(&self, change: &Change) -> bool {
        let Some(zone) = self.remote.decoder.evacuated_zone(&change.key) else {
            return false;
        };
        let is_evacuated = change.value.is_some();
        let is_changed = self
            .evacuations
            .borrow_mut()
            .apply(&zone, is_evacuated, change.revision);
        if is_changed {
            self.enforce_evacuations(change.revision);
        }
        true
    }

    /// Applies the evacuations among all rows of the configuration's table at `revision`.
    pub fn replace_evacuations(&self, rows: &[Change], revision: Revision) {
        let listed = rows.iter().filter(|row| row.value.is_some());
        let listed = listed.filter_map(|row| {
            let zone = self.remote.decoder.evacuated_zone(&row.key)?;
            Some((zone, row.revision))
        });
        let (is_changed, held) = {
            let mut evacuations = self.evacuations.borrow_mut();
            let is_changed = evacuations.replace(&listed.collect(), revision);
            let held: Vec<ZoneId> = evacuations.held().cloned().collect();
            (is_changed, held)
        };
        for zone in held {
            count(&self.metrics.changes, "evacuation_held");
            tracing::warn!(
                event = "evacuation_held",
                is_evacuated = self.evacuations.borrow().contains(&zone),
                zone,
                revision,
                reason = "the store has returned from an older copy that may lack a change",
            );
        }
        if is_changed {
            self.enforce_evacuations(revision);
        }
    }

    /// Holds the evacuations in force for a while, since the store has returned from an older copy.
    pub fn hold_evacuations(&self) {
        let hold_time = {
            let bounds = &self.settings.borrow().bounds;
            bounds.apply + bounds.drain
        };
        let hold_until = Instant::now() + hold_time;
        self.evacuations.borrow_mut().start_era(hold_until);
    }

    /// Puts the rows of evacuations in force whose hold time is over. Returns when that is next due; `None`
    /// if no row is held.
    pub fn release_evacuations(&self) -> Option<Instant> {
        let (changed, newest) = {
            let mut evacuations = self.evacuations.borrow_mut();
            let changed = evacuations.expire(Instant::now());
            (changed, evacuations.newest())
        };
        if !changed.is_empty() {
            tracing::warn!(
                event = "evacuations_released",
                zones = ?changed,
                reason = "nothing was written again while they were held",
            );
            self.enforce_evacuations(newest);
        }
        self.evacuations.borrow().next_expiry()
    }

    /// Puts changed evacuations in force for new requests and those that wait.
    fn enforce_evacuations(&self, revision: Revision) {
        let zones: HashSet<ZoneId> = self.evacuations.borrow().zones().cloned().collect();
        count(&self.metrics.changes, "evacuation");
        let evacuated = i64::try_from(zones.len()).unwrap_or(i64::MAX);
        self.metrics.evacuated_zones.set(evacuated);
        tracing::info!(event = "zones_evacuated", zones = ?zones, revision);
        if !sabotage::is(Variant::IgnoreEvacuations) {
            self.board.borrow_mut().evacuate(Instant::now(), zones);
        }
        self.wake_queues();
    }

    /// Returns the rows of evacuations, for other hosts. Each host holds by itself what differs from them.
    pub fn evacuation_rows(&self) -> Vec<Change> {
        let evacuations = self.evacuations.borrow();
        let rows = evacuations.listed().filter_map(|zone| {
            Some(Change {
                key: self.remote.decoder.evacuation_row(zone),
                value: Some(Bytes::from_static(b"{}")),
                revision: evacuations.row_revision(zone)?,
            })
        });
        rows.collect()
    }

    /// Returns the conditions under which no row of an evacuation is newer than those known; none if no zone
    /// is ever evacuated.
    pub fn evacuation_checks(&self) -> Vec<Check> {
        let settings = self.settings.borrow();
        let Some(evacuation) = &settings.evacuation else {
            return Vec::new();
        };
        let evacuations = self.evacuations.borrow();
        let decoder = &self.remote.decoder;
        let (table, _) = decoder.config_row();
        let checks = evacuation.zones.keys().map(|zone| Check {
            table: table.to_owned(),
            key: decoder.evacuation_row(zone),
            revision: evacuations.row_revision(zone),
        });
        checks.collect()
    }
}
