use masticstair_core::id::LogIndex;
use std::cell::RefCell;
use std::rc::Rc;

use super::{ReplicatedState, RestoreError};

/// Applies the encoded command of the log entry at an index; returns the encoded reply.
pub type ApplyFn = dyn FnMut(LogIndex, &[u8]) -> Box<[u8]>;

/// Answers an encoded query; returns the encoded answer.
pub type QueryFn = dyn Fn(&[u8]) -> Box<[u8]>;

/// Replaces the state with that of a snapshot.
pub type RestoreFn = dyn FnMut(&[u8]) -> Result<(), RestoreError>;

/// Closures over the replicated state that take and return encoded messages; called by the consensus tasks.
pub struct StateClosures {
    /// Applies the command of a log entry.
    pub apply: Box<ApplyFn>,
    /// Answers a query without changing the state.
    pub query: Box<QueryFn>,
    /// Encodes the whole state.
    pub snapshot: Box<dyn Fn() -> Box<[u8]>>,
    /// Replaces the whole state with that of a snapshot; leaves it unchanged if the snapshot is rejected.
    pub restore: Box<RestoreFn>,
}

impl StateClosures {
    /// Creates closures over a state that other tasks of the thread also read. No task may hold a borrow of
    /// it across an await point.
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
