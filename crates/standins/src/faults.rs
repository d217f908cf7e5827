use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The value of `cut_after_tokens` when streams are not cut.
const NEVER: u64 = u64::MAX;

/// Faults that a test turns on and off while a stand-in runs. Clones share their state across threads.
#[derive(Clone, Debug)]
pub struct Faults(Arc<FaultState>);

#[derive(Debug)]
struct FaultState {
    /// The factor in thousandths.
    slowdown: AtomicU64,
    failing: AtomicBool,
    failing_after_run: AtomicBool,
    silent: AtomicBool,
    wrong_request_id: AtomicBool,
    cut_after_tokens: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self(Arc::new(FaultState {
            slowdown: AtomicU64::new(1_000),
            failing: AtomicBool::new(false),
            failing_after_run: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            wrong_request_id: AtomicBool::new(false),
            cut_after_tokens: AtomicU64::new(NEVER),
        }))
    }
}

impl Faults {
    /// Multiplies the time of every call by `factor`; a negative factor counts as 0.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.slowdown.store((factor.max(0.0) * 1_000.0) as u64, Ordering::Relaxed);
    }

    /// Rejects every call at once with an error that says that it was not run.
    pub fn set_failing(&self, failing: bool) {
        self.0.failing.store(failing, Ordering::Relaxed);
    }

    /// Runs every call, then returns an error that says that it may have run. Streamed calls are not affected.
    pub fn set_failing_after_run(&self, failing: bool) {
        self.0.failing_after_run.store(failing, Ordering::Relaxed);
    }

    /// Accepts and runs calls but never responds; a stream that is open stops before its next token.
    pub fn set_silent(&self, silent: bool) {
        self.0.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns a random request id in place of the caller's. Streamed calls are not affected.
    pub fn set_wrong_request_id(&self, wrong_request_id: bool) {
        self.0.wrong_request_id.store(wrong_request_id, Ordering::Relaxed);
    }

    /// Ends each longer stream after this many tokens, without its end event; `None` turns the fault off.
    pub fn set_cut_after_tokens(&self, tokens: Option<u64>) {
        self.0.cut_after_tokens.store(tokens.unwrap_or(NEVER), Ordering::Relaxed);
    }

    pub(crate) fn slowdown(&self) -> f64 {
        self.0.slowdown.load(Ordering::Relaxed) as f64 / 1_000.0
    }

    pub(crate) fn failing(&self) -> bool {
        self.0.failing.load(Ordering::Relaxed)
    }

    pub(crate) fn failing_after_run(&self) -> bool {
        self.0.failing_after_run.load(Ordering::Relaxed)
    }

    pub(crate) fn silent(&self) -> bool {
        self.0.silent.load(Ordering::Relaxed)
    }

    pub(crate) fn wrong_request_id(&self) -> bool {
        self.0.wrong_request_id.load(Ordering::Relaxed)
    }

    pub(crate) fn cut_after_tokens(&self) -> Option<u64> {
        Some(self.0.cut_after_tokens.load(Ordering::Relaxed)).filter(|tokens| *tokens != NEVER)
    }
}
