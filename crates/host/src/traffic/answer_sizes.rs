use masticstair_core::prelude::*;
use std::collections::HashMap;

/// The mean of a pipeline until its first answer is recorded.
const INITIAL_MEAN_TOKENS: f64 = 32.0;
/// The weight of a new answer in the exponentially weighted mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// The exponentially weighted mean of the tokens per answer, for each pipeline.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerSizes(HashMap<PipelineName, f64>);

impl AnswerSizes {
    pub(super) fn expected(&self, pipeline: &PipelineName) -> TokenCount {
        TokenCount::new(self.0.get(pipeline).copied().unwrap_or(INITIAL_MEAN_TOKENS) as u64)
    }

    pub(super) fn record(&mut self, pipeline: &PipelineName, tokens: TokenCount) {
        let tokens = tokens.get() as f64;
        match self.0.get_mut(pipeline) {
            Some(mean) => *mean += (tokens - *mean) * MEAN_WEIGHT,
            None => {
                self.0.insert(pipeline.clone(), tokens);
            }
        }
    }
}
