use prometheus_client::encoding::EncodeLabelSet;

/// The pipeline of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PipelineLabels {
    /// The name of the pipeline.
    pub pipeline: String,
}
