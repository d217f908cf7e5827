//! The endpoints with their incarnations and leases.
