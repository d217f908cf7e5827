use std::time::Duration;

/// What a connection may use before the others get a turn; a byte that is read counts as one.
const TURN_BYTES: usize = 64 << 10;

/// What a read costs at least, so that many small reads end a turn, too.
const MIN_READ_COST: usize = 256;

/// What a write costs. It stands for the work on the request that it answers.
const WRITE_COST: usize = 2 << 10;

/// How long a connection waits after its turn. The runtime looks at its timers only while no task is ready, so it is
/// not enough to wake the task again at once.
pub(crate) const PAUSE: Duration = Duration::from_millis(1);

/// What a connection has used since it last waited for its peer.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    used: usize,
}

impl Turn {
    /// Records a read without a wait.
    pub(crate) fn record_read(&mut self, bytes: usize) {
        self.used += bytes.max(MIN_READ_COST);
    }

    /// Records a write without a wait.
    pub(crate) fn record_write(&mut self) {
        self.used += WRITE_COST;
    }

    /// Records that the connection waits, which begins its next turn.
    pub(crate) fn record_wait(&mut self) {
        self.used = 0;
    }

    /// Returns whether the connection is to wait before it reads on.
    pub(crate) fn has_ended(&self) -> bool {
        self.used >= TURN_BYTES
    }
}
