use prometheus_client::encoding::EncodeLabelSet;

/// Labels of what is sent to subscribers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct UpdateLabels {
    pub(super) kind: &'static str,
}
