use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::attempt_failure::AttemptFailure;

/// The most endpoints that a request is sent to. More would only add load while a service has a general problem.
const MAX_SENDS: usize = 4;

/// The most endpoints that are tried, among them those that refuse the connection. It bounds the connections that requests
/// open while a whole service is down.
const MAX_TRIES: usize = 16;

/// The endpoints that were tried for a request.
#[derive(Debug, Default)]
pub(super) struct TriedEndpoints {
    ids: SmallVec<[EndpointId; MAX_SENDS]>,
    /// The number of those that did not refuse the connection at once; such an endpoint got nothing and took no time.
    sends: usize,
}

impl TriedEndpoints {
    /// Returns the endpoints, which are not chosen again.
    pub(super) fn ids(&self) -> &[EndpointId] {
        &self.ids
    }

    /// Returns whether nothing was tried yet.
    pub(super) fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns whether no endpoint may have got anything.
    pub(super) fn is_unsent(&self) -> bool {
        self.sends == 0
    }

    /// Returns whether one more endpoint may be tried.
    pub(super) fn may_try_another(&self) -> bool {
        self.sends < MAX_SENDS && self.ids.len() < MAX_TRIES
    }

    /// Adds an endpoint, before the request is sent to it.
    pub(super) fn add(&mut self, endpoint: &EndpointId) {
        self.ids.push(endpoint.clone());
        self.sends += 1;
    }

    /// Records why the endpoint that was added last gave no answer.
    pub(super) fn record_failure(&mut self, failure: &AttemptFailure) {
        if failure.is_refused() {
            self.sends -= 1;
        }
    }
}
