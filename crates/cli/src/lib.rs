//! Command line of masticstair for operators and users.
