//! What a host has seen last of each endpoint, to tell an endpoint that has ended from a call that has failed.

use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

/// How long an endpoint that has ended is not probed again. Many calls fail with it.
const END_RETENTION: Duration = Duration::from_secs(1);

/// How long an answer is remembered; longer than most calls last.
const ANSWER_RETENTION: Duration = Duration::from_secs(60);

/// The last answers and the recent ends of endpoints.
#[derive(Debug, Default)]
pub struct EndpointLiveness {
    /// When each endpoint last answered; those without an answer in `ANSWER_RETENTION` are removed.
    answers: HashMap<EndpointId, Timestamp>,
    /// When a process of an endpoint was found to have ended; removed after `END_RETENTION`.
    ends: HashMap<EndpointId, (Incarnation, Timestamp)>,
}

impl EndpointLiveness {
    /// Records that an endpoint has answered a call.
    pub fn record_answer(&mut self, now: Timestamp, endpoint: &EndpointId) {
        match self.answers.get_mut(endpoint) {
            Some(at) => *at = now,
            None => {
                self.answers.insert(endpoint.clone(), now);
            }
        }
    }

    /// Returns when an endpoint last answered a call, if that is remembered.
    pub fn last_answer(&self, endpoint: &EndpointId) -> Option<Timestamp> {
        self.answers.get(endpoint).copied()
    }

    /// Returns whether an endpoint has answered a call since `since`.
    pub fn has_answered(&self, endpoint: &EndpointId, since: Timestamp) -> bool {
        self.last_answer(endpoint).is_some_and(|at| at >= since)
    }

    /// Records that a process of an endpoint has ended.
    pub fn record_end(&mut self, now: Timestamp, endpoint: &EndpointId, incarnation: Incarnation) {
        self.ends.insert(endpoint.clone(), (incarnation, now));
    }

    /// Returns whether a process of an endpoint was found to have ended a short time ago.
    pub fn has_ended(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> bool {
        self.ends
            .get(endpoint)
            .is_some_and(|(ended, at)| *ended == incarnation && now.since(*at) < END_RETENTION)
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now: Timestamp) {
        self.answers.retain(|_, at| now.since(*at) < ANSWER_RETENTION);
        self.ends.retain(|_, (_, at)| now.since(*at) < END_RETENTION);
    }
}
