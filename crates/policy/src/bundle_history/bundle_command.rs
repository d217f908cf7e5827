use super::{BundleAction, SignedHeader};

/// A command of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BundleCommand {
    /// Who gives the command.
    pub header: SignedHeader,
    /// What it does.
    pub action: BundleAction,
}
