//! Active faults of a stand-in and the seeded choice of the requests that they affect.

use std::collections::BTreeMap;

use agate_wire::fault::Faults;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Effect of the active faults on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request is executed and its response returned.
    None,
    /// Status 503 is returned and the request is not executed.
    Error,
    /// The request is executed, and its connection closed instead of returning the response.
    LoseResponse,
    /// The request is not executed, and its connection is closed once the fault is lifted.
    Freeze,
    /// The request is not executed, and its connection is closed.
    Cut,
}

/// Faults of a stand-in and overrides for single interfaces, by first path segment.
#[derive(Debug)]
pub struct Set {
    global: Faults,
    interfaces: BTreeMap<String, Faults>,
    random: ChaCha8Rng,
}

impl Set {
    /// Creates a set without faults whose random choices follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            global: Faults::default(),
            interfaces: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the faults of all interfaces that have no override.
    pub fn global(&self) -> &Faults {
        &self.global
    }

    /// Sets the faults of one interface, or of all without an override if it is `None`.
    pub fn set(&mut self, interface: Option<&str>, faults: Faults) {
        match interface {
            None => self.global = faults,
            Some(name) => {
                self.interfaces.insert(name.to_owned(), faults);
            }
        }
    }

    /// Returns the faults that apply to a path: those of its interface, else the global ones.
    pub fn for_path(&self, path: &str) -> &Faults {
        let interface = path.trim_start_matches('/').split('/').next();
        interface
            .and_then(|name| self.interfaces.get(name))
            .unwrap_or(&self.global)
    }

    /// Draws the effect on a request at random; `cut` and `frozen` take precedence over the rates.
    pub fn draw(&mut self, path: &str) -> Effect {
        let faults = self.for_path(path);
        let (error_rate, response_loss_rate) = (faults.error_rate, faults.lose_answer_rate);
        if faults.cut {
            return Effect::Cut;
        }
        if faults.frozen {
            return Effect::Freeze;
        }
        if self.chance(error_rate) {
            return Effect::Error;
        }
        if self.chance(response_loss_rate) {
            return Effect::LoseResponse;
        }
        Effect::None
    }

    fn chance(&mut self, rate: f64) -> bool {
        rate > 0.0 && self.random.random_bool(rate.clamp(0.0, 1.0))
    }
}
