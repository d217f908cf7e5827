//! Table tests of the log in memory.

use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{EntryPayload, LogEntry, Replica, SnapshotMeta, VoterSet};

use super::RecoveredState;
use super::log::Log;

fn index(n: u64) -> LogIndex {
    LogIndex::new(n)
}

fn entry(n: u64, term: u64) -> LogEntry {
    LogEntry { index: index(n), term: Term::new(term), payload: EntryPayload::Noop }
}

fn voters(n: u8) -> VoterSet {
    let replica = Replica {
        id: ReplicaId::from_bytes([n; 16]),
        host: "h0".parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
    };
    VoterSet { voters: [replica].into_iter().collect(), ..VoterSet::default() }
}

fn change(n: u64, of: u8) -> LogEntry {
    LogEntry { payload: EntryPayload::Voters(Box::new(voters(of))), ..entry(n, 1) }
}

/// A step on the log. Writes complete in the order in which they were taken.
enum Step {
    /// Appends entries up to the index in the term.
    Push(u64, u64),
    /// Truncates the log and appends one entry in its place.
    Replace(u64, u64),
    /// Hands the unwritten entries to storage.
    Take,
    /// The entries taken last are synced.
    Synced,
    /// Replaces the log by a snapshot.
    Reset(u64, u64),
    /// The snapshot is synced.
    SnapshotSynced(u64),
    /// Drops entries from memory.
    Compact(u64),
}

#[test]
fn log_knows_what_is_synced() {
    use Step::*;
    struct Case {
        guards: &'static str,
        steps: &'static [Step],
        synced_index: u64,
        last: u64,
    }
    let cases = [
        Case {
            guards: "an entry counts before its sync",
            steps: &[Push(3, 1), Take],
            synced_index: 0,
            last: 3,
        },
        Case {
            guards: "a synced entry does not count",
            steps: &[Push(3, 1), Take, Synced],
            synced_index: 3,
            last: 3,
        },
        Case {
            guards: "an entry appended during a write counts with it",
            steps: &[Push(3, 1), Take, Push(5, 1), Synced],
            synced_index: 3,
            last: 5,
        },
        Case {
            guards: "an entry replaced during a write counts with the old one",
            steps: &[Push(5, 1), Take, Replace(4, 2), Synced],
            synced_index: 3,
            last: 4,
        },
        Case {
            guards: "a replaced synced entry still counts",
            steps: &[Push(5, 1), Take, Synced, Replace(4, 2)],
            synced_index: 3,
            last: 4,
        },
        Case {
            guards: "a write from before a snapshot counts after it",
            steps: &[Push(9, 1), Take, Reset(5, 2), Synced],
            synced_index: 0,
            last: 5,
        },
        Case {
            guards: "a snapshot does not count after its sync",
            steps: &[Push(2, 1), Reset(5, 2), SnapshotSynced(5)],
            synced_index: 5,
            last: 5,
        },
        Case {
            guards: "entries after a snapshot are not written",
            steps: &[Reset(5, 2), Push(7, 2), Take, SnapshotSynced(5), Synced],
            synced_index: 7,
            last: 7,
        },
        Case {
            guards: "compaction loses the unsynced tail",
            steps: &[Push(6, 1), Compact(3), Take, Synced],
            synced_index: 6,
            last: 6,
        },
    ];
    for case in cases {
        let mut log = Log::default();
        let mut taken = None;
        for step in case.steps {
            match *step {
                Push(to, term) => {
                    (log.last_index().get() + 1..=to).for_each(|n| log.push(entry(n, term)));
                }
                Replace(at, term) => {
                    log.truncate(index(at));
                    log.push(entry(at, term));
                }
                Take => taken = Some(log.take_unwritten()),
                Synced => taken.iter().for_each(|t| log.record_synced(t.epoch, t.last_index)),
                Reset(at, term) => log.reset(index(at), Term::new(term), VoterSet::default()),
                SnapshotSynced(at) => log.record_snapshot_synced(index(at)),
                Compact(to) => log.compact(index(to)),
            }
        }
        let found = (log.synced_index(), log.last_index());
        assert_eq!(
            found,
            (index(case.synced_index), index(case.last)),
            "guards against: {}",
            case.guards
        );
    }
}

/// Guards against a voter set that outlives its entry or is lost when its entry is compacted.
#[test]
fn voters_follow_the_log() {
    let mut log = Log::default();
    assert!(log.voters().voters.is_empty());
    [change(1, 1), entry(2, 1), change(3, 2), entry(4, 1)].into_iter().for_each(|e| log.push(e));
    assert_eq!((log.voters(), log.voters_index()), (&voters(2), index(3)));
    assert_eq!(log.voters_at(index(2)), voters(1));
    log.truncate(index(3));
    assert_eq!((log.voters(), log.voters_index()), (&voters(1), index(1)));
    log.compact(index(2));
    assert_eq!(log.voters(), &voters(1));
    log.push(change(3, 3));
    log.compact(index(3));
    assert_eq!(log.voters(), &voters(3));
}

#[test]
fn recovery_keeps_what_follows_the_snapshot() {
    struct Case {
        guards: &'static str,
        /// Index and term of the snapshot.
        snapshot: Option<(u64, u64)>,
        entries: &'static [(u64, u64)],
        /// Index and term of the last entry.
        last: (u64, u64),
    }
    let cases = [
        Case {
            guards: "a log without a snapshot is lost",
            snapshot: None,
            entries: &[(1, 1), (2, 1)],
            last: (2, 1),
        },
        Case {
            guards: "entries in the snapshot are read twice",
            snapshot: Some((2, 1)),
            entries: &[(1, 1), (2, 1), (3, 2)],
            last: (3, 2),
        },
        Case {
            guards: "a tail that a snapshot truncated comes back",
            snapshot: Some((5, 4)),
            entries: &[(6, 3), (7, 3)],
            last: (5, 4),
        },
        Case {
            guards: "entries after a gap count",
            snapshot: Some((5, 4)),
            entries: &[(7, 4)],
            last: (5, 4),
        },
        Case {
            guards: "a snapshot without a log is lost",
            snapshot: Some((5, 4)),
            entries: &[],
            last: (5, 4),
        },
    ];
    for case in cases {
        let meta = |(i, t): (u64, u64)| SnapshotMeta {
            index: index(i),
            term: Term::new(t),
            voters: voters(1),
            size: 0,
        };
        let log = Log::recover(RecoveredState {
            snapshot: case.snapshot.map(|s| (meta(s), Box::default())),
            entries: case.entries.iter().map(|(i, t)| entry(*i, *t)).collect(),
            ..RecoveredState::default()
        });
        let found = (log.last_index().get(), log.last_term().get());
        assert_eq!(found, case.last, "guards against: {}", case.guards);
        assert_eq!(log.synced_index(), log.last_index());
    }
}
