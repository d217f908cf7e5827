use super::VirtualTime;
use std::collections::BTreeSet;

/// Accounts that may start a request of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadySet {
    /// Start tag and position of each account.
    pub(crate) by_tag: BTreeSet<(VirtualTime, usize)>,
    /// Start tag of the last request that started; never decreases.
    pub(crate) virtual_time: VirtualTime,
}
