//! Stand-ins for the tests of the peer transport.

pub mod link;
