//! The replicated table of calls that must not be repeated.
