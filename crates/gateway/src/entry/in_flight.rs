use std::cell::Cell;
use std::rc::Rc;

/// Counts a request in progress until it is dropped.
pub(crate) struct InFlight(Rc<Cell<u32>>);

impl InFlight {
    pub(crate) fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
