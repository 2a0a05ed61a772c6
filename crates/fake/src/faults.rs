//! Faults in force, with seeded randomness.

use std::collections::BTreeMap;

use agate_wire::fault::Faults;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// What happens to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is carried out and answered.
    None,
    /// It is answered with 503 and not carried out.
    Error,
    /// It is carried out, and the answer is lost.
    LoseAnswer,
    /// It is neither carried out nor answered.
    Freeze,
    /// Its connection is closed.
    Cut,
}

/// Faults of a stand-in and of its single interfaces.
#[derive(Debug)]
pub struct Set {
    whole: Faults,
    interfaces: BTreeMap<String, Faults>,
    random: ChaCha8Rng,
}

impl Set {
    /// No faults.
    pub fn new(seed: u64) -> Self {
        Self {
            whole: Faults::default(),
            interfaces: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Faults of the whole stand-in.
    pub fn whole(&self) -> &Faults {
        &self.whole
    }

    /// Sets the faults of the whole stand-in, or those of one interface.
    pub fn set(&mut self, interface: Option<&str>, faults: Faults) {
        match interface {
            None => self.whole = faults,
            Some(name) => {
                self.interfaces.insert(name.to_owned(), faults);
            }
        }
    }

    /// Faults that apply to a path; those of its interface come first.
    pub fn of(&self, path: &str) -> &Faults {
        let interface = path.trim_start_matches('/').split('/').next();
        interface
            .and_then(|name| self.interfaces.get(name))
            .unwrap_or(&self.whole)
    }

    /// Draws what happens to a request.
    pub fn draw(&mut self, path: &str) -> Effect {
        let faults = self.of(path);
        let (error_rate, lose_rate) = (faults.error_rate, faults.lose_answer_rate);
        if faults.cut {
            return Effect::Cut;
        }
        if faults.frozen {
            return Effect::Freeze;
        }
        if self.chance(error_rate) {
            return Effect::Error;
        }
        if self.chance(lose_rate) {
            return Effect::LoseAnswer;
        }
        Effect::None
    }

    fn chance(&mut self, rate: f64) -> bool {
        rate > 0.0 && self.random.random_bool(rate.clamp(0.0, 1.0))
    }
}
