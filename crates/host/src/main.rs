//! Daemon of masticstair.

fn main() {}
