use prometheus_client::encoding::EncodeLabelSet;

/// Labels of metrics by stage and result of a call.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StageLabels {
    /// The name of the pipeline.
    pub pipeline: String,
    /// The name of the stage.
    pub stage: String,
    /// `ok` or `error`.
    pub result: &'static str,
}
