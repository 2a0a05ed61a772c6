//! Pressure on pools, as reported by gates and peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::id::PoolId;
use agate_wire::sync::Pressure;
use tokio::time::Instant;

/// Time after which a report of pressure expires.
const LIFETIME: Duration = Duration::from_secs(3);

/// The strictest recent report for each pool: the one with the lowest floor.
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
    /// Returns the lowest tier still admitted, for each pool with pressure that hasn't expired.
    pub fn current(&self) -> Vec<Pressure> {
        let floors = self.floors.borrow();
        let is_recent = |floor: &&Floor| floor.at.elapsed() < LIFETIME;
        let recent = floors.values().filter(is_recent);
        recent.map(|floor| floor.pressure.clone()).collect()
    }

    /// Records pressure that was reported at `at`. It replaces an expired report, or one that is no
    /// stricter and no newer.
    pub fn record(&self, pressure: Pressure, at: Instant) {
        let mut floors = self.floors.borrow_mut();
        let floor = floors
            .entry(pressure.pool.clone())
            .or_insert_with(|| Floor {
                pressure: pressure.clone(),
                at,
            });
        let is_stricter = pressure.floor <= floor.pressure.floor;
        let is_expired = floor.at.elapsed() >= LIFETIME;
        if is_expired || (is_stricter && at >= floor.at) {
            *floor = Floor { pressure, at };
        }
    }
}
