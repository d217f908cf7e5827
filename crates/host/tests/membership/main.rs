//! The membership over real loopback connections.

#![allow(clippy::unwrap_used)]

mod bundles;
mod cluster;
mod endpoints;
mod hosts;
#[path = "../../../net/tests/common/link.rs"]
mod link;
