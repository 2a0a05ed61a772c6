//! Delays after which slow idempotent calls are hedged.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use agate_model::id::ClassId;
use agate_retry::hedge::Delay;

/// Hedge delays by class, derived from recent latencies.
#[derive(Debug, Default)]
pub struct Delays {
    classes: RefCell<HashMap<ClassId, Delay>>,
}

impl Delays {
    /// Returns the wait before a hedge; `None` until enough latencies of the class were observed.
    pub fn get(&self, class: &ClassId) -> Option<Duration> {
        self.classes.borrow().get(class).and_then(Delay::get)
    }

    /// Adds the latency of a delivered response.
    pub fn observe(&self, class: &ClassId, latency: Duration) {
        let mut classes = self.classes.borrow_mut();
        classes.entry(class.clone()).or_default().observe(latency);
    }
}
