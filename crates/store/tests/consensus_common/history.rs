use std::cell::RefCell;
use std::collections::BTreeMap;

use super::applied_log::AppliedLog;
use super::write::Write;

/// The operations of a run as its clients observed them.
#[derive(Debug, Default)]
pub struct History {
    /// Acknowledged commands in the order of acknowledgement.
    pub acked: RefCell<Vec<Write>>,
    /// Commands that ended as `NotProposed`.
    pub refused: RefCell<Vec<u64>>,
    /// The number of commands that ended as `Unknown`.
    pub unknown: RefCell<usize>,
    /// The answers to reads, each with the number of acknowledged commands and the length of the longest
    /// answer before the read began.
    pub reads: RefCell<Vec<(Vec<u64>, usize, usize)>>,
}

impl History {
    /// Fails when the observed operations do not match the applied commands.
    pub fn check(&self, applied_log: &AppliedLog) {
        applied_log.check();
        let commands = applied_log.commands();
        let mut positions = BTreeMap::new();
        for (at, command) in commands.iter().enumerate() {
            let before = positions.insert(*command, at);
            assert_eq!(before, None, "command {command:#x} was applied twice");
        }
        for command in self.refused.borrow().iter() {
            assert!(!positions.contains_key(command), "{command:#x} was refused and applied");
        }
        self.check_writes(&commands, &positions);
        self.check_reads(&commands, &positions);
    }

    /// Checks that an acknowledged command is applied, that its reply matches the state at its position,
    /// and that it follows every command acknowledged before it was sent.
    fn check_writes(&self, commands: &[u64], positions: &BTreeMap<u64, usize>) {
        let acked = self.acked.borrow();
        let mut last = Vec::new();
        for write in acked.iter() {
            let Some(at) = positions.get(&write.command) else {
                panic!("{write:?} was acknowledged and is lost");
            };
            let earlier = &commands[..*at];
            let claims = earlier.iter().filter(|c| *c & 0xff == write.command & 0xff).count();
            assert_eq!(write.reply, claims as u64, "{write:?} has a wrong reply");
            let before = write.acked_before.checked_sub(1).map(|i| last[i]);
            assert!(before.is_none_or(|b: usize| b < *at), "{write:?} precedes an earlier one");
            last.push(last.last().copied().unwrap_or(0).max(*at));
        }
    }

    /// Checks that each answer is a prefix of the applied commands, contains every command acknowledged
    /// before the read, and is no shorter than an earlier answer.
    fn check_reads(&self, commands: &[u64], positions: &BTreeMap<u64, usize>) {
        let acked = self.acked.borrow();
        for (answer, acked_before, longest_before) in self.reads.borrow().iter() {
            assert!(commands.starts_with(answer), "an answer is not a prefix of the log");
            assert!(answer.len() >= *longest_before, "an answer is older than an earlier one");
            for write in &acked[..*acked_before] {
                let is_seen = positions[&write.command] < answer.len();
                assert!(is_seen, "{write:?} is missing in an answer of {}", answer.len());
            }
        }
    }
}
