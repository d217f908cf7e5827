use crate::outcome::Outcome;
use crate::request_record::RequestRecord;
use crate::scenario::{ACCOUNTS, DEADLINE_US, Scenario, capacity};

/// Statistics of a run.
#[derive(Default)]
pub struct RunStats {
    pub records: Vec<RequestRecord>,
    /// Requests granted a slot.
    pub started: u64,
    pub calls: u64,
    /// Calls without retries and hedges.
    pub first_calls: u64,
    pub hedges: u64,
}

impl RunStats {
    /// Returns the share of requests answered in time among those for which `is_counted` returns true.
    pub fn attainment(&self, is_counted: impl Fn(&RequestRecord) -> bool) -> f64 {
        let counted = self.records.iter().filter(|r| is_counted(r));
        let (all, met) = counted
            .fold((0, 0), |(all, met), r| (all + 1, met + u64::from(r.answered_us().is_some())));
        met as f64 / f64::from(all.max(1))
    }

    /// Returns the share of requests with an outcome among the requests of all accounts but the first.
    pub fn share_of_others(&self, scenario: &Scenario, outcome: Outcome) -> f64 {
        let counted =
            self.records.iter().filter(|r| Self::is_counted(scenario, r) && r.account != 0);
        let (all, met) =
            counted.fold((0, 0), |(all, met), r| (all + 1, met + u64::from(r.outcome == outcome)));
        met as f64 / f64::from(all.max(1))
    }

    /// Returns the number of answers from `from_us` to `until_us` as a ratio of what the capacity
    /// allows.
    pub fn goodput(&self, from_us: u64, until_us: u64) -> f64 {
        let window = from_us..until_us;
        let met = self.records.iter().filter_map(RequestRecord::answered_us);
        let met = met.filter(|at| window.contains(at)).count();
        met as f64 / (capacity() * (until_us - from_us) as f64 / 1e6)
    }

    /// Returns the recovery time after `end_us` in seconds: the start of the first interval of two
    /// seconds in which at least 98 % of the arriving requests are answered in time. Infinite if there
    /// is none within 20 s.
    pub fn time_to_normal(&self, end_us: u64) -> f64 {
        let normal = |start: u64| {
            self.attainment(|r| (start..start + 2_000_000).contains(&r.arrived_us)) >= 0.98
        };
        let step = (0..200).find(|i| normal(end_us + i * 100_000));
        step.map_or(f64::INFINITY, |i| i as f64 / 10.0)
    }

    /// Returns a percentile (0 to 1) of the latency of answered requests, in seconds.
    pub fn latency(&self, percentile: f64) -> f64 {
        let time = |r: &RequestRecord| r.answered_us().map(|at| at - r.arrived_us);
        let mut times: Vec<u64> = self.records.iter().filter_map(time).collect();
        times.sort_unstable();
        let at = (times.len() as f64 * percentile) as usize;
        times.get(at.min(times.len().saturating_sub(1))).map_or(0.0, |&t| t as f64 / 1e6)
    }

    /// Returns whether a request is counted: it arrived after the warm-up and its deadline is within
    /// the run.
    pub fn is_counted(scenario: &Scenario, record: &RequestRecord) -> bool {
        let end = scenario.seconds * 1_000_000 - DEADLINE_US;
        (scenario.warm_up * 1_000_000..end).contains(&record.arrived_us)
            && record.account < ACCOUNTS
    }
}
