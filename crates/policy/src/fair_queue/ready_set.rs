use super::VirtualTime;
use std::collections::BTreeSet;

/// The accounts of one class that may start a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadySet {
    /// Start tag and position of the account.
    pub(crate) by_tag: BTreeSet<(VirtualTime, usize)>,
    /// The start tag of the last request that started; never falls.
    pub(crate) virtual_time: VirtualTime,
}
