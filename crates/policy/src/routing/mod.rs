//! Choice of the endpoint for an attempt.
