use masticstair_core::unit::{ByteCount, Timestamp};
use masticstair_policy::memory_account::{
    HolderNumber, MemoryBounds, MemoryKind, choose_blocked, choose_excess, choose_idle,
    choose_victim,
};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::account_inner::AccountInner;
use super::{Evicted, Holder, MemoryCounts, MemoryShare, NoRoom, RefusalCause};

/// How long something waits for room before it is refused.
const ROOM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How often it asks again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The time between two searches for a connection that gives way; each looks at all connections.
const SEARCH_INTERVAL: Duration = Duration::from_millis(5);

/// The account of the memory that a process spends on its clients. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Arc<AccountInner>);

impl Default for MemoryAccount {
    fn default() -> Self {
        Self::new(MemoryBounds::default())
    }
}

impl MemoryAccount {
    /// Creates an empty account.
    pub fn new(bounds: MemoryBounds) -> Self {
        Self(Arc::new(AccountInner {
            bounds,
            held: Mutex::default(),
            holders: Mutex::default(),
            last_number: AtomicU64::new(0),
            last_search: AtomicU64::new(0),
            refusals: Default::default(),
            started: Instant::now(),
        }))
    }

    /// Returns an empty share.
    pub fn share(&self, kind: MemoryKind) -> MemoryShare {
        MemoryShare::new(self.clone(), kind)
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> MemoryBounds {
        self.0.bounds
    }

    /// Returns what is held.
    pub fn held(&self) -> ByteCount {
        self.0.held.lock().total()
    }

    /// Returns what is held and what was refused.
    pub fn counts(&self) -> MemoryCounts {
        let refusals = RefusalCause::ALL.map(|cause| self.refusals(cause).load(Ordering::Relaxed));
        MemoryCounts { held: self.held(), bound: self.0.bounds.total(), refusals }
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, cause: RefusalCause) {
        self.refusals(cause).fetch_add(1, Ordering::Relaxed);
    }

    fn refusals(&self, cause: RefusalCause) -> &AtomicU64 {
        &self.0.refusals[cause as usize]
    }

    /// Returns the time of the account. It starts above zero, because zero stands for "never".
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::new(1 + self.0.started.elapsed().as_micros() as u64)
    }

    /// Returns a number for a listener.
    pub(crate) fn add_listener(&self) -> u64 {
        self.next_number()
    }

    /// Adds a connection.
    pub(crate) fn add_holder(&self, listener: u64) -> (Arc<Holder>, Evicted) {
        let number = HolderNumber::new(self.next_number());
        let (holder, evicted) = Holder::new(number, listener, self.now());
        let holder = Arc::new(holder);
        self.0.holders.lock().insert(number, holder.clone());
        (holder, evicted)
    }

    /// Removes a connection.
    pub(crate) fn remove_holder(&self, holder: &Holder) {
        self.0.holders.lock().remove(&holder.number);
    }

    fn next_number(&self) -> u64 {
        self.0.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn resize(&self, kind: MemoryKind, from: ByteCount, to: ByteCount) -> bool {
        self.0.held.lock().resize(&self.0.bounds, kind, from, to)
    }

    pub(super) fn force(&self, kind: MemoryKind, from: ByteCount, to: ByteCount) {
        self.0.held.lock().force(kind, from, to);
    }

    /// Changes the size of a share; waits for room if there is none, and lets other connections give way.
    ///
    /// # Errors
    ///
    /// Returns `NoRoom` after `ROOM_TIMEOUT`.
    pub(crate) async fn wait_for_room(
        &self,
        holder: &Holder,
        share: &mut MemoryShare,
        size: ByteCount,
    ) -> Result<(), NoRoom> {
        if share.resize(size) {
            return Ok(());
        }
        let since = self.now();
        holder.set_wants_room(Some(since));
        let waited = WantsRoom(holder);
        while self.now().since(since) < ROOM_TIMEOUT {
            self.make_room(waited.0, since);
            monoio::time::sleep(ROOM_POLL_INTERVAL).await;
            if share.resize(size) {
                return Ok(());
            }
        }
        self.count_refusal(RefusalCause::NoRoom);
        Err(NoRoom)
    }

    /// Lets a connection give way to one that has waited for room since `since`, if there is one that should.
    pub(crate) fn make_room(&self, holder: &Holder, since: Timestamp) {
        let now = self.now();
        let last = self.0.last_search.load(Ordering::Relaxed);
        if now.since(Timestamp::new(last)) < SEARCH_INTERVAL {
            return;
        }
        self.0.last_search.store(now.get(), Ordering::Relaxed);
        let holders = self.0.holders.lock();
        let others = holders.values().filter(|h| h.number != holder.number);
        let victim = choose_victim(now, others.map(|h| h.view()), holder.begun(), since);
        if let Some(victim) = victim.and_then(|number| holders.get(&number)) {
            self.evict(victim, RefusalCause::GaveWay);
        }
    }

    /// Lets the connection of a listener give way whose client has stalled the longest.
    pub(crate) fn make_place(&self, listener: u64) {
        let holders = self.0.holders.lock();
        let own = holders.values().filter(|h| h.listener == listener);
        let victim = choose_idle(self.now(), own.map(|h| h.view()));
        if let Some(victim) = victim.and_then(|number| holders.get(&number)) {
            self.evict(victim, RefusalCause::Connections);
        }
    }

    /// Closes the connections of a listener whose clients have read nothing of their answers for `limit`.
    pub(crate) fn close_unread(&self, listener: u64, limit: Duration) {
        let holders = self.0.holders.lock();
        let own = holders.values().filter(|h| h.listener == listener);
        for number in choose_blocked(self.now(), own.map(|h| h.view()), limit) {
            if let Some(victim) = holders.get(&number) {
                self.evict(victim, RefusalCause::Unread);
            }
        }
    }

    /// Closes stalled connections while more is held than the bound allows, as after what had to be counted by force.
    pub(crate) fn relieve(&self) {
        let excess = self.held().get().saturating_sub(self.0.bounds.total().get());
        if excess == 0 {
            return;
        }
        let holders = self.0.holders.lock();
        let views = holders.values().map(|h| h.view());
        for number in choose_excess(self.now(), views, ByteCount::new(excess)) {
            if let Some(victim) = holders.get(&number) {
                self.evict(victim, RefusalCause::GaveWay);
            }
        }
    }

    fn evict(&self, victim: &Holder, cause: RefusalCause) {
        if victim.evict() {
            self.count_refusal(cause);
        }
    }
}

/// Marks a connection that waits for room, until it is dropped.
struct WantsRoom<'a>(&'a Holder);

impl Drop for WantsRoom<'_> {
    fn drop(&mut self) {
        self.0.set_wants_room(None);
    }
}
