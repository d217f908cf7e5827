use super::limits::{
    LEASE_DURATION, MAX_RENEWAL_GAP, OBSERVER_GRACE_PERIOD, RENEWAL_INTERVAL, TOMBSTONE_RETENTION,
};
use super::*;
use masticstair_core::bundle::StageKind;
use masticstair_core::id::{EndpointId, HostId, Incarnation};
use masticstair_core::unit::{Slots, Timestamp};
use proptest::prelude::*;
use smallvec::smallvec;
use std::time::Duration;

const START: Timestamp = Timestamp::new(1_000_000);
const TICK: Duration = Duration::from_millis(100);

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        id: "e".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        leaving: false,
        address: "127.0.0.1:9000".parse().unwrap(),
        pool: "engines".parse().unwrap(),
        kind: StageKind::Generate,
        data_centre: "dc-1".parse().unwrap(),
        capacity: Slots::new(8),
        models: smallvec![],
    }
}

fn record(incarnation: u64, state: EndpointState, sequence: u64, observer: &str) -> EndpointRecord {
    let a = announcement(incarnation);
    EndpointRecord {
        id: a.id,
        incarnation: a.incarnation,
        state,
        sequence: Sequence::new(sequence),
        observer: observer.parse().unwrap(),
        address: a.address,
        pool: a.pool,
        kind: a.kind,
        data_centre: a.data_centre,
        capacity: a.capacity,
        models: a.models,
    }
}

fn id() -> EndpointId {
    "e".parse().unwrap()
}

fn table(host: &str) -> EndpointTable {
    EndpointTable::new(host.parse().unwrap())
}

fn state(table: &EndpointTable) -> EndpointState {
    table.get(&id()).unwrap().record.state
}

fn alive(_: &HostId) -> ObserverState {
    ObserverState::Alive
}

fn gone(host: &HostId) -> ObserverState {
    if host.as_str() == "a" { ObserverState::Gone } else { ObserverState::Alive }
}

/// Ticks every 100 ms from `from` up to `to`.
fn tick_until(
    table: &mut EndpointTable,
    from: Timestamp,
    to: Timestamp,
    observer: fn(&HostId) -> ObserverState,
) -> Vec<EndpointId> {
    let mut now = from;
    let mut changed = Vec::new();
    while now <= to {
        changed.extend(table.tick(now, observer));
        now = now.plus(TICK);
    }
    changed
}

/// Guards against an older record that replaces a newer one, and against an endpoint that becomes ready again
/// after it left.
#[test]
fn newer_records_replace_older_ones() {
    use EndpointState::{Expired, Leaving, Ready};
    struct Case {
        name: &'static str,
        known: EndpointRecord,
        update: EndpointRecord,
        replaces: bool,
    }
    let cases = [
        Case {
            name: "later change",
            known: record(1, Ready, 1, "a"),
            update: record(1, Expired, 2, "a"),
            replaces: true,
        },
        Case {
            name: "earlier change",
            known: record(1, Ready, 3, "b"),
            update: record(1, Expired, 2, "a"),
            replaces: false,
        },
        Case {
            name: "leaving beats a later change",
            known: record(1, Ready, 9, "b"),
            update: record(1, Leaving, 2, "a"),
            replaces: true,
        },
        Case {
            name: "leaving is final",
            known: record(1, Leaving, 2, "a"),
            update: record(1, Ready, 9, "b"),
            replaces: false,
        },
        Case {
            name: "restart after leaving",
            known: record(1, Leaving, 2, "a"),
            update: record(2, Ready, 1, "b"),
            replaces: true,
        },
        Case {
            name: "earlier incarnation",
            known: record(2, Ready, 1, "a"),
            update: record(1, Leaving, 9, "a"),
            replaces: false,
        },
    ];
    for case in cases {
        let mut table = table("c");
        assert!(table.merge(START, case.known));
        assert_eq!(table.merge(START, case.update), case.replaces, "{}", case.name);
    }
}

/// Guards against renewals that are published as changes, and against announcements of earlier incarnations.
#[test]
fn announcements_change_the_record_only_when_their_content_changes() {
    let mut table = table("a");
    assert_eq!(table.announce(START, announcement(2)), Ok(true));
    assert_eq!(table.announce(START.plus(RENEWAL_INTERVAL), announcement(2)), Ok(false));
    let more = Announcement { capacity: Slots::new(9), ..announcement(2) };
    assert_eq!(table.announce(START.plus(RENEWAL_INTERVAL), more), Ok(true));
    let outdated = table.announce(START.plus(RENEWAL_INTERVAL), announcement(1));
    assert!(matches!(outdated, Err(AnnounceError::Outdated { .. })), "{outdated:?}");
    assert_eq!(table.leave(START.plus(RENEWAL_INTERVAL), &id(), Incarnation::new(2)), Ok(true));
    assert!(table.views(START.plus(RENEWAL_INTERVAL), alive).is_empty());
    let left = table.announce(START.plus(RENEWAL_INTERVAL), announcement(2));
    assert!(matches!(left, Err(AnnounceError::Left { .. })), "{left:?}");
    assert_eq!(table.announce(START.plus(RENEWAL_INTERVAL), announcement(3)), Ok(true));
    assert_eq!(table.views(START.plus(RENEWAL_INTERVAL), alive).len(), 1);
}

/// Guards against an endpoint that receives work after its lease expired, or none while the lease is valid.
#[test]
fn lease_expires_at_the_observer_and_can_be_granted_again() {
    let mut table = table("a");
    table.announce(START, announcement(1)).unwrap();
    assert!(tick_until(&mut table, START, START.plus(LEASE_DURATION - TICK), alive).is_empty());
    assert_eq!(table.tick(START.plus(LEASE_DURATION), alive), [id()]);
    assert_eq!(state(&table), EndpointState::Expired);
    assert_eq!(table.announce(START.plus(LEASE_DURATION + TICK), announcement(1)), Ok(true));
    assert_eq!(state(&table), EndpointState::Ready);
}

/// Guards against endpoints that expire because their observer was paused: it must process the renewals that
/// arrived during the pause before it expires a lease.
#[test]
fn pause_of_the_observer_expires_no_lease() {
    let mut table = table("a");
    table.announce(START, announcement(1)).unwrap();
    table.tick(START.plus(TICK), alive);
    let resumed_at = START.plus(LEASE_DURATION * 4);
    assert!(table.tick(resumed_at, alive).is_empty());
    assert!(
        tick_until(&mut table, resumed_at, resumed_at.plus(LEASE_DURATION - TICK), alive)
            .is_empty()
    );
    assert_eq!(table.tick(resumed_at.plus(LEASE_DURATION), alive), [id()]);
}

/// Guards against a record that stays ready forever because its observer restarted without the lease.
#[test]
fn record_without_a_lease_of_its_observer_expires() {
    let mut table = table("a");
    table.merge(START, record(1, EndpointState::Ready, 3, "a"));
    assert!(tick_until(&mut table, START, START.plus(LEASE_DURATION - TICK), alive).is_empty());
    assert_eq!(table.tick(START.plus(LEASE_DURATION), alive), [id()]);
}

/// Guards against an endpoint that is lost with its observer, or that stays usable after the grace period.
#[test]
fn record_outlives_a_failed_observer_for_the_grace_period() {
    let mut table = table("c");
    table.merge(START, record(1, EndpointState::Ready, 3, "a"));
    assert!(table.views(START, alive)[0].confirmed);
    assert!(table.tick(START, gone).is_empty());
    let before = START.plus(OBSERVER_GRACE_PERIOD - TICK);
    assert!(!table.views(before, gone)[0].confirmed);
    let mut adopted = table.clone();
    assert_eq!(adopted.announce(before, announcement(1)), Ok(true));
    assert!(adopted.views(START.plus(OBSERVER_GRACE_PERIOD * 2), gone)[0].confirmed);
    assert!(table.views(START.plus(OBSERVER_GRACE_PERIOD), gone).is_empty());
    table.tick(START.plus(TOMBSTONE_RETENTION), gone);
    assert!(table.get(&id()).is_none());
}

/// Guards against two hosts that alternate as observer of an endpoint whose renewals alternate between them.
#[test]
fn only_a_host_that_gets_all_renewals_takes_over() {
    struct Case {
        name: &'static str,
        gap: Duration,
        takes_over: bool,
    }
    let cases = [
        Case { name: "all renewals", gap: RENEWAL_INTERVAL, takes_over: true },
        Case { name: "every second renewal", gap: RENEWAL_INTERVAL * 2, takes_over: false },
        Case {
            name: "just beyond the gap",
            gap: MAX_RENEWAL_GAP + Duration::from_millis(1),
            takes_over: false,
        },
    ];
    for case in cases {
        let mut table = table("b");
        table.merge(START, record(1, EndpointState::Ready, 3, "a"));
        let mut now = START;
        let mut changed = false;
        for _ in 0..8 {
            changed |= table.announce(now, announcement(1)).unwrap();
            now = now.plus(case.gap);
        }
        assert_eq!(changed, case.takes_over, "{}", case.name);
    }
}

/// Guards against an endpoint that is lost when the lease at its previous observer expires after it moved.
#[test]
fn host_with_a_valid_lease_overrides_an_expired_record() {
    let mut table = table("b");
    table.merge(START, record(1, EndpointState::Ready, 3, "a"));
    table.announce(START, announcement(1)).unwrap();
    table.merge(START, record(1, EndpointState::Expired, 4, "a"));
    assert_eq!(table.tick(START.plus(TICK), alive), [id()]);
    let entry = table.get(&id()).unwrap();
    assert_eq!(entry.record.state, EndpointState::Ready);
    assert_eq!(entry.record.observer.as_str(), "b");
}

fn any_record() -> impl Strategy<Value = EndpointRecord> {
    let states = [EndpointState::Ready, EndpointState::Expired, EndpointState::Leaving];
    let (state, host) =
        (prop::sample::select(states.to_vec()), prop::sample::select(vec!["a", "b"]));
    (0u64..3, state, 0u64..3, host, 1u32..3).prop_map(
        |(incarnation, state, seq, host, capacity)| EndpointRecord {
            capacity: Slots::new(capacity),
            ..record(incarnation, state, seq, host)
        },
    )
}

proptest! {
    /// Guards against a merge result that depends on the order or the number of the messages.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        (records, shuffled) in prop::collection::vec(any_record(), 1..12)
            .prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())),
    ) {
        let merged = |records: &[EndpointRecord]| {
            let mut table = table("c");
            for record in records {
                table.merge(START, record.clone());
            }
            (*table.get(&id()).unwrap().record).clone()
        };
        let once = merged(&records);
        prop_assert_eq!(&once, &merged(&shuffled));
        prop_assert_eq!(&once, &merged(&[&records[..], &shuffled[..]].concat()));
    }
}
