use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the time to the first answer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct LatencyLabels {
    pub(super) route: String,
}
