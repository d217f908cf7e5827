use super::BundleSummary;

/// A page of the bundle history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HistoryPage {
    /// The bundles, newest first.
    pub bundles: Vec<BundleSummary>,
    /// Whether older bundles follow.
    pub more: bool,
}
