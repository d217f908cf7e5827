use std::cell::Cell;
use std::rc::Rc;

/// Faults that a test switches on and off while a stand-in runs.
#[derive(Clone, Debug)]
pub struct Faults(Rc<FaultState>);

#[derive(Debug)]
struct FaultState {
    slowdown: Cell<f64>,
    failing: Cell<bool>,
    silent: Cell<bool>,
    foreign: Cell<bool>,
    cut_after: Cell<Option<u64>>,
}

impl Default for Faults {
    fn default() -> Self {
        Self(Rc::new(FaultState {
            slowdown: Cell::new(1.0),
            failing: Cell::new(false),
            silent: Cell::new(false),
            foreign: Cell::new(false),
            cut_after: Cell::new(None),
        }))
    }
}

impl Faults {
    /// Makes every call take `factor` times as long.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.slowdown.set(factor);
    }

    /// Answers every call at once with an error.
    pub fn set_failing(&self, failing: bool) {
        self.0.failing.set(failing);
    }

    /// Takes calls and never answers.
    pub fn set_silent(&self, silent: bool) {
        self.0.silent.set(silent);
    }

    /// Answers with the id of another request.
    pub fn set_foreign(&self, foreign: bool) {
        self.0.foreign.set(foreign);
    }

    /// Ends each stream without its last event after so many tokens.
    pub fn set_cut_after(&self, tokens: Option<u64>) {
        self.0.cut_after.set(tokens);
    }

    pub(crate) fn slowdown(&self) -> f64 {
        self.0.slowdown.get()
    }

    pub(crate) fn failing(&self) -> bool {
        self.0.failing.get()
    }

    pub(crate) fn silent(&self) -> bool {
        self.0.silent.get()
    }

    pub(crate) fn foreign(&self) -> bool {
        self.0.foreign.get()
    }

    pub(crate) fn cut_after(&self) -> Option<u64> {
        self.0.cut_after.get()
    }
}
