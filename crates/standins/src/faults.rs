use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Stands for "never" in `cut_after_tokens`.
const NEVER: u64 = u64::MAX;

/// Faults that a test switches on and off, from any thread, while a stand-in runs.
#[derive(Clone, Debug)]
pub struct Faults(Arc<FaultState>);

#[derive(Debug)]
struct FaultState {
    /// Thousandths.
    slowdown: AtomicU64,
    failing: AtomicBool,
    failing_after_run: AtomicBool,
    silent: AtomicBool,
    wrong_request_id: AtomicBool,
    /// Tokens.
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
    /// Makes every call take `factor` times as long; a factor below 0 counts as 0.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.slowdown.store((factor.max(0.0) * 1_000.0) as u64, Ordering::Relaxed);
    }

    /// Answers every call at once with an error that says that it was not run.
    pub fn set_failing(&self, failing: bool) {
        self.0.failing.store(failing, Ordering::Relaxed);
    }

    /// Runs every call and answers with an error that says that it may have run.
    pub fn set_failing_after_run(&self, failing: bool) {
        self.0.failing_after_run.store(failing, Ordering::Relaxed);
    }

    /// Takes calls, runs them, and never answers.
    pub fn set_silent(&self, silent: bool) {
        self.0.silent.store(silent, Ordering::Relaxed);
    }

    /// Answers with the id of another request.
    pub fn set_wrong_request_id(&self, wrong_request_id: bool) {
        self.0.wrong_request_id.store(wrong_request_id, Ordering::Relaxed);
    }

    /// Ends each stream without its last event after so many tokens.
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
