use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

use super::StreamWriter;
use crate::directory::ServingEndpoint;

/// How long a version is remembered after it was listed last.
const RETENTION: Duration = Duration::from_secs(600);

/// How long after its last record a version may still have been listed. Longer than the time between two records.
const RECORD_SLACK: Duration = Duration::from_secs(2);

/// Which software versions the services had lately, those of endpoints that have left included.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When each version was listed last.
    seen: HashMap<StreamWriter, Timestamp>,
    /// Since when all control hosts have answered; no version that was listed since is missing.
    complete_since: Option<Timestamp>,
}

impl SoftwareHistory {
    /// Records that endpoints are listed.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = &'a ServingEndpoint>,
    ) {
        for endpoint in listed {
            self.seen.insert(StreamWriter::of(endpoint), now);
        }
        self.seen.retain(|_, seen| now.since(*seen) <= RETENTION);
    }

    /// Records whether all control hosts answer. One that does not may list other versions meanwhile.
    pub fn record_contact(&mut self, now: Timestamp, all_answer: bool) {
        self.complete_since = all_answer.then(|| self.complete_since.unwrap_or(now));
    }

    /// Returns what must have written a stream of a service that began within the last `span`; none if several versions
    /// may have, or if that is not known.
    pub fn sole_writer(
        &self,
        now: Timestamp,
        service: &ServiceName,
        span: Duration,
    ) -> Option<StreamWriter> {
        let is_remembered = span + RECORD_SLACK <= RETENTION;
        self.complete_since.filter(|since| is_remembered && now.since(*since) >= span)?;
        let could_write = |(writer, seen): &(&StreamWriter, &Timestamp)| {
            writer.service == *service && now.since(**seen) <= span + RECORD_SLACK
        };
        let mut writers = self.seen.iter().filter(could_write);
        let (writer, _) = writers.next()?;
        writers.next().is_none().then(|| writer.clone())
    }
}
