//! Faults of endpoints.

use std::time::Duration;

use agate_model::endpoint::Kind;
use agate_retry::decision;

use super::engine::State;
use super::event::{EngineNo, Event};
use super::world::World;
use crate::experiment::{Experiment, What};

/// End of the last burst or begin of the last fault that ends with the
/// experiment, whichever is later.
pub(crate) fn last_disturbance(experiment: &Experiment) -> Duration {
    let within = |at: Duration| {
        if at < experiment.duration {
            at
        } else {
            Duration::ZERO
        }
    };
    let bursts = experiment.load.iter().flat_map(|load| &load.bursts);
    let bursts = bursts.map(|burst| within(burst.to));
    let faults = experiment.faults.iter().map(|fault| fault.from);
    bursts.chain(faults).max().unwrap_or_default()
}

impl World<'_> {
    pub(crate) fn begin_fault(&mut self, n: usize) {
        let experiment = self.experiment;
        match &experiment.faults[n].what {
            What::Slow { endpoint, factor } => self.engines[*endpoint].factor = *factor,
            What::Crash { endpoint } => self.take_down(*endpoint),
            What::Reclaim { zone, notice } => {
                self.lost_zones.push(zone.clone());
                for no in self.reclaimable_in(zone) {
                    self.set_leaving(no);
                }
                self.events.push(self.now + *notice, Event::Notice(n));
            }
        }
    }

    pub(crate) fn end_notice(&mut self, n: usize) {
        let experiment = self.experiment;
        if let What::Reclaim { zone, .. } = &experiment.faults[n].what {
            for no in self.reclaimable_in(zone) {
                self.take_down(no);
            }
        }
    }

    pub(crate) fn end_fault(&mut self, n: usize) {
        let experiment = self.experiment;
        match &experiment.faults[n].what {
            What::Slow { endpoint, .. } => self.engines[*endpoint].factor = 1.0,
            What::Crash { endpoint } => {
                self.engines[*endpoint].state = State::Up;
                self.announce(*endpoint);
            }
            What::Reclaim { zone, .. } => self.lost_zones.retain(|it| it != zone),
        }
    }

    /// Hosts learn at once that an endpoint is leaving.
    pub(crate) fn set_leaving(&mut self, no: EngineNo) {
        let engine = &mut self.engines[no];
        if engine.state == State::Up {
            engine.state = State::Leaving;
        }
        for host in &mut self.hosts {
            host.placement.set_leaving(&engine.endpoint.id);
        }
    }

    fn reclaimable_in(&self, zone: &str) -> Vec<EngineNo> {
        let engines = self.engines.iter().enumerate();
        let lost = engines.filter(|(_, it)| {
            it.endpoint.kind == Kind::Reclaimable
                && it.endpoint.zone == zone
                && it.state != State::Down
        });
        lost.map(|(no, _)| no).collect()
    }

    /// An engine goes down with all its work. Crashed ones stay in the lists of
    /// the hosts, reclaimed ones are removed.
    fn take_down(&mut self, no: EngineNo) {
        let engine = &mut self.engines[no];
        let is_reclaimed = engine.state == State::Leaving;
        engine.state = State::Down;
        let lost = engine.crash();
        for key in lost {
            self.break_off(key, decision::Outcome::Failed);
        }
        if is_reclaimed {
            self.forget(no);
        }
    }

    pub(crate) fn forget(&mut self, no: EngineNo) {
        let id = &self.engines[no].endpoint.id;
        for host in &mut self.hosts {
            host.placement.remove(id);
        }
    }
}
