//! Tests of the membership over loopback connections.

#![allow(clippy::unwrap_used)]

#[path = "../support/loopback.rs"]
mod loopback;

mod bundles;
mod cluster;
mod endpoints;
mod hosts;
#[path = "../../../net/tests/common/link.rs"]
mod link;
