use prometheus_client::encoding::EncodeLabelSet;

/// The route of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct LatencyLabels {
    pub(super) route: String,
}
