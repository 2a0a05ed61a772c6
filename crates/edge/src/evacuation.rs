//! Availability zones that the operators have evacuated. Their endpoints get no requests until the
//! zone is taken back.
//!
//! An evacuation is a row of the configuration's table, which hosts read from the store or from each
//! other. What a host has read from one source may be older than what it has from another, so each
//! zone keeps the revision of its newest known change.

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
            is_evacuated,
        };
        self.zones.insert(zone.clone(), state);
        is_evacuated != before.is_some_and(|before| before.is_evacuated)
    }

    /// Applies all rows as they were at `revision`, with the revision of each. Returns whether a zone
    /// is evacuated or taken back by them.
    pub fn replace(&mut self, listed: &BTreeMap<ZoneId, Revision>, revision: Revision) -> bool {
        let known: Vec<ZoneId> = self.zones().cloned().collect();
        let complete = self.complete;
        let mut is_changed = false;
        for zone in known.iter().filter(|zone| !listed.contains_key(*zone)) {
            // A later change than the snapshot may have created the row.
            if let Some(state) = self.zones.get_mut(zone)
                && state.revision <= revision
            {
                *state = State {
                    revision,
                    is_evacuated: false,
                };
                is_changed = true;
            }
        }
        for (zone, row) in listed {
            // A newer snapshot than this one did not list the zone any more.
            let is_outdated = *row <= complete && !self.zones.contains_key(zone);
            if !is_outdated {
                is_changed |= self.apply(zone, true, *row);
            }
        }
        self.complete = self.complete.max(revision);
        is_changed
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.zones.iter();
        zones.filter_map(|(zone, state)| state.is_evacuated.then_some(zone))
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.row_revision(zone).is_some()
    }

    /// Returns the revision of a zone's row; `None` if the zone is not evacuated.
    pub fn row_revision(&self, zone: &str) -> Option<Revision> {
        let state = self.zones.get(zone)?;
        state.is_evacuated.then_some(state.revision)
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
        let is_changed = self
            .evacuations
            .borrow_mut()
            .replace(&listed.collect(), revision);
        if is_changed {
            self.enforce_evacuations(revision);
        }
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

    /// Returns the rows of the evacuations in force, for other hosts.
    pub fn evacuation_rows(&self) -> Vec<Change> {
        let evacuations = self.evacuations.borrow();
        let rows = evacuations.zones().filter_map(|zone| {
            Some(Change {
                key: self.remote.decoder.evacuation_row(zone),
                value: Some(Bytes::from_static(b"{}")),
                revision: evacuations.row_revision(zone)?,
            })
        });
        rows.collect()
    }

    /// Returns the conditions under which no evacuation is newer than those in force; none if no zone
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
