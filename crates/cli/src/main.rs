//! Command line of masticstair.

fn main() {}
