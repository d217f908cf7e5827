use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The command applied at each index by any replica, over the whole run and all restarts.
#[derive(Clone, Default)]
pub struct AppliedLog {
    applied: Rc<RefCell<BTreeMap<u64, u64>>>,
    violations: Rc<RefCell<Vec<String>>>,
}

impl AppliedLog {
    /// Records an applied command. A different command at the same index is a violation that `check`
    /// reports, since a panic here would only end a task of a node.
    pub fn record(&self, index: u64, command: u64) {
        let first = *self.applied.borrow_mut().entry(index).or_insert(command);
        if first != command {
            let text = format!("replicas applied {first:#x} and {command:#x} at index {index}");
            self.violations.borrow_mut().push(text);
        }
    }

    /// Fails when replicas applied different commands.
    pub fn check(&self) {
        let violations = self.violations.borrow();
        assert!(violations.is_empty(), "{violations:?}");
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
