//! How old the state may be that a host acts by.

mod known_until;

pub use known_until::known_until;
