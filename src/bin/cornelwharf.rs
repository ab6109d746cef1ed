//! The command line of operators and owners.

fn main() {}
