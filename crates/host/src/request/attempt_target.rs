use masticstair_core::prelude::*;
use std::net::SocketAddr;

/// The endpoint of an attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptTarget {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
}
