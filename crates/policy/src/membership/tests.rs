use super::digest::{bucket_count, buckets, compare, differing, table_hash};
use super::limits::{FAILED_RETENTION, GOSSIP_INTERVAL, LEFT_RETENTION, SUSPICION_TIMEOUT};
use super::*;
use masticstair_core::id::{HostId, Incarnation};
use masticstair_core::unit::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const START: Timestamp = Timestamp::new(1_000_000);

fn record(host: &str, incarnation: u64, refutation: u32, state: HostState) -> HostRecord {
    HostRecord {
        host: host.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        refutation: Refutation::new(refutation),
        state,
        address: "127.0.0.1:7000".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        durable: true,
    }
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn table() -> MemberTable {
    let mut table = MemberTable::new(START, record("a", 5, 0, HostState::Alive));
    table.merge(START, record("b", 5, 0, HostState::Alive));
    table
}

/// Guards against older updates that replace newer ones, and against a state that cannot be refuted.
#[test]
fn newer_records_replace_older_ones() {
    use HostState::{Alive, Failed, Left, Suspect};
    struct Case {
        name: &'static str,
        update: HostRecord,
        outcome: MergeOutcome,
    }
    let cases = [
        Case { name: "same", update: record("b", 5, 0, Alive), outcome: MergeOutcome::Unchanged },
        Case {
            name: "suspicion",
            update: record("b", 5, 0, Suspect),
            outcome: MergeOutcome::Changed,
        },
        Case {
            name: "refutation",
            update: record("b", 5, 1, Alive),
            outcome: MergeOutcome::Changed,
        },
        Case { name: "left", update: record("b", 5, 0, Left), outcome: MergeOutcome::Changed },
        Case {
            name: "failure of an earlier incarnation",
            update: record("b", 4, 9, Failed),
            outcome: MergeOutcome::Unchanged,
        },
        Case { name: "restart", update: record("b", 6, 0, Alive), outcome: MergeOutcome::Changed },
        Case { name: "new host", update: record("c", 1, 0, Alive), outcome: MergeOutcome::Changed },
        Case {
            name: "suspicion of this host",
            update: record("a", 5, 0, Suspect),
            outcome: MergeOutcome::Refuted,
        },
        Case {
            name: "failure of this host",
            update: record("a", 5, 3, Failed),
            outcome: MergeOutcome::Refuted,
        },
        Case {
            name: "earlier incarnation of this host",
            update: record("a", 4, 9, Failed),
            outcome: MergeOutcome::Unchanged,
        },
        Case {
            name: "later incarnation of this host",
            update: record("a", 6, 0, Alive),
            outcome: MergeOutcome::Superseded(Incarnation::new(6)),
        },
    ];
    for case in cases {
        let mut table = table();
        let update = case.update.clone();
        assert_eq!(table.merge(START, case.update), case.outcome, "{}", case.name);
        if case.outcome == MergeOutcome::Refuted {
            let local = &table.get(&host("a")).unwrap().record;
            assert!(local.supersedes(&update) && local.state == Alive, "{}", case.name);
            assert_eq!(local.incarnation, Incarnation::new(5), "{}", case.name);
        }
    }
}

/// Guards against failures that are declared too early, too late, or in spite of a refutation.
#[test]
fn suspicions_become_failures_unless_refuted() {
    let mut table = table();
    assert!(table.suspect(START, &host("b")));
    assert!(!table.suspect(START, &host("b")), "one suspicion");
    assert!(!table.suspect(START, &host("a")), "not of itself");
    let almost = START.plus(SUSPICION_TIMEOUT - Duration::from_millis(1));
    assert!(table.expire(almost).is_empty());
    let mut refuted = table.clone();
    refuted.merge(almost, record("b", 5, 1, HostState::Alive));
    assert!(refuted.expire(START.plus(SUSPICION_TIMEOUT * 2)).is_empty());
    assert_eq!(table.expire(START.plus(SUSPICION_TIMEOUT)), [host("b")]);
    assert_eq!(table.live_count(), 1);
    table.expire(START.plus(SUSPICION_TIMEOUT + FAILED_RETENTION));
    assert!(table.get(&host("b")).is_none());
}

/// Guards against hosts that are declared failed because this process was paused.
#[test]
fn pause_of_this_process_fails_nobody() {
    let mut table = table();
    table.expire(START);
    table.suspect(START, &host("b"));
    let awake = START.plus(SUSPICION_TIMEOUT * 5);
    assert!(table.expire(awake).is_empty());
    let mut now = awake;
    while now < awake.plus(SUSPICION_TIMEOUT) {
        assert!(table.expire(now).is_empty());
        now = now.plus(GOSSIP_INTERVAL);
    }
    assert_eq!(table.expire(now), [host("b")]);
}

/// Guards against a table that grows without bound because hosts that left are never removed.
#[test]
fn left_hosts_are_removed_after_their_retention() {
    let mut table = table();
    table.merge(START, record("b", 5, 0, HostState::Left));
    table.expire(START.plus(LEFT_RETENTION - Duration::from_millis(1)));
    assert_eq!(table.merge(START, record("b", 5, 0, HostState::Alive)), MergeOutcome::Unchanged);
    table.expire(START.plus(LEFT_RETENTION));
    assert!(table.get(&host("b")).is_none());
}

/// Guards against a host with a broken network that declares all its peers failed at the usual speed.
#[test]
fn hosts_that_miss_probes_lengthen_their_suspicions() {
    struct Case {
        name: &'static str,
        misses: u32,
        factor: u32,
    }
    let cases = [
        Case { name: "healthy", misses: 0, factor: 1 },
        Case { name: "two peers failed", misses: 2, factor: 1 },
        Case { name: "one more", misses: 3, factor: 2 },
        Case { name: "all", misses: 8, factor: 4 },
    ];
    for case in cases {
        let mut health = ProbeHealth::default();
        (0..case.misses).for_each(|_| health.record(false));
        assert_eq!(health.suspicion_timeout(), SUSPICION_TIMEOUT * case.factor, "{}", case.name);
        (0..8).for_each(|_| health.record(true));
        assert_eq!(health.suspicion_timeout(), SUSPICION_TIMEOUT, "{} recovered", case.name);
    }
}

/// Guards against updates that are sent forever, back to their source, or by their origin without the record.
#[test]
fn updates_are_passed_on_for_about_log2_exchanges() {
    struct Case {
        name: &'static str,
        from: Option<&'static str>,
        eager: u32,
    }
    let cases = [
        Case { name: "made by this host", from: None, eager: 4 },
        Case { name: "received from a peer", from: Some("c"), eager: 0 },
    ];
    for case in cases {
        let mut queue = UpdateQueue::default();
        let key = UpdateKey::Host(host("b"));
        queue.push(START, key.clone(), case.from.map(host));
        let to_source = queue.due(START, &host("c"), 8, 9).len();
        assert_eq!(to_source, usize::from(case.from.is_none()), "{}", case.name);
        let (mut now, mut sent, mut eager, mut fresh) = (START, 0, 0, 0);
        while let Some(due) = queue.due(now, &host("d"), 8, 9).pop() {
            eager += u32::from(due.eager);
            fresh += u32::from(due.fresh);
            queue.record_eager_send(&key);
            now = now.plus(GOSSIP_INTERVAL);
            queue.prune(now, 8);
            sent += 1;
        }
        assert_eq!((sent, eager, fresh), (6, case.eager, 2), "{}", case.name);
    }
}

/// Guards against peers that a random choice leaves unprobed for several rounds.
#[test]
fn every_peer_is_probed_once_in_a_round() {
    let peers: std::collections::BTreeSet<_> = ["a", "b", "c", "d"].map(host).into();
    let mut order = ProbeOrder::default();
    let mut seed = 0u64;
    for round in 0..8 {
        let mut probed = std::collections::BTreeSet::new();
        for _ in 0..peers.len() {
            let draw = || {
                seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
                masticstair_core::unit::Draw::new(seed)
            };
            probed.extend(order.next(&peers, draw));
        }
        assert_eq!(probed, peers, "round {round}");
    }
}

fn summaries() -> impl Strategy<Value = Vec<RecordSummary>> {
    let summary = (0u64..64, 0u32..3);
    prop::collection::btree_map(summary.prop_map(|s| s.0), 0u32..3, 0..48).prop_map(|records| {
        let key = |k: u64| RecordKey::of_host(&format!("h{k}"));
        records.into_iter().map(|(k, version)| RecordSummary { key: key(k), version }).collect()
    })
}

fn any_record() -> impl Strategy<Value = HostRecord> {
    let states = [HostState::Alive, HostState::Suspect, HostState::Failed, HostState::Left];
    (prop::sample::select(vec!["b", "c"]), 0u64..3, 0u32..3, prop::sample::select(states.to_vec()))
        .prop_map(|(host, incarnation, refutation, state)| {
            record(host, incarnation, refutation, state)
        })
}

fn records_of(table: &MemberTable) -> Vec<HostRecord> {
    table.iter().map(|m| (*m.record).clone()).collect()
}

proptest! {
    /// Guards against tables that depend on the order or the number of deliveries of the merged records.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        (records, shuffled) in prop::collection::vec(any_record(), 0..12)
            .prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())),
    ) {
        let merged = |records: &[HostRecord]| {
            let mut table = MemberTable::new(START, record("a", 1, 0, HostState::Alive));
            for record in records {
                table.merge(START, record.clone());
            }
            records_of(&table)
        };
        let once = merged(&records);
        prop_assert_eq!(&once, &merged(&shuffled));
        prop_assert_eq!(&once, &merged(&[&records[..], &shuffled[..]].concat()));
    }

    /// Guards against a digest that misses a difference, or finds one where there is none.
    #[test]
    fn digests_find_exactly_the_difference(a in summaries(), b in summaries()) {
        let count = bucket_count(a.len().max(b.len()));
        let (local, remote) = (buckets(&a, count), buckets(&b, count));
        let full = compare(&a, &b);
        let partial = compare(
            &differing(&a, &local, &remote, usize::MAX),
            &differing(&b, &remote, &local, usize::MAX),
        );
        prop_assert_eq!(&full, &partial);
        let same = full == digest::Difference::default();
        prop_assert_eq!(same, table_hash(&a) == table_hash(&b));
    }
}
