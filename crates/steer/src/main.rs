//! Entry point of `agate-steer`.

fn main() {}
