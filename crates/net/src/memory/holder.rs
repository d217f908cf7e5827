use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use masticstair_core::unit::{ByteCount, Timestamp};
use masticstair_policy::memory_account::{HolderNumber, HolderView};
use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Completes when the connection is to give way.
pub(crate) type Evicted = Shared<BoxFuture<'static, ()>>;

/// The part of the state of a connection that the choice of the one that gives way sees. Times are microseconds; 0 stands
/// for none.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(super) number: HolderNumber,
    /// The listener that has accepted the connection.
    pub(super) listener: u64,
    held: AtomicU64,
    waits_since: AtomicU64,
    is_blocked: AtomicBool,
    wants_room_since: AtomicU64,
    begun: AtomicU64,
    /// `None` once the connection was told to give way.
    evict: Mutex<Option<oneshot::Sender<()>>>,
}

impl Holder {
    pub(super) fn new(number: HolderNumber, listener: u64, now: Timestamp) -> (Self, Evicted) {
        let (tx, rx) = oneshot::channel();
        let holder = Self {
            number,
            listener,
            held: AtomicU64::new(0),
            waits_since: AtomicU64::new(now.get()),
            is_blocked: AtomicBool::new(false),
            wants_room_since: AtomicU64::new(0),
            begun: AtomicU64::new(now.get()),
            evict: Mutex::new(Some(tx)),
        };
        // The sender is dropped only with the connection.
        (holder, rx.map(|_| ()).boxed().shared())
    }

    pub(crate) fn set_held(&self, held: ByteCount) {
        self.held.store(held.get(), Ordering::Relaxed);
    }

    /// Records that the process waits for the client from now on.
    pub(crate) fn record_wait(&self, now: Timestamp) {
        self.is_blocked.store(false, Ordering::Relaxed);
        self.waits_since.store(now.get(), Ordering::Relaxed);
    }

    /// Records that the client has to read before the process can go on.
    pub(crate) fn record_blocked(&self, now: Timestamp) {
        if !self.is_blocked.swap(true, Ordering::Relaxed) {
            self.waits_since.store(now.get(), Ordering::Relaxed);
        }
    }

    /// Records that the client waits for the process.
    pub(crate) fn record_work(&self) {
        self.is_blocked.store(false, Ordering::Relaxed);
        self.waits_since.store(0, Ordering::Relaxed);
    }

    /// Records the begin of a request.
    pub(crate) fn record_begin(&self, now: Timestamp) {
        self.begun.store(now.get(), Ordering::Relaxed);
    }

    /// Records since when the request waits for room; `None` if it does not.
    pub(crate) fn set_wants_room(&self, since: Option<Timestamp>) {
        self.wants_room_since.store(since.map_or(0, Timestamp::get), Ordering::Relaxed);
    }

    pub(super) fn evict(&self) -> bool {
        // Sending fails only if the connection closes at this moment.
        self.evict.lock().take().is_some_and(|tx| tx.send(()).is_ok())
    }

    pub(super) fn view(&self) -> HolderView {
        let time = |value: &AtomicU64| match value.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Timestamp::new(micros)),
        };
        let is_evicted = self.evict.lock().is_none();
        HolderView {
            number: self.number,
            held: ByteCount::new(self.held.load(Ordering::Relaxed)),
            waits_since: time(&self.waits_since).filter(|_| !is_evicted),
            is_blocked: self.is_blocked.load(Ordering::Relaxed),
            wants_room_since: time(&self.wants_room_since).filter(|_| !is_evicted),
            begun: Timestamp::new(self.begun.load(Ordering::Relaxed)),
        }
    }

    pub(super) fn begun(&self) -> Timestamp {
        Timestamp::new(self.begun.load(Ordering::Relaxed))
    }
}
