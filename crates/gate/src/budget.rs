//! Retry budgets of the classes on this host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_model::class::Class;
use agate_model::id::ClassId;
use agate_model::refusal::Reason;
use agate_retry::backoff::Backoff;
use agate_retry::budget::Budget;
use agate_retry::decision::{self, History, Next, Outcome};

/// One budget for each class.
#[derive(Debug, Default)]
pub struct Budgets {
    classes: RefCell<HashMap<ClassId, Budget>>,
    backoff: Backoff,
}

impl Budgets {
    /// Counts a request.
    pub fn request(&self, class: &Class) {
        self.with(class, |budget| budget.request(now()));
    }

    /// Takes a hedge from the budget, if it allows one.
    pub fn hedge(&self, class: &Class) -> bool {
        self.with(class, |budget| budget.withdraw(now()))
    }

    /// Wait before the next attempt after `outcome`, or the reason for there being none.
    pub fn next(
        &self,
        class: &Class,
        outcome: Outcome,
        history: &History,
    ) -> Result<Duration, Reason> {
        let rng = &mut rand::rng();
        let next = self.with(class, |budget| {
            decision::next(now(), outcome, history, budget, &self.backoff, rng)
        });
        match next {
            Next::Retry { wait } | Next::Resume { wait, .. } => Ok(wait),
            Next::Fail(reason) => Err(reason),
        }
    }

    /// Wait before resume `number` of a stream.
    pub fn resume_wait(&self, number: u32) -> Duration {
        self.backoff.wait(number, &mut rand::rng())
    }

    fn with<T>(&self, class: &Class, action: impl FnOnce(&mut Budget) -> T) -> T {
        let mut classes = self.classes.borrow_mut();
        let budget = classes
            .entry(class.id.clone())
            .or_insert_with(|| Budget::new(class.retry_percent));
        budget.set_percent(class.retry_percent);
        action(budget)
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
