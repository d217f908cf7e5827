use masticstair_core::prelude::*;
use serde::Serialize;

/// What became of the requests of one pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct PipelineSummary {
    /// The pipeline.
    pub pipeline: PipelineName,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered completely within their deadline.
    pub attained: usize,
    /// Answers that were recorded for an earlier request under the same key.
    pub replayed: usize,
    /// Refusals that say `not_run`.
    pub not_run: usize,
    /// Refusals that say `failed`.
    pub failed: usize,
    /// Refusals that say `unknown`.
    pub unknown: usize,
    /// Broken connections and answers that were not whole.
    pub broken: usize,
    /// Latency of whole answers that half of them reach, in milliseconds.
    pub p50_ms: u64,
    /// Latency that 95 in 100 reach.
    pub p95_ms: u64,
    /// Latency that 99 in 100 reach.
    pub p99_ms: u64,
    /// Time to the first token that 95 in 100 streams reach.
    pub first_token_p95_ms: Option<u64>,
}

/// What a stage of a pipeline cost.
#[derive(Clone, Debug, Serialize)]
pub struct StageSummary {
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The stage.
    pub stage: StageName,
    /// Calls whose answer was used.
    pub calls: usize,
    /// Time that endpoints spent on them.
    pub engine_ms: u64,
    /// Tokens read.
    pub input_tokens: u64,
    /// Tokens made.
    pub output_tokens: u64,
}
