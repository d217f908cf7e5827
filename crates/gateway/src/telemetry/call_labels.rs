use prometheus_client::encoding::EncodeLabelSet;

/// The service of a call and how it ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct CallLabels {
    pub(super) service: String,
    pub(super) result: &'static str,
}
