use prometheus_client::encoding::EncodeLabelSet;

/// Labels of calls to endpoints.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct CallLabels {
    pub(super) service: String,
    pub(super) result: &'static str,
}
