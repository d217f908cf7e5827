use masticstair_core::prelude::*;
use std::collections::{HashMap, VecDeque};

use super::{StreamNotice, StreamWriter};

/// The limit on records. Beyond it the oldest one is removed, and its stream is an unknown one.
const MAX_RECORDS: usize = 32_768;

/// The longest time that a record is kept, whatever another host asks for.
const MAX_RETENTION: Millis = Millis::new(600_000);

/// Who wrote the streams that clients may take up.
#[derive(Debug, Default)]
pub struct StreamRecords {
    records: HashMap<CallId, Record>,
    /// The attempts in `records`, each once, in the order in which they were recorded.
    order: VecDeque<CallId>,
}

#[derive(Debug)]
struct Record {
    /// None if two streams have been begun under the attempt, so that either may be meant.
    writer: Option<StreamWriter>,
    until: Timestamp,
    /// Whether this host forwarded the stream.
    is_own: bool,
}

impl StreamRecords {
    /// Records the stream that this host forwards for an attempt. Returns what other hosts are to be told.
    pub fn record(
        &mut self,
        now: Timestamp,
        attempt: &CallId,
        writer: StreamWriter,
        retention: Millis,
    ) -> StreamNotice {
        let notice =
            StreamNotice { attempt: attempt.clone(), writer: Some(writer), left: retention };
        let writer = self.insert(now, notice.clone(), true);
        StreamNotice { writer, ..notice }
    }

    /// Merges the records of another host.
    pub fn merge(&mut self, now: Timestamp, notices: Vec<StreamNotice>) {
        for notice in notices {
            self.insert(now, notice, false);
        }
    }

    /// Inserts a record and returns the writer that is now known.
    fn insert(
        &mut self,
        now: Timestamp,
        notice: StreamNotice,
        is_own: bool,
    ) -> Option<StreamWriter> {
        let until = now.plus(notice.left.min(MAX_RETENTION).duration());
        if let Some(known) = self.records.get_mut(&notice.attempt) {
            if known.writer != notice.writer {
                known.writer = None;
            }
            known.until = known.until.max(until);
            known.is_own |= is_own;
            return known.writer.clone();
        }
        let writer = notice.writer.clone();
        self.order.push_back(notice.attempt.clone());
        self.records.insert(notice.attempt, Record { writer: notice.writer, until, is_own });
        if self.records.len() > MAX_RECORDS {
            self.order.pop_front().and_then(|oldest| self.records.remove(&oldest));
        }
        writer
    }

    /// Returns who wrote the stream of an attempt; none if that is not known.
    pub fn find(&self, now: Timestamp, attempt: &CallId) -> Option<&StreamWriter> {
        self.records.get(attempt).filter(|record| now < record.until)?.writer.as_ref()
    }

    /// Returns the streams that this host forwarded, for a host that has lost its records.
    pub fn own(&self, now: Timestamp) -> Vec<StreamNotice> {
        let own = self.records.iter().filter(|(_, record)| record.is_own && now < record.until);
        let notice = |(attempt, record): (&CallId, &Record)| StreamNotice {
            attempt: attempt.clone(),
            writer: record.writer.clone(),
            left: Millis::new(record.until.since(now).as_millis() as u64),
        };
        own.map(notice).collect()
    }

    /// Removes the records whose time has passed.
    pub fn expire(&mut self, now: Timestamp) {
        let records = &mut self.records;
        self.order.retain(|attempt| {
            let is_valid = records.get(attempt).is_some_and(|record| now < record.until);
            if !is_valid {
                records.remove(attempt);
            }
            is_valid
        });
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
