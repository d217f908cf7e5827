//! HTTP server and client with bounds.
