use prometheus_client::encoding::EncodeLabelSet;

/// A stage and how a call of it ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StageLabels {
    /// The name of the pipeline.
    pub pipeline: String,
    /// The name of the stage.
    pub stage: String,
    /// `ok` or `error`.
    pub result: &'static str,
}
