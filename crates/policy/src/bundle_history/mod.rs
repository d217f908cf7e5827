//! The replicated table of bundles.
