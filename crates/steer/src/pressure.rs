//! Pressure on pools, as gates and peers signal it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::id::PoolId;
use agate_wire::sync::Pressure;
use tokio::time::Instant;

/// Time for which a signal counts.
const LIFETIME: Duration = Duration::from_secs(3);

/// The strictest recent signal for each pool.
#[derive(Debug, Default)]
pub struct Floors {
    floors: RefCell<BTreeMap<PoolId, Floor>>,
}

#[derive(Debug)]
struct Floor {
    pressure: Pressure,
    at: Instant,
}

impl Floors {
    /// The lowest tier still admitted, for each pool under pressure.
    pub fn current(&self) -> Vec<Pressure> {
        let floors = self.floors.borrow();
        let is_young = |it: &&Floor| it.at.elapsed() < LIFETIME;
        let young = floors.values().filter(is_young);
        young.map(|it| it.pressure.clone()).collect()
    }

    /// Records pressure that was signalled at `at`.
    pub fn press(&self, pressure: Pressure, at: Instant) {
        let mut floors = self.floors.borrow_mut();
        let floor = floors
            .entry(pressure.pool.clone())
            .or_insert_with(|| Floor {
                pressure: pressure.clone(),
                at,
            });
        let is_stricter = pressure.floor <= floor.pressure.floor;
        let has_lapsed = floor.at.elapsed() >= LIFETIME;
        if has_lapsed || (is_stricter && at >= floor.at) {
            *floor = Floor { pressure, at };
        }
    }
}
