//! Applies the faults of an experiment: slow, crashed and reclaimed endpoints.

use std::time::Duration;

use agate_model::endpoint::Kind;
use agate_retry::decision;

use super::engine::State;
use super::event::{EngineIndex, Event};
use super::world::World;
use crate::experiment::{Effect, Experiment};

/// Returns the end of the last burst that ends within the experiment or the start of the last
/// fault, whichever is later; zero if there is neither.
pub(crate) fn last_disturbance(experiment: &Experiment) -> Duration {
    let within_experiment = |at: Duration| {
        if at < experiment.duration {
            at
        } else {
            Duration::ZERO
        }
    };
    let bursts = experiment.load.iter().flat_map(|load| &load.bursts);
    let bursts = bursts.map(|burst| within_experiment(burst.to));
    let faults = experiment.faults.iter().map(|fault| fault.from);
    bursts.chain(faults).max().unwrap_or_default()
}

impl World<'_> {
    /// Applies the fault at position `n`.
    pub(crate) fn start_fault(&mut self, n: usize) {
        let experiment = self.experiment;
        match &experiment.faults[n].what {
            Effect::Slow { endpoint, factor } => self.engines[*endpoint].factor = *factor,
            Effect::Crash { endpoint } => self.take_down(*endpoint),
            Effect::Reclaim { zone, notice } => {
                self.lost_zones.push(zone.clone());
                for index in self.reclaimable_in(zone) {
                    self.set_leaving(index);
                }
                self.events.push(self.now + *notice, Event::NoticeEnd(n));
            }
        }
    }

    /// Takes away the reclaimable endpoints of the availability zone after their notice.
    pub(crate) fn end_notice(&mut self, n: usize) {
        let experiment = self.experiment;
        if let Effect::Reclaim { zone, .. } = &experiment.faults[n].what {
            for index in self.reclaimable_in(zone) {
                self.take_down(index);
            }
        }
    }

    /// Undoes the fault at position `n`. Reclaimed endpoints do not come back.
    pub(crate) fn end_fault(&mut self, n: usize) {
        let experiment = self.experiment;
        match &experiment.faults[n].what {
            Effect::Slow { endpoint, .. } => self.engines[*endpoint].factor = 1.0,
            Effect::Crash { endpoint } => {
                self.engines[*endpoint].state = State::Up;
                self.announce(*endpoint);
            }
            Effect::Reclaim { zone, .. } => self.lost_zones.retain(|lost| lost != zone),
        }
    }

    /// Lets an engine take no new work; the hosts know of it without delay.
    pub(crate) fn set_leaving(&mut self, index: EngineIndex) {
        let engine = &mut self.engines[index];
        if engine.state == State::Up {
            engine.state = State::Leaving;
        }
        for host in &mut self.hosts {
            host.placement.set_leaving(&engine.endpoint.id);
        }
    }

    /// Returns the reclaimable engines of an availability zone that are not down.
    fn reclaimable_in(&self, zone: &str) -> Vec<EngineIndex> {
        let engines = self.engines.iter().enumerate();
        let lost = engines.filter(|(_, engine)| {
            engine.endpoint.kind == Kind::Reclaimable
                && engine.endpoint.zone == zone
                && engine.state != State::Down
        });
        lost.map(|(index, _)| index).collect()
    }

    /// Takes an engine down; all its attempts fail. The hosts go on listing an engine that crashed
    /// and remove one that was reclaimed.
    fn take_down(&mut self, index: EngineIndex) {
        let engine = &mut self.engines[index];
        let is_reclaimed = engine.state == State::Leaving;
        engine.state = State::Down;
        let lost = engine.crash();
        for key in lost {
            self.fail_attempt(key, decision::Outcome::Failed);
        }
        if is_reclaimed {
            self.remove_from_hosts(index);
        }
    }

    /// Removes an engine from the endpoints known to the hosts.
    pub(crate) fn remove_from_hosts(&mut self, index: EngineIndex) {
        let id = &self.engines[index].endpoint.id;
        for host in &mut self.hosts {
            host.placement.remove(id);
        }
    }
}
