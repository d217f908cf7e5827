use prometheus_client::encoding::EncodeLabelSet;

/// Labels of requests for permits.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct PermitLabels {
    pub(super) result: &'static str,
}

impl PermitLabels {
    pub(super) fn new(granted: bool) -> Self {
        Self { result: if granted { "granted" } else { "denied" } }
    }
}
