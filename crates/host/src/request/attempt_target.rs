use masticstair_core::prelude::*;
use std::net::SocketAddr;

/// The endpoint that an attempt calls.
#[derive(Clone, Debug)]
pub(super) struct AttemptTarget {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
}
