//! Circuit breaker of an endpoint.
