//! Retry budgets of this host, by class.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_model::class::Class;
use agate_model::id::ClassId;
use agate_model::refusal::Reason;
use agate_retry::backoff::Backoff;
use agate_retry::budget::Budget;
use agate_retry::decision::{self, History, Next, Outcome};

/// Retry budgets by class, each created when its class is first used.
#[derive(Debug, Default)]
pub struct Budgets {
    classes: RefCell<HashMap<ClassId, Budget>>,
    backoff: Backoff,
}

impl Budgets {
    /// Counts a request, which adds to the budget of its class.
    pub fn request(&self, class: &Class) {
        self.with_budget(class, |budget| budget.request(now()));
    }

    /// Withdraws one hedge from the budget of the class. Returns whether the budget allows it.
    pub fn hedge(&self, class: &Class) -> bool {
        self.with_budget(class, |budget| budget.withdraw(now()))
    }

    /// Returns the wait before the next attempt after `outcome`, or the reason why no attempt
    /// follows.
    pub fn next(
        &self,
        class: &Class,
        outcome: Outcome,
        history: &History,
    ) -> Result<Duration, Reason> {
        let rng = &mut rand::rng();
        let next = self.with_budget(class, |budget| {
            decision::next(now(), outcome, history, budget, &self.backoff, rng)
        });
        match next {
            Next::Retry { wait } | Next::Resume { wait, .. } => Ok(wait),
            Next::Fail(reason) => Err(reason),
        }
    }

    /// Returns the backoff before the resume of a stream with this `number`.
    pub fn resume_wait(&self, number: u32) -> Duration {
        self.backoff.wait(number, &mut rand::rng())
    }

    fn with_budget<T>(&self, class: &Class, action: impl FnOnce(&mut Budget) -> T) -> T {
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
