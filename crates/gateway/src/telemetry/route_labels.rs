use prometheus_client::encoding::EncodeLabelSet;

/// Labels of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RouteLabels {
    pub(super) route: String,
    pub(super) outcome: &'static str,
}
