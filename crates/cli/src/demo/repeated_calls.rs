//! Finds calls that must not be repeated and were.

use masticstair_standins::CallLog;
use std::collections::HashSet;

/// Returns a line for each call that a service executed more than once for the same order.
pub(crate) fn repeated_calls(log: &CallLog) -> Vec<Box<str>> {
    let mut seen = HashSet::new();
    let topic = |input: &serde_json::Value| input.get("topic").map(|t| t.to_string());
    let repeated = log.records().into_iter().filter_map(|record| {
        let topic = topic(&record.input)?;
        (!seen.insert(topic.clone())).then(|| format!("call {topic} ran twice").into())
    });
    repeated.collect()
}
