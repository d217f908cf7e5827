//! The replicated lease and fencing number of the order issuer.
