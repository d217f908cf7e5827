use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::catalog::Route;
use masticstair_core::prelude::*;
use std::sync::Arc;

use crate::front_end::RequestMeta;

/// A request of a client with all that its way depends on.
///
/// The route is that of the catalog in force when the request came; it stays with the request to its end.
pub(crate) struct ClientRequest {
    pub(crate) meta: RequestMeta,
    pub(crate) method: Method,
    /// The path with the query.
    pub(crate) target: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<AccountId>,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) arrived: Timestamp,
    /// When the answer has to be there; the earlier of what the client and the route allow.
    pub(crate) deadline: Timestamp,
}

impl ClientRequest {
    /// Returns when an answer, or the first event of a stream, is on time.
    pub(crate) fn objective(&self) -> Timestamp {
        self.arrived.plus(self.route.objective.duration())
    }
}
