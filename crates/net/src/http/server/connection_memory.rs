use masticstair_core::prelude::*;
use masticstair_policy::memory_account::MemoryKind;
use std::cell::{Cell, RefCell};
use std::sync::Arc;

use super::phase::Phase;
use crate::memory::{Evicted, Holder, MemoryAccount, MemoryShare, NoRoom};

/// The memory of a connection: the state of its task and two buffers of 8 KiB.
pub(super) const CONNECTION: ByteCount = ByteCount::new(24 << 10);

/// The buffer that the HTTP library reads into at first; it is a part of `CONNECTION`.
const FIRST_BUFFER: u64 = 8 << 10;

/// What a stream takes whose client reads more slowly than the endpoint sends, or whose endpoint sends without a pause:
/// the events in the write queue.
const BULKY_STREAM: u64 = 64 << 10;

/// A stream that writes more at once is bulky; the events of a model that writes as it goes are far smaller.
const MAX_WRITE: usize = 8 << 10;

/// What a client must send to count as one that goes on. Without this a few bytes now and then would keep a large holding.
const MIN_PROGRESS: u64 = 1 << 10;

/// What a process holds for one connection, apart from the bodies, which may outlive it.
#[derive(Debug)]
pub(super) struct ConnectionMemory {
    account: MemoryAccount,
    holder: Arc<Holder>,
    evicted: Evicted,
    /// Covers the state and the buffers of the connection, which keep the size that they had.
    share: RefCell<MemoryShare>,
    phase: Cell<Phase>,
    /// The bytes that were read since the last complete head.
    head: Cell<u64>,
    /// The bytes that were read since the client last counted as one that goes on.
    fresh: Cell<u64>,
    /// The size of the body that is read.
    body: Cell<u64>,
    /// The bytes of a complete answer that were not sent.
    unread: Cell<u64>,
    /// Whether a stream is sent that was not counted as bulky.
    is_stream: Cell<bool>,
}

impl ConnectionMemory {
    /// Registers a connection; waits for room for its state.
    pub(super) async fn open(account: &MemoryAccount, listener: u64) -> Result<Self, NoRoom> {
        let (holder, evicted) = account.add_holder(listener);
        let memory = Self {
            share: RefCell::new(account.share(MemoryKind::Request)),
            account: account.clone(),
            holder,
            evicted,
            phase: Cell::new(Phase::Head),
            head: Cell::default(),
            fresh: Cell::default(),
            body: Cell::default(),
            unread: Cell::default(),
            is_stream: Cell::default(),
        };
        let mut share = account.share(MemoryKind::Request);
        account.wait_for_room(&memory.holder, &mut share, CONNECTION).await?;
        memory.share.replace(share);
        memory.publish();
        Ok(memory)
    }

    pub(super) fn account(&self) -> &MemoryAccount {
        &self.account
    }

    pub(super) fn evicted(&self) -> Evicted {
        self.evicted.clone()
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records that a head is complete.
    pub(super) fn begin_request(&self) {
        let now = self.account.now();
        self.head.set(0);
        self.phase.set(Phase::Body);
        self.holder.record_begin(now);
        self.holder.record_wait(now);
    }

    /// Makes room for a body that is read; waits for it if there is none.
    pub(super) async fn grow_body(
        &self,
        share: &mut MemoryShare,
        size: ByteCount,
    ) -> Result<(), NoRoom> {
        if !share.resize(size) {
            self.holder.record_work();
            self.account.wait_for_room(&self.holder, share, size).await?;
            self.holder.record_wait(self.account.now());
        }
        self.body.set(size.get());
        self.publish();
        Ok(())
    }

    /// Records that the request is complete, or refused.
    pub(super) fn begin_work(&self) {
        self.phase.set(Phase::Work);
        self.body.set(0);
        self.publish();
        self.holder.record_work();
    }

    /// Records that there is an answer. `size` is `None` for a stream.
    pub(super) fn begin_answer(&self, size: Option<usize>) {
        self.phase.set(Phase::Answer);
        self.is_stream.set(size.is_none());
        self.unread.set(size.unwrap_or_default() as u64);
        self.publish();
    }

    /// Records that the whole answer is in the buffers of the connection.
    pub(super) fn end_answer(&self) {
        self.phase.set(Phase::Head);
        self.is_stream.set(false);
        self.holder.record_wait(self.account.now());
    }

    /// Makes room for a read into a buffer with `spare` free bytes. Returns whether there is room.
    pub(super) fn admit_read(&self, spare: usize) -> bool {
        // A buffer that grows leaves its smaller predecessor behind, and a piece of a body may wait in one buffer while the
        // next one is read.
        let buffers = 2 * (self.head.get() + spare as u64);
        let needed = CONNECTION.get() + buffers.saturating_sub(2 * FIRST_BUFFER);
        let mut share = self.share.borrow_mut();
        if needed <= share.size().get() {
            return true;
        }
        let has_room = share.resize(ByteCount::new(needed));
        drop(share);
        self.publish();
        has_room
    }

    /// Lets another connection give way to this one, which has waited for room since `since`.
    pub(super) fn make_room(&self, since: Timestamp) {
        self.account.make_room(&self.holder, since);
    }

    /// Records that the client has sent something.
    pub(super) fn record_read(&self, bytes: usize) {
        let bytes = bytes as u64;
        if self.phase.get() != Phase::Body {
            self.head.set(self.head.get() + bytes);
        }
        self.fresh.set(self.fresh.get() + bytes);
        let awaits_client = matches!(self.phase.get(), Phase::Body | Phase::Head);
        if self.fresh.get() >= MIN_PROGRESS && awaits_client {
            self.fresh.set(0);
            self.holder.record_wait(self.account.now());
        }
    }

    /// Records that the client has taken something.
    pub(super) fn record_write(&self, bytes: usize) {
        self.unread.set(self.unread.get().saturating_sub(bytes as u64));
        match self.phase.get() {
            Phase::Answer => self.holder.record_work(),
            Phase::Head => self.holder.record_wait(self.account.now()),
            Phase::Body | Phase::Work => {}
        }
    }

    /// Records that so many bytes are about to be sent.
    pub(super) fn record_pending(&self, bytes: usize) {
        if self.is_stream.get() && bytes > MAX_WRITE {
            self.count_bulky();
        }
    }

    /// Counts the buffers of a stream, once.
    fn count_bulky(&self) {
        if self.is_stream.replace(false) {
            let mut share = self.share.borrow_mut();
            let size = share.size().get() + BULKY_STREAM;
            share.force(ByteCount::new(size));
            drop(share);
            self.publish();
        }
    }

    /// Records that the client has to read before more can be sent.
    pub(super) fn record_blocked(&self) {
        self.count_bulky();
        self.holder.record_blocked(self.account.now());
    }

    fn publish(&self) {
        let state = self.share.borrow().size().get();
        self.holder.set_held(ByteCount::new(state + self.body.get() + self.unread.get()));
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.account.remove_holder(&self.holder);
    }
}
