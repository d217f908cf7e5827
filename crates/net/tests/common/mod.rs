//! Stand-ins for the tests of the peer transport.

#![allow(dead_code)]

pub mod host;
pub mod link;
