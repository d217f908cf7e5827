//! Retries and hedges under a shared budget.
