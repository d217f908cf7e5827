use prometheus_client::encoding::EncodeLabelSet;

/// The route of a request and how it ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RouteLabels {
    pub(super) route: String,
    pub(super) outcome: &'static str,
}
