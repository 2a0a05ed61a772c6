//! When slow idempotent calls are sent to a second endpoint.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use agate_model::id::ClassId;
use agate_retry::hedge::Delay;

/// Recent latencies by class.
#[derive(Debug, Default)]
pub struct Delays {
    classes: RefCell<HashMap<ClassId, Delay>>,
}

impl Delays {
    /// Wait before a hedge; `None` while too little is known.
    pub fn get(&self, class: &ClassId) -> Option<Duration> {
        self.classes.borrow().get(class).and_then(Delay::get)
    }

    /// Adds the latency of an answer.
    pub fn observe(&self, class: &ClassId, latency: Duration) {
        let mut classes = self.classes.borrow_mut();
        classes.entry(class.clone()).or_default().observe(latency);
    }
}
