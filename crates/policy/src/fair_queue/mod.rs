//! Weighted fair queueing over client accounts.
