//! Durable storage: write-ahead log, snapshots, identity and the storage thread.
