use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::Faults;

/// Controls a running stand-in.
#[derive(Clone)]
pub struct StandInHandle {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Faults that can be turned on while it runs.
    pub faults: Faults,
    pub(super) leaving: Rc<Cell<bool>>,
}

impl StandInHandle {
    /// Marks the endpoint as leaving from its next announcement on. It still accepts calls.
    pub fn leave(&self) {
        self.leaving.set(true);
    }
}
