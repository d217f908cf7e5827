//! Times for which endpoints have asked this host to send them nothing.

mod pause;

use masticstair_core::prelude::*;
use pause::Pause;
use std::collections::HashMap;
use std::time::Duration;

/// The longest pause that is kept. An endpoint that asks for more is tried after it.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// How long other requests wait for the answer to the first one after a pause.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// How long a pause is remembered after its end if no request is sent.
const RETENTION: Duration = Duration::from_secs(60);

/// The limit on endpoints in the table; pauses of further ones are ignored.
const MAX_ENDPOINTS: usize = 4_096;

/// The pauses that endpoints have asked this host for. After a pause one request is sent, and the others only once an
/// endpoint has answered it.
#[derive(Debug, Default)]
pub struct EndpointPauses(HashMap<EndpointId, Pause>);

impl EndpointPauses {
    /// Records that an endpoint wants nothing from this host for a time. Returns whether it was not in a pause before.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        duration: Millis,
    ) -> bool {
        let until = now.plus(duration.duration().min(MAX_PAUSE));
        let known = self.0.get(endpoint);
        if (known.is_none() && self.0.len() >= MAX_ENDPOINTS)
            || known.is_some_and(|pause| pause.incarnation > incarnation)
        {
            return false;
        }
        let known = known.filter(|pause| pause.incarnation == incarnation);
        let is_new = known.is_none_or(|pause| pause.until <= now);
        let until = known.map_or(until, |pause| pause.until.max(until));
        self.0.insert(endpoint.clone(), Pause { incarnation, until, trial_at: None });
        is_new
    }

    /// Returns how long an endpoint must get nothing from now on; zero if it may be sent a request.
    pub fn left(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Duration {
        let known = self.0.get(endpoint).filter(|pause| pause.incarnation == incarnation);
        let Some(pause) = known else { return Duration::ZERO };
        let trial_end = pause.trial_at.map(|at| at.plus(TRIAL_TIME)).unwrap_or_default();
        pause.until.max(trial_end).since(now)
    }

    /// Records that a request is sent to an endpoint. The first one after a pause is the trial.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        if let Some(pause) = self.0.get_mut(endpoint)
            && pause.incarnation == incarnation
            && now >= pause.until
        {
            pause.trial_at = Some(now);
        }
    }

    /// Records an answer that asks for no pause, to a request that was sent at `sent_at`. It ends a pause that was over
    /// by then.
    pub fn record_answer(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        sent_at: Timestamp,
    ) {
        let has_ended = |pause: &Pause| pause.incarnation == incarnation && sent_at >= pause.until;
        if self.0.get(endpoint).is_some_and(has_ended) {
            self.0.remove(endpoint);
        }
    }

    /// Returns whether no endpoint is in a pause.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the endpoints that must get nothing now, and for how long.
    pub fn paused(&self, now: Timestamp) -> impl Iterator<Item = (&EndpointId, Duration)> {
        let paused = self.0.iter().filter(move |(_, pause)| pause.until > now);
        paused.map(move |(endpoint, pause)| (endpoint, pause.until.since(now)))
    }

    /// Removes pauses that ended some time ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, pause| now.since(pause.until) < RETENTION);
    }
}
