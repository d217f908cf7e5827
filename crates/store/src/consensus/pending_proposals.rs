use futures_channel::oneshot;
use masticstair_core::id::{LogIndex, Term};
use std::collections::BTreeMap;

type Waiter = oneshot::Sender<Box<[u8]>>;

/// The local proposals whose entries are not applied yet. When a sender is dropped, its proposal ends
/// with an unknown outcome.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    waiters: BTreeMap<LogIndex, (Term, Waiter)>,
}

impl PendingProposals {
    /// Registers a waiter for an entry; a waiter for an earlier entry at this index is dropped.
    pub(crate) fn add(&mut self, index: LogIndex, term: Term) -> oneshot::Receiver<Box<[u8]>> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(index, (term, tx));
        rx
    }

    /// Sends the reply of an applied entry to its waiter, unless the proposed entry was replaced by one
    /// of another term.
    pub(crate) fn complete(&mut self, index: LogIndex, term: Term, reply: Box<[u8]>) {
        if let Some((expected, tx)) = self.waiters.remove(&index)
            && expected == term
        {
            // The receiver is gone when the caller stopped waiting.
            let _ = tx.send(reply);
        }
    }

    /// Drops the waiters up to `index`, whose entries were applied as part of a snapshot.
    pub(crate) fn drop_through(&mut self, index: LogIndex) {
        self.waiters.retain(|at, _| *at > index);
    }

    pub(crate) fn clear(&mut self) {
        self.waiters.clear();
    }
}
