use super::BundleSummary;

/// A part of the history, newest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HistoryPage {
    /// The bundles.
    pub bundles: Vec<BundleSummary>,
    /// Whether older bundles follow.
    pub more: bool,
}
