use futures_channel::oneshot;
use masticstair_core::id::{LogIndex, Term};
use std::collections::BTreeMap;

/// Receives the reply to one proposal.
type Waiter = oneshot::Sender<Box<[u8]>>;

/// The proposals of this node that wait for their entry to be applied. A waiter whose sender is
/// dropped takes the outcome as unknown.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    waiters: BTreeMap<LogIndex, (Term, Waiter)>,
}

impl PendingProposals {
    /// Adds a waiter for an entry; a waiter for an earlier entry at this index is dropped.
    pub(crate) fn add(&mut self, index: LogIndex, term: Term) -> oneshot::Receiver<Box<[u8]>> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(index, (term, tx));
        rx
    }

    /// Gives the reply to the waiter of an applied entry, unless its own entry was replaced.
    pub(crate) fn complete(&mut self, index: LogIndex, term: Term, reply: Box<[u8]>) {
        if let Some((expected, tx)) = self.waiters.remove(&index)
            && expected == term
        {
            // The caller may have stopped waiting.
            let _ = tx.send(reply);
        }
    }

    /// Drops the waiters up to an index whose entries came with a snapshot.
    pub(crate) fn drop_through(&mut self, index: LogIndex) {
        self.waiters.retain(|at, _| *at > index);
    }

    /// Drops all waiters.
    pub(crate) fn clear(&mut self) {
        self.waiters.clear();
    }
}
