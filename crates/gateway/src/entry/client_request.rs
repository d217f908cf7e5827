use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::catalog::Route;
use masticstair_core::prelude::*;
use std::sync::Arc;
use std::time::Duration;

use crate::front_end::RequestMeta;

/// How many times its objective a client waits for the first event of a stream.
const FIRST_EVENT_OBJECTIVES: u32 = 4;

/// How many times the longest pause that is on time it waits for an event.
const FIRST_EVENT_GAPS: u32 = 8;

/// The least time that it waits for an event.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_secs(2);

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
    /// Returns when the first event of a stream has to be there: clients give up before their deadline when
    /// nothing comes.
    pub(crate) fn first_event_by(&self) -> Timestamp {
        let objectives = self.route.objective.duration() * FIRST_EVENT_OBJECTIVES;
        let gaps = self.route.gap.map(|gap| gap.duration() * FIRST_EVENT_GAPS).unwrap_or_default();
        let wait_limit = MIN_FIRST_EVENT_WAIT.max(objectives).max(gaps);
        self.deadline.min(self.arrived.plus(wait_limit))
    }

    /// Returns when an answer, or the first event of a stream, is on time.
    pub(crate) fn objective(&self) -> Timestamp {
        self.arrived.plus(self.route.objective.duration())
    }
}
