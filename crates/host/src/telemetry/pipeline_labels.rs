use prometheus_client::encoding::EncodeLabelSet;

/// Labels of metrics by pipeline.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PipelineLabels {
    /// The name of the pipeline.
    pub pipeline: String,
}
