use masticstair_core::prelude::*;

/// The attempt that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The endpoints that this stage has tried.
    pub tried: &'a [EndpointId],
    /// The attempt runs beside another one, so that a tried or ejected endpoint is of no use.
    pub hedge: bool,
    /// The attempt may serve as a probe of an ejected endpoint: it can be repeated, and its deadline
    /// leaves time for that.
    pub may_probe: bool,
}
