//! Test doubles for the peer transport: a host with simple handlers and a link with faults.

#![allow(dead_code)]

pub mod host;
pub mod link;
