//! Latency estimates from a host's own calls.
