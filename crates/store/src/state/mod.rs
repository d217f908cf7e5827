//! The replicated state: run-once records, bundle history and issuer leases.
