use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

use super::{SoftwareSighting, StreamWriter};
use crate::directory::ServingEndpoint;

/// How long a version is remembered after it was listed last.
const RETENTION: Duration = Duration::from_secs(600);

/// How long after its last sighting a version may still have been listed.
const SIGHTING_INTERVAL: Duration = Duration::from_secs(2);

/// Which software versions the services had lately, those of endpoints that have left included.
///
/// Times before the start of this process come from hosts that have run for longer, so they are held as ages.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When each version was listed last.
    seen: HashMap<StreamWriter, Aged>,
    /// The time from which on no version can be missing; none before the first listing.
    complete_since: Option<Aged>,
}

/// A time in the past: `age` before `at`.
#[derive(Clone, Copy, Debug)]
struct Aged {
    at: Timestamp,
    age: Duration,
}

impl Aged {
    fn age(&self, now: Timestamp) -> Duration {
        self.age.saturating_add(now.since(self.at))
    }
}

impl SoftwareHistory {
    /// Records that endpoints are listed.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = &'a ServingEndpoint>,
    ) {
        let seen_now = Aged { at: now, age: Duration::ZERO };
        self.complete_since.get_or_insert(seen_now);
        for endpoint in listed {
            self.seen.insert(StreamWriter::of(endpoint), seen_now);
        }
        self.seen.retain(|_, seen| seen.age(now) <= RETENTION);
    }

    /// Merges what another host knows, which misses no version of the last `covered`.
    pub fn merge(&mut self, now: Timestamp, covered: Millis, sightings: Vec<SoftwareSighting>) {
        let covered = Aged { at: now, age: covered.duration() };
        let is_longer = |known: Aged| covered.age(now) > known.age(now);
        if self.complete_since.is_none_or(is_longer) {
            self.complete_since = Some(covered);
        }
        for sighting in sightings {
            let told = Aged { at: now, age: sighting.age.duration() };
            let seen = self.seen.entry(sighting.writer).or_insert(told);
            if told.age(now) < seen.age(now) {
                *seen = told;
            }
        }
    }

    /// Returns the time of which no version can be missing, and when each version was listed last.
    pub fn sightings(&self, now: Timestamp) -> (Millis, Vec<SoftwareSighting>) {
        let millis = |age: Duration| Millis::new(age.as_millis() as u64);
        let covered = self.complete_since.map_or(Duration::ZERO, |since| since.age(now));
        let sighting = |(writer, seen): (&StreamWriter, &Aged)| SoftwareSighting {
            writer: writer.clone(),
            age: millis(seen.age(now)),
        };
        (millis(covered), self.seen.iter().map(sighting).collect())
    }

    /// Returns what must have written a stream of a service that began within the last `span`; none if several versions
    /// may have, or if that is not known.
    pub fn sole_writer(
        &self,
        now: Timestamp,
        service: &ServiceName,
        span: Duration,
    ) -> Option<StreamWriter> {
        self.complete_since.filter(|since| since.age(now) >= span)?;
        let could_write = |(writer, seen): &(&StreamWriter, &Aged)| {
            writer.service == *service && seen.age(now) <= span + SIGHTING_INTERVAL
        };
        let mut writers = self.seen.iter().filter(could_write);
        let (writer, _) = writers.next()?;
        writers.next().is_none().then(|| writer.clone())
    }
}
