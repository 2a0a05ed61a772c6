//! Retry budgets, hedges, backoff and proof that a request was not executed.
//!
//! An [`attempt::Unsent`] is the only source of [`attempt::NotRun`]; sending
//! consumes it. [`decision::next`] decides what follows a failed attempt.

pub mod attempt;
pub mod backoff;
pub mod budget;
pub mod decision;
pub mod hedge;
