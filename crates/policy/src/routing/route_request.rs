use masticstair_core::prelude::*;

/// Attempt that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Endpoints that earlier attempts at this stage used.
    pub tried: &'a [EndpointId],
    /// True for a hedge, which runs in parallel to another attempt: a tried or ejected endpoint is of
    /// no use.
    pub hedge: bool,
    /// True if the attempt may be used to probe an ejected endpoint: it can be retried, and the
    /// deadline leaves enough time for that.
    pub may_probe: bool,
}
