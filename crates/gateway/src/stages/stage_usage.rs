use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_policy::stage_queue::StageItem;
use slog::{Logger, info};
use std::time::Duration;

/// How often the use of a service is logged while it has calls.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How well the calls to a stage service are filled, since the last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StageUsage {
    since: Timestamp,
    calls: u32,
    items: u32,
    /// Calls with as many items as they may have.
    full: u32,
    /// Calls that are not full because the endpoint had no memory for the result of a waiting item.
    without_memory: u32,
    /// Calls that are not full although items were waiting and the endpoint had memory for them.
    passed_over: u32,
    waits: Duration,
    longest_wait: Duration,
    busy: Duration,
    late: u32,
}

impl StageUsage {
    /// Records a call that is about to be sent. `left` is the size of the smallest result among the items that were left
    /// behind, and `free` the memory that the endpoint has left.
    pub(super) fn record_start(
        &mut self,
        now: Timestamp,
        limits: &BatchLimits,
        items: &[StageItem],
        left: Option<ByteCount>,
        free: ByteCount,
    ) {
        self.calls += 1;
        self.items += items.len() as u32;
        match left {
            _ if items.len() as u32 >= limits.items.get() => self.full += 1,
            Some(size) if size > free => self.without_memory += 1,
            Some(_) => self.passed_over += 1,
            None => {}
        }
        for item in items {
            let wait = now.since(item.queued_at);
            self.waits += wait;
            self.longest_wait = self.longest_wait.max(wait);
            self.late += u32::from(item.objective < now);
        }
    }

    /// Adds the duration of a call that has ended.
    pub(super) fn record_end(&mut self, took: Duration) {
        self.busy += took;
    }

    /// Logs the use since the last line and starts anew, once per interval.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        log: &Logger,
        service: &ServiceName,
        limits: &BatchLimits,
        endpoints: usize,
    ) {
        let took = now.since(self.since);
        if took < REPORT_INTERVAL {
            return;
        }
        if self.since != Timestamp::default() && self.calls > 0 {
            let room = took.as_secs_f64() * endpoints.max(1) as f64;
            let least = least_time(limits, self.items).as_secs_f64();
            info!(log, "use of stage service"; "service" => %service, "calls" => self.calls,
                "items" => self.items, "items_at_most" => limits.items.get(), "full" => self.full,
                "without_memory" => self.without_memory, "passed_over" => self.passed_over,
                "late" => self.late,
                "wait_ms" => (self.waits / self.items.max(1)).as_millis() as u64,
                "longest_wait_ms" => self.longest_wait.as_millis() as u64,
                "busy_percent" => (100.0 * self.busy.as_secs_f64() / room) as u64,
                "least_percent" => (100.0 * least / room) as u64, "endpoints" => endpoints);
        }
        *self = Self { since: now, ..Self::default() };
    }
}

/// Returns how long calls with as many items as they may have take for the items, at the nominal times of the catalog.
fn least_time(limits: &BatchLimits, items: u32) -> Duration {
    let calls = f64::from(items) / f64::from(limits.items.get().max(1));
    limits.call_overhead.duration().mul_f64(calls) + Duration::from_micros(limits.item_us) * items
}
