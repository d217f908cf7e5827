use masticstair_core::id::LogIndex;
use std::cell::RefCell;
use std::rc::Rc;

use super::{ReplicatedState, RestoreError};

/// Applies an encoded command and returns the encoded reply.
pub type ApplyFn = dyn FnMut(LogIndex, &[u8]) -> Box<[u8]>;

/// Answers an encoded query.
pub type QueryFn = dyn Fn(&[u8]) -> Box<[u8]>;

/// Replaces the state by that of a snapshot.
pub type RestoreFn = dyn FnMut(&[u8]) -> Result<(), RestoreError>;

/// The replicated state as the closures over encoded messages that the consensus tasks call.
pub struct StateClosures {
    /// Applies the command of a log entry and returns its encoded reply.
    pub apply: Box<ApplyFn>,
    /// Answers an encoded query.
    pub query: Box<QueryFn>,
    /// Writes the whole state.
    pub snapshot: Box<dyn Fn() -> Box<[u8]>>,
    /// Replaces the whole state by that of a snapshot; leaves it as it is when the snapshot is refused.
    pub restore: Box<RestoreFn>,
}

impl StateClosures {
    /// Makes the closures over a state that other tasks of the thread read as well. No task may hold a
    /// borrow while it waits.
    pub fn new(state: &Rc<RefCell<ReplicatedState>>) -> Self {
        let [a, b, c, d] = [(); 4].map(|()| Rc::clone(state));
        Self {
            apply: Box::new(move |_, command| a.borrow_mut().apply_encoded(command)),
            query: Box::new(move |query| b.borrow().query_encoded(query)),
            snapshot: Box::new(move || c.borrow().snapshot()),
            restore: Box::new(move |bytes| d.borrow_mut().restore(bytes)),
        }
    }
}
