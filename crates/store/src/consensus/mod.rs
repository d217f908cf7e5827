//! The replicated log: elections, replication, membership changes and reads.
