//! Entry point of `agate-fake`.

fn main() {}
