use std::cell::Cell;
use std::rc::Rc;

use super::CallRefused;
use super::limits::SERVER_CALLS_LIMIT;

/// A guard for one call that the server is handling. Dropping it frees the slot.
pub(crate) struct CallSlot(Rc<Cell<usize>>);

impl CallSlot {
    /// Takes a slot, or refuses the call if `SERVER_CALLS_LIMIT` calls are in flight.
    pub(crate) fn try_acquire(in_flight: &Rc<Cell<usize>>) -> Result<Self, CallRefused> {
        let count = in_flight.get();
        if count >= SERVER_CALLS_LIMIT {
            return Err(CallRefused::new(format!(
                "connection has {count} calls in flight (at most {SERVER_CALLS_LIMIT} are allowed)"
            )));
        }
        in_flight.set(count + 1);
        Ok(Self(in_flight.clone()))
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
