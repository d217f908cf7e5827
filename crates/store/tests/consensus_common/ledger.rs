use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The command that any replica applied at each index, over the whole run and all restarts.
#[derive(Clone, Default)]
pub struct Ledger {
    applied: Rc<RefCell<BTreeMap<u64, u64>>>,
}

impl Ledger {
    /// Notes an applied command; fails when another replica applied another one at this index.
    pub fn note(&self, index: u64, command: u64) {
        let first = *self.applied.borrow_mut().entry(index).or_insert(command);
        assert_eq!(first, command, "replicas applied different commands at index {index}");
    }

    /// Returns how often a command was applied.
    pub fn count(&self, command: u64) -> usize {
        self.applied.borrow().values().filter(|c| **c == command).count()
    }

    /// Returns all commands in the order of their indexes.
    pub fn commands(&self) -> Vec<u64> {
        self.applied.borrow().values().copied().collect()
    }
}
