use prometheus_client::encoding::EncodeLabelSet;

/// Labels of what concerns a service as a whole.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ServiceLabels {
    pub(super) service: String,
}
