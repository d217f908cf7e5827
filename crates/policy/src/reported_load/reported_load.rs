use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::fmt::{Display, Formatter};
use std::str::FromStr;

use super::ReportedLoadError;

/// The largest count that an endpoint can mean.
const MAX_COUNT: u32 = 1_000_000;

/// The work time of an endpoint whose machine does nothing else, in percent.
const USUAL_WORK_TIME: u32 = 100;

/// What an endpoint reported of its load with an answer: `running,waiting,slots` and, optionally, the work time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that the endpoint runs.
    pub running: Slots,
    /// Requests that wait at the endpoint.
    pub waiting: Slots,
    /// Requests that the endpoint runs at a time; at least 1.
    pub slots: Slots,
    /// How long work took on the machine at the moment of the report, in percent of the usual time; at least 1.
    pub work_time: u32,
}

impl Display for ReportedLoad {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{},{}", self.running, self.waiting, self.slots, self.work_time)
    }
}

impl FromStr for ReportedLoad {
    type Err = ReportedLoadError;

    fn from_str(s: &str) -> Result<Self, ReportedLoadError> {
        let figures: SmallVec<[&str; 4]> = s.split(',').map(str::trim).collect();
        let (running, waiting, slots, work_time) = match *figures {
            [running, waiting, slots] => (running, waiting, slots, None),
            [running, waiting, slots, work_time] => (running, waiting, slots, Some(work_time)),
            _ => return Err(ReportedLoadError::Count(figures.len())),
        };
        let load = Self {
            running: Slots::new(figure(running, MAX_COUNT)?),
            waiting: Slots::new(figure(waiting, MAX_COUNT)?),
            slots: Slots::new(figure(slots, MAX_COUNT)?),
            work_time: work_time
                .map_or(Ok(USUAL_WORK_TIME), |text| figure(text, MAX_COUNT))?
                .max(1),
        };
        match load.slots.get() {
            0 => Err(ReportedLoadError::NoSlots),
            _ => Ok(load),
        }
    }
}

fn figure(text: &str, max: u32) -> Result<u32, ReportedLoadError> {
    let value = text.parse().ok().filter(|value| *value <= max);
    value.ok_or_else(|| ReportedLoadError::Figure(text.into(), max))
}
