//! Entry point of `agate-load`.

fn main() {}
