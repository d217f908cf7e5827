use futures_util::future::{FutureExt, pending};
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};
use masticstair_store::consensus::{RecoveredState, Storage, StorageCall, StorageFault};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// A write requested by the process.
#[derive(Clone)]
enum Write {
    Append(Vec<LogEntry>),
    HardState(HardState),
    Snapshot(Box<SnapshotMeta>, Box<[u8]>),
}

/// A disk in memory. A write becomes durable after the sync delay. A write in progress when the process
/// dies is kept, lost or, for entries, kept in part.
pub struct Disk {
    durable: RefCell<RecoveredState>,
    in_progress: RefCell<Option<Write>>,
    /// Incremented with each start of the process; writes of an earlier process have no effect.
    incarnation: Cell<u64>,
    pub sync_delay: Cell<Duration>,
    pub fail_syncs: Cell<bool>,
    /// Whether a snapshot keeps the entries after it even if they contradict it.
    keeps_tail: bool,
    rng: RefCell<SmallRng>,
}

impl Disk {
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            durable: RefCell::default(),
            in_progress: RefCell::default(),
            incarnation: Cell::new(0),
            sync_delay: Cell::new(Duration::ZERO),
            fail_syncs: Cell::new(false),
            keeps_tail: seed.is_multiple_of(2),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// Returns the durable state.
    pub fn recovered(&self) -> RecoveredState {
        self.durable.borrow().clone()
    }

    /// Replaces the durable state, as a restore from a copy does.
    pub fn restore(&self, copy: RecoveredState) {
        *self.durable.borrow_mut() = copy;
    }

    /// Ends the process; a write in progress is kept in full, in part or not at all.
    pub fn crash(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        let Some(write) = self.in_progress.take() else { return };
        match (write, self.rng.borrow_mut().random_range(0..3)) {
            (_, 0) => {}
            (Write::Append(mut entries), 1) => {
                entries.truncate(entries.len().div_ceil(2));
                self.keep(Write::Append(entries));
            }
            (write, _) => self.keep(write),
        }
    }

    /// Returns the storage of a new process.
    pub fn open(self: &Rc<Self>) -> Storage {
        self.incarnation.set(self.incarnation.get() + 1);
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        Storage {
            append: Box::new(move |entries| a.write(Write::Append(entries))),
            save_hard_state: Box::new(move |hard| b.write(Write::HardState(hard))),
            save_snapshot: Box::new(move |meta, data| c.write(Write::Snapshot(meta.into(), data))),
        }
    }

    fn write(self: &Rc<Self>, write: Write) -> StorageCall {
        let disk = self.clone();
        let incarnation = disk.incarnation.get();
        async move {
            if disk.incarnation.get() != incarnation {
                return pending().await;
            }
            *disk.in_progress.borrow_mut() = Some(write);
            if !disk.sync_delay.get().is_zero() {
                monoio::time::sleep(disk.sync_delay.get()).await;
            }
            if disk.incarnation.get() != incarnation {
                return pending().await;
            }
            let write = disk.in_progress.take();
            if disk.fail_syncs.get() {
                return Err(StorageFault("sync failed".into()));
            }
            write.into_iter().for_each(|write| disk.keep(write));
            Ok(())
        }
        .boxed_local()
    }

    fn keep(&self, write: Write) {
        let mut durable = self.durable.borrow_mut();
        match write {
            Write::HardState(hard) => durable.hard_state = hard,
            Write::Append(entries) => {
                let Some(first) = entries.first().map(|e| e.index) else { return };
                durable.entries.retain(|e| e.index < first);
                durable.entries.extend(entries);
            }
            Write::Snapshot(meta, data) => {
                let agrees =
                    durable.entries.iter().any(|e| e.index == meta.index && e.term == meta.term);
                let keeps = agrees || self.keeps_tail;
                durable.entries.retain(|e| keeps && e.index > meta.index);
                durable.snapshot = Some((*meta, data));
            }
        }
    }
}
