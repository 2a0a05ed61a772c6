//! Retry budgets, hedges, backoff and proof that a request was not run.
