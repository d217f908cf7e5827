use hdrhistogram::Histogram;
use masticstair_core::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;

use super::check::attained;
use super::{CallOutcome, CallResult, PipelineSummary, StageSummary, Violation, check_results};
use crate::trace::TraceRecord;

/// The result of a replay.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// The share of requests answered completely within their deadline.
    pub attainment: f64,
    /// One line for each pipeline.
    pub pipelines: Vec<PipelineSummary>,
    /// One line for each stage of each pipeline.
    pub stages: Vec<StageSummary>,
    /// Stated outcomes that did not come about.
    pub violations: Vec<Box<str>>,
}

impl Report {
    /// Sums up a replay.
    pub fn new(records: &[TraceRecord], results: &[CallResult]) -> Self {
        let mut by_pipeline: BTreeMap<&PipelineName, Vec<&CallResult>> = BTreeMap::new();
        for result in results {
            by_pipeline.entry(&records[result.record].pipeline).or_default().push(result);
        }
        let attained_count = results.iter().filter(|r| attained(&records[r.record], r)).count();
        let pipelines =
            by_pipeline.iter().map(|(name, results)| summarize(name, records, results)).collect();
        let stages =
            by_pipeline.iter().flat_map(|(name, results)| sum_stages(name, results)).collect();
        let violations = check_results(records, results);
        Self {
            requests: results.len(),
            attainment: attained_count as f64 / results.len().max(1) as f64,
            pipelines,
            stages,
            violations: violations.iter().map(|v: &Violation| v.to_string().into()).collect(),
        }
    }

    /// Adds the lines of another report, for a replay of several traces.
    #[must_use]
    pub fn merged(mut self, other: Self) -> Self {
        let total = self.requests + other.requests;
        let attained =
            self.attainment * self.requests as f64 + other.attainment * other.requests as f64;
        self.attainment = attained / total.max(1) as f64;
        self.requests = total;
        self.pipelines.extend(other.pipelines);
        self.stages.extend(other.stages);
        self.violations.extend(other.violations);
        self
    }
}

fn summarize(
    pipeline: &PipelineName,
    records: &[TraceRecord],
    results: &[&CallResult],
) -> PipelineSummary {
    let count = |test: &dyn Fn(&CallResult) -> bool| results.iter().filter(|r| test(r)).count();
    let refused = |outcome: RefusalOutcome| {
        count(&|r| matches!(&r.outcome, CallOutcome::Refused(p) if p.outcome == outcome))
    };
    let complete = |r: &&&CallResult| matches!(r.outcome, CallOutcome::Complete { .. });
    let latency = histogram(results.iter().filter(complete).map(|r| r.latency));
    let first_token = histogram(results.iter().filter_map(|r| r.first_token));
    PipelineSummary {
        pipeline: pipeline.clone(),
        requests: results.len(),
        attained: count(&|r| attained(&records[r.record], r)),
        replayed: count(&|r| matches!(r.outcome, CallOutcome::Complete { replayed: true, .. })),
        not_run: refused(RefusalOutcome::NotRun),
        failed: refused(RefusalOutcome::Failed),
        unknown: refused(RefusalOutcome::Unknown),
        broken: count(&|r| matches!(r.outcome, CallOutcome::Broken(_))),
        p50_ms: latency.value_at_quantile(0.5),
        p95_ms: latency.value_at_quantile(0.95),
        p99_ms: latency.value_at_quantile(0.99),
        first_token_p95_ms: (!first_token.is_empty()).then(|| first_token.value_at_quantile(0.95)),
    }
}

/// Collects milliseconds; a value beyond ten minutes counts as ten minutes.
fn histogram(values: impl Iterator<Item = Millis>) -> Histogram<u32> {
    const MAX_MS: u64 = 600_000;
    let mut histogram = Histogram::new_with_bounds(1, MAX_MS, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants that the library accepts"));
    for value in values {
        histogram.saturating_record(value.get());
    }
    histogram
}

fn sum_stages(pipeline: &PipelineName, results: &[&CallResult]) -> Vec<StageSummary> {
    let mut stages: Vec<StageSummary> = Vec::new();
    for result in results {
        let CallOutcome::Complete { cost, replayed: false, .. } = &result.outcome else { continue };
        for cost in cost {
            let position = stages.iter().position(|s| s.stage == cost.stage);
            let position = position.unwrap_or_else(|| {
                stages.push(empty_stage(pipeline, &cost.stage));
                stages.len() - 1
            });
            let summary = &mut stages[position];
            summary.calls += 1;
            summary.engine_ms += cost.usage.engine_us.get() / 1_000;
            summary.input_tokens += cost.usage.input_tokens.get();
            summary.output_tokens += cost.usage.output_tokens.get();
        }
    }
    stages
}

fn empty_stage(pipeline: &PipelineName, stage: &StageName) -> StageSummary {
    StageSummary {
        pipeline: pipeline.clone(),
        stage: stage.clone(),
        calls: 0,
        engine_ms: 0,
        input_tokens: 0,
        output_tokens: 0,
    }
}
