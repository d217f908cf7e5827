use prometheus_client::encoding::EncodeLabelSet;

/// Labels of metrics by pipeline and outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The name of the pipeline.
    pub pipeline: String,
    /// `complete`, `not_run`, `failed`, `unknown` or `cancelled`.
    pub outcome: &'static str,
}
