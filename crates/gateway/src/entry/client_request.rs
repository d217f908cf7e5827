use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::catalog::Route;
use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stream_timing::StreamTiming;
use masticstair_policy::stream_versions::StreamWriter;
use std::cell::OnceCell;
use std::sync::Arc;

use crate::front_end::RequestMeta;

/// A request of a client with its route and account.
///
/// The route is that of the catalog in force when the request arrived; the request keeps it to its end.
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
    /// What wrote the first event of the stream that this request goes on with; none while there is no event.
    pub(crate) writer: Option<StreamWriter>,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    /// Since when the client waits for the answer, or for the next event of a stream.
    pub(crate) waits_since: Timestamp,
    /// The hard limit for the answer: the earlier of the client's timeout and the route's.
    pub(crate) deadline: Timestamp,
    /// Computed when it is needed first.
    pub(crate) content: OnceCell<RequestDigest>,
}

impl ClientRequest {
    /// Returns the limit for the next event of a stream: clients abandon a request before its deadline
    /// when they receive nothing.
    pub(crate) fn next_event_by(&self) -> Timestamp {
        self.timing().client_leaves()
    }

    /// Returns the time up to which an answer, or the next event of a stream, is to come.
    pub(crate) fn due(&self) -> Timestamp {
        self.timing().next_event_due(self.writer.is_some())
    }

    fn timing(&self) -> StreamTiming {
        StreamTiming {
            waits_since: self.waits_since,
            deadline: self.deadline,
            objective: self.route.objective.duration(),
            max_event_gap: self.route.max_event_gap.map(Millis::duration),
        }
    }

    /// Returns whether an endpoint may answer the request, as far as its software decides.
    pub(crate) fn may_use(&self, endpoint: &ServingEndpoint) -> bool {
        self.writer.as_ref().is_none_or(|writer| writer.may_continue(endpoint))
    }

    /// Returns the digest of what the request asks for.
    pub(crate) fn content(&self) -> RequestDigest {
        *self.content.get_or_init(|| {
            let account = self.account.as_ref();
            RequestDigest::of(self.method.as_str(), &self.target, account, &self.body)
        })
    }
}
