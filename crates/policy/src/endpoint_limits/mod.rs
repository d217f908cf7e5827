//! Limits that endpoints name for the requests of all hosts together, and permits that keep to them.

mod limit_notice;
mod permit;
mod permit_bucket;
mod statement;

pub use limit_notice::LimitNotice;
pub use permit::Permit;

use crate::warmups::ColdBudget;
use masticstair_core::prelude::*;
use permit_bucket::PermitBucket;
use statement::Statement;
use std::collections::HashMap;
use std::time::Duration;

/// The limit on endpoints in the table; statements of further ones are ignored.
const MAX_ENDPOINTS: usize = 4_096;

/// How long a statement is kept after its last repetition. An endpoint that is in use repeats it with each answer.
const RETENTION: Duration = Duration::from_secs(600);

/// How long the permits of a cold endpoint are kept after the last question for one.
const COLD_RETENTION: Duration = Duration::from_secs(10);

/// The wait that is told for an endpoint that this host gives no permits for.
const NO_BUCKET_WAIT: Duration = Duration::from_millis(500);

/// How much newer a statement of another host must be to replace a different one. Its age lacks the time that it was on
/// the way, so without a margin two statements of about the same time could replace each other again and again.
const TRANSIT_MARGIN: Duration = Duration::from_millis(100);

/// The newest statements of endpoints on their limits, and the permits that this host gives.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    statements: HashMap<EndpointId, Statement>,
    /// Permits of the endpoints that this host gives permits for.
    buckets: HashMap<EndpointId, PermitBucket>,
    /// Permits of the cold endpoints that this host gives permits for, whether they name a limit or not.
    cold_buckets: HashMap<EndpointId, PermitBucket>,
    /// When the endpoints that denied a permit may be asked for again.
    denied_until: HashMap<EndpointId, Timestamp>,
    /// The position of the last change.
    position: u64,
}

impl EndpointLimits {
    /// Records what an answer to this host says; the request was sent at `asked_at`. Returns whether the limit changed.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        limit: Option<RatePerSecond>,
        asked_at: Timestamp,
    ) -> bool {
        self.apply(endpoint, incarnation, limit, table_time(asked_at), true)
    }

    /// Merges what other hosts know. Returns whether a limit changed.
    pub fn merge(&mut self, now: Timestamp, notices: Vec<LimitNotice>) -> bool {
        let now = table_time(now).get();
        let mut changed = false;
        for LimitNotice { endpoint, incarnation, limit, age } in notices {
            let asked_at = now.saturating_sub(age.duration().as_micros() as u64);
            changed |= self.apply(&endpoint, incarnation, limit, Timestamp::new(asked_at), false);
        }
        changed
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the limits that changed after a position; with `own_only`, only those that this host was told by the
    /// endpoints.
    pub fn changes_after(&self, now: Timestamp, position: u64, own_only: bool) -> Vec<LimitNotice> {
        let is_new = |s: &Statement| s.position > position && (s.is_own || !own_only);
        let changed = self.statements.iter().filter(|(_, s)| is_new(s));
        changed.map(|(endpoint, s)| notice(table_time(now), endpoint, s)).collect()
    }

    /// Returns the limit of a process of an endpoint, as other hosts are told it; none if it has no limit.
    pub fn limit(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<LimitNotice> {
        let statement = self.statements.get(endpoint)?;
        let is_limited = statement.incarnation == incarnation && statement.limit.is_some();
        is_limited.then(|| notice(table_time(now), endpoint, statement))
    }

    /// Returns the number of endpoints with a limit.
    pub fn limited_count(&self) -> usize {
        self.statements.values().filter(|s| s.limit.is_some()).count()
    }

    /// Gives a permit, as the host that all hosts ask for this endpoint.
    pub fn take_permit(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Permit {
        let statement = self.statements.get(endpoint);
        let limit = statement.filter(|s| s.incarnation == incarnation).and_then(|s| s.limit);
        let Some(limit) = limit else { return Permit::Granted };
        let new = PermitBucket::new(now, incarnation);
        let bucket = self.buckets.entry(endpoint.clone()).or_insert(new);
        if bucket.incarnation != incarnation {
            *bucket = new;
        }
        match bucket.take(now, limit) {
            Ok(()) => Permit::Granted,
            Err(wait) => denied(wait),
        }
    }

    /// Gives a permit for a cold endpoint, as the host that all hosts ask for it. If the endpoint names a limit, too, the
    /// lower one counts.
    pub fn take_cold_permit(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        budget: ColdBudget,
    ) -> Permit {
        let new = PermitBucket::new(now, incarnation);
        let is_full = self.cold_buckets.len() >= MAX_ENDPOINTS;
        let bucket = match self.cold_buckets.get_mut(endpoint) {
            Some(bucket) => bucket,
            None if is_full => return denied(NO_BUCKET_WAIT),
            None => self.cold_buckets.entry(endpoint.clone()).or_insert(new),
        };
        if bucket.incarnation > incarnation {
            return denied(NO_BUCKET_WAIT);
        }
        if bucket.incarnation != incarnation {
            *bucket = new;
        }
        match bucket.take_within(now, budget.rate, budget.burst) {
            Ok(()) => self.take_permit(now, endpoint, incarnation),
            Err(wait) => denied(wait),
        }
    }

    /// Records that there is no permit for an endpoint until `until`.
    pub fn record_denial(&mut self, endpoint: &EndpointId, until: Timestamp) {
        self.denied_until.insert(endpoint.clone(), until);
    }

    /// Returns the time until an endpoint may be asked for a permit; zero if it may be now, or has no limit.
    pub fn wait(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Duration {
        let Some(until) = self.denied_until.get(endpoint) else { return Duration::ZERO };
        let limited = self.limit(now, endpoint, incarnation);
        limited.map(|_| until.since(now)).unwrap_or_default()
    }

    /// Removes what is old.
    pub fn expire(&mut self, now: Timestamp) {
        let (at, statements) = (table_time(now), &mut self.statements);
        statements.retain(|_, s| at.since(s.asked_at) <= RETENTION);
        self.buckets.retain(|endpoint, _| statements.contains_key(endpoint));
        // A bucket that begins anew is empty, so it gives no more permits than one that was kept.
        self.cold_buckets.retain(|_, bucket| now.since(bucket.updated()) <= COLD_RETENTION);
        self.denied_until.retain(|_, until| *until > now);
    }

    fn apply(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        limit: Option<RatePerSecond>,
        asked_at: Timestamp,
        is_own: bool,
    ) -> bool {
        let known = self.statements.get(endpoint);
        let is_old = known.is_some_and(|s| (s.incarnation, s.asked_at) >= (incarnation, asked_at));
        if is_old || (known.is_none() && self.statements.len() >= MAX_ENDPOINTS) {
            return false;
        }
        let known_limit = known.and_then(|s| s.limit);
        let is_close = known.is_some_and(|s| {
            s.incarnation == incarnation && asked_at.since(s.asked_at) < TRANSIT_MARGIN
        });
        if !is_own && is_close && limit != known_limit {
            return false;
        }
        let is_new_process = known.is_some_and(|s| s.incarnation != incarnation);
        let changed = limit != known_limit || (is_new_process && limit.is_some());
        let (position, is_own) = match known {
            _ if changed => (self.position + 1, is_own),
            Some(known) => (known.position, known.is_own),
            None => (0, is_own),
        };
        self.position = self.position.max(position);
        let statement = Statement { incarnation, limit, asked_at, position, is_own };
        self.statements.insert(endpoint.clone(), statement);
        changed
    }
}

fn denied(wait: Duration) -> Permit {
    Permit::Denied(Millis::new(wait.as_millis() as u64 + 1))
}

/// Returns a time of the clock of this process on the time line of the table, which begins before the process, so that
/// the order of statements from before the start is kept.
fn table_time(at: Timestamp) -> Timestamp {
    at.plus(RETENTION)
}

fn notice(now: Timestamp, endpoint: &EndpointId, s: &Statement) -> LimitNotice {
    LimitNotice {
        endpoint: endpoint.clone(),
        incarnation: s.incarnation,
        limit: s.limit,
        age: Millis::new(now.since(s.asked_at).as_millis() as u64),
    }
}
