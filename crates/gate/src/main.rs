//! Entry point of `agate-gate`.

fn main() {}
