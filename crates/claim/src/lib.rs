//! Claims that keep non-idempotent requests to one execution.
