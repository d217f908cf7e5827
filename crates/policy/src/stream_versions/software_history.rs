use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

use super::StreamWriter;
use crate::directory::ServingEndpoint;

/// How long a version is remembered after it was listed last.
const RETENTION: Duration = Duration::from_secs(600);

/// How long after its last record a version may still have been listed.
const RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Which software versions the services had lately, those of endpoints that have left included.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When each version was listed last.
    seen: HashMap<StreamWriter, Timestamp>,
    /// The first record; no version that was listed since is missing.
    since: Option<Timestamp>,
}

impl SoftwareHistory {
    /// Records that endpoints are listed.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = &'a ServingEndpoint>,
    ) {
        self.since.get_or_insert(now);
        for endpoint in listed {
            self.seen.insert(StreamWriter::of(endpoint), now);
        }
        self.seen.retain(|_, seen| now.since(*seen) <= RETENTION);
    }

    /// Returns what must have written a stream of a service that began within the last `span`; none if several versions
    /// may have, or if that is not known.
    pub fn sole_writer(
        &self,
        now: Timestamp,
        service: &ServiceName,
        span: Duration,
    ) -> Option<StreamWriter> {
        self.since.filter(|since| now.since(*since) >= span)?;
        let could_write = |(writer, seen): &(&StreamWriter, &Timestamp)| {
            writer.service == *service && now.since(**seen) <= span + RECORD_INTERVAL
        };
        let mut writers = self.seen.iter().filter(could_write);
        let (writer, _) = writers.next()?;
        writers.next().is_none().then(|| writer.clone())
    }
}
