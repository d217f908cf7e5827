use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the metrics of clients that were refused to stay within the memory or the descriptors of the machine.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct CauseLabels {
    pub(super) cause: &'static str,
}
