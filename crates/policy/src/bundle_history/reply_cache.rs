use masticstair_core::id::CommandId;
use std::collections::{BTreeMap, VecDeque};

use super::RecordedReply;

/// The largest number of recorded replies; more than two days at 1,100 changes a day with three commands
/// each.
///
/// A command that is resent after its reply was removed is applied again, which has no second effect: a roll
/// that took effect raised the revision, so its expected revision is refused, and a submit or a sign-off
/// under the same revision changes nothing the second time.
pub const MAX_RECORDED_REPLIES: usize = 8_192;

/// The replies to the latest commands, oldest first.
#[derive(Debug, Default)]
pub(super) struct ReplyCache {
    by_id: BTreeMap<CommandId, RecordedReply>,
    /// The ids of `by_id` in the order of the commands.
    order: VecDeque<CommandId>,
}

impl ReplyCache {
    pub(super) fn get(&self, id: &CommandId) -> Option<&RecordedReply> {
        self.by_id.get(id)
    }

    pub(super) fn record(&mut self, reply: RecordedReply) {
        let id = reply.id.clone();
        if self.by_id.insert(id.clone(), reply).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_RECORDED_REPLIES {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &RecordedReply> {
        self.order.iter().filter_map(|id| self.by_id.get(id))
    }
}

impl FromIterator<RecordedReply> for ReplyCache {
    fn from_iter<I: IntoIterator<Item = RecordedReply>>(replies: I) -> Self {
        let mut cache = Self::default();
        replies.into_iter().for_each(|reply| cache.record(reply));
        cache
    }
}
