use prometheus_client::encoding::EncodeLabelSet;

/// The pipeline of a request and how it ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The name of the pipeline.
    pub pipeline: String,
    /// `complete`, `not_run`, `failed`, `unknown` or `cancelled`.
    pub outcome: &'static str,
}
