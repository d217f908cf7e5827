use masticstair_core::prelude::*;
use std::time::Duration;

use super::ReportedLoad;

/// The age at which a report counts little more than a third. Endpoints report a work time that changes many times a
/// second, and serve other hosts meanwhile.
const REPORT_MEMORY: Duration = Duration::from_millis(200);

/// The weight of a new report in the smoothed work time.
const WORK_TIME_WEIGHT: f64 = 0.05;

/// Bounds of the work time, in percent of the usual time. A larger or smaller figure says that something is wrong, not
/// how long work takes.
const WORK_TIME_RANGE: std::ops::RangeInclusive<f64> = 20.0..=1_200.0;

/// What an endpoint reported of its load, and when.
///
/// Answers load that other hosts and other programs cause on a shared endpoint. The weight of the last report falls with
/// its age; what remains of an old one is the mean of the work time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReports {
    /// The last report and when it was received.
    last: Option<(Timestamp, ReportedLoad)>,
    /// The smoothed work time in percent; within `WORK_TIME_RANGE`. None before the first report.
    mean_work_time: Option<f64>,
}

impl LoadReports {
    /// Records a report that was received at `now`.
    pub fn record(&mut self, now: Timestamp, load: ReportedLoad) {
        let work_time = bounded_work_time(&load);
        let mean = self.mean_work_time.unwrap_or(work_time);
        self.mean_work_time = Some(mean + WORK_TIME_WEIGHT * (work_time - mean));
        self.last = Some((now, load));
    }

    /// Returns the expected work time as a multiple of its mean, which the measured times of calls contain already. At
    /// least 1: a report of a fast machine would draw all hosts to it.
    pub fn slowdown(&self, now: Timestamp) -> f64 {
        let Some(mean) = self.mean_work_time else { return 1.0 };
        let last = self.last.as_ref().map_or(mean, |(_, load)| bounded_work_time(load));
        (1.0 + self.weight(now) * (last / mean - 1.0)).max(1.0)
    }

    /// Returns the expected number of requests of others at the endpoint: what the report names beyond `in_flight`, the
    /// calls of this host, which it knows first-hand.
    pub fn others(&self, now: Timestamp, in_flight: u32) -> f64 {
        let reported = self
            .last
            .as_ref()
            .map_or(0, |(_, load)| load.running.get().saturating_add(load.waiting.get()));
        self.weight(now) * f64::from(reported.saturating_sub(in_flight))
    }

    /// Returns the age of the last report; none before the first one.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.last.as_ref().map(|(at, _)| now.since(*at))
    }

    /// Returns the weight of the last report, from 0 to 1.
    fn weight(&self, now: Timestamp) -> f64 {
        let age = self.age(now).map(|age| age.as_secs_f64() / REPORT_MEMORY.as_secs_f64());
        age.map_or(0.0, |age| (-age).exp())
    }
}

fn bounded_work_time(load: &ReportedLoad) -> f64 {
    f64::from(load.work_time).clamp(*WORK_TIME_RANGE.start(), *WORK_TIME_RANGE.end())
}
