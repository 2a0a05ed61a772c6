//! Entry point of `agatectl`.

fn main() {}
