//! Listings of control hosts, and how entry hosts merge them.

#![allow(clippy::unwrap_used)]

#[path = "support/listing.rs"]
mod listing;

use listing::{at, endpoint, ready, update};
use masticstair_core::prelude::*;
use masticstair_policy::directory::{
    Announcement, AnnouncementTable, Directory, ListingChange, ServingEndpoint, ServingState,
};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(4);

fn table() -> AnnouncementTable {
    AnnouncementTable::new(at(0), Incarnation::new(7), TIMEOUT)
}

fn states(table: &AnnouncementTable) -> Vec<(String, ServingState)> {
    table.endpoints().map(|e| (e.id.to_string(), e.state)).collect()
}

/// Guards against late or repeated announcements that bring an endpoint back or make it ready again.
#[test]
fn late_announcements_change_nothing() {
    struct Case {
        name: &'static str,
        incarnation: u64,
        sequence: u64,
        state: ServingState,
        after: ServingState,
    }
    use ServingState::{Gone, Leaving, Ready};
    let cases = [
        Case { name: "older sequence", incarnation: 5, sequence: 2, state: Ready, after: Leaving },
        Case { name: "same sequence", incarnation: 5, sequence: 3, state: Ready, after: Leaving },
        Case { name: "ready again", incarnation: 5, sequence: 4, state: Ready, after: Leaving },
        Case {
            name: "older incarnation",
            incarnation: 4,
            sequence: 9,
            state: Ready,
            after: Leaving,
        },
        Case { name: "later incarnation", incarnation: 6, sequence: 1, state: Ready, after: Ready },
    ];
    for case in cases {
        let mut table = table();
        let leaving = endpoint("e", "10.0.0.1:80", 5, Leaving);
        table.announce(at(10), Announcement { endpoint: leaving, sequence: 3 });
        let endpoint = endpoint("e", "10.0.0.1:80", case.incarnation, case.state);
        table.announce(at(20), Announcement { endpoint, sequence: case.sequence });
        assert_eq!(states(&table), [("e".to_owned(), case.after)], "{}", case.name);
    }
    let mut table = table();
    let ready = endpoint("e", "10.0.0.1:80", 5, Ready);
    table.announce(at(10), Announcement { endpoint: ready.clone(), sequence: 3 });
    table.leave(at(20), &ready.id, None, None);
    table.announce(at(30), Announcement { endpoint: ready, sequence: 4 });
    assert_eq!(states(&table), [("e".to_owned(), Gone)], "an announcement after the departure");
}

/// Guards against crashed endpoints that stay listed.
#[test]
fn endpoints_without_announcements_expire() {
    let mut table = table();
    let ready = endpoint("e", "10.0.0.1:80", 5, ServingState::Ready);
    table.announce(at(0), Announcement { endpoint: ready, sequence: 1 });
    assert!(table.expire(at(4_000)).is_empty());
    assert_eq!(table.expire(at(4_001)).len(), 1);
    let update = table.changes_after(at(4_001), Incarnation::new(7), table.position() - 1);
    assert_eq!(update.changes, [ListingChange::Dropped("e".parse().unwrap())]);
}

/// Guards against a subscriber that misses changes, or that gets the complete listing with each of them.
#[test]
fn subscribers_get_the_changes() {
    let mut table = table();
    for n in 0..3 {
        let e = endpoint(&format!("e{n}"), &format!("10.0.0.{n}:80"), 1, ServingState::Ready);
        table.announce(at(n), Announcement { endpoint: e, sequence: 1 });
    }
    let local = Incarnation::new(7);
    let first = table.changes_after(at(5), Incarnation::default(), 0);
    assert!(first.complete && first.changes.len() == 3 && !first.settled);
    let none = table.changes_after(at(5), local, first.position);
    assert!(!none.complete && none.changes.is_empty());
    table.leave(at(6), &"e1".parse().unwrap(), None, None);
    assert_eq!(table.changes_after(at(7), local, first.position).changes.len(), 1);
    let other_incarnation = table.changes_after(at(7), Incarnation::new(6), first.position);
    assert!(other_incarnation.complete, "positions of another process are meaningless");
}

/// Guards against work for endpoints that leave, are gone, or whose address another endpoint reuses.
#[test]
fn listings_of_all_control_hosts_are_merged() {
    use ServingState::{Gone, Leaving, Ready};
    struct Case {
        name: &'static str,
        first: Vec<ServingEndpoint>,
        second: Vec<ServingEndpoint>,
        ready: Vec<&'static str>,
    }
    let e = endpoint;
    let cases = [
        Case {
            name: "each lists another one",
            first: vec![e("a", "10.0.0.1:80", 1, Ready)],
            second: vec![e("b", "10.0.0.2:80", 1, Ready)],
            ready: vec!["a", "b"],
        },
        Case {
            name: "one received its departure",
            first: vec![e("a", "10.0.0.1:80", 1, Ready)],
            second: vec![e("a", "10.0.0.1:80", 1, Leaving)],
            ready: vec![],
        },
        Case {
            name: "a later incarnation is ready",
            first: vec![e("a", "10.0.0.1:80", 1, Gone)],
            second: vec![e("a", "10.0.0.1:80", 2, Ready)],
            ready: vec!["a"],
        },
        Case {
            name: "the address belongs to a later endpoint",
            first: vec![e("a", "10.0.0.1:80", 1, Ready)],
            second: vec![e("b", "10.0.0.1:80", 2, Ready)],
            ready: vec!["b"],
        },
    ];
    for case in cases {
        let mut directory = Directory::default();
        directory.apply_update(at(0), &"c1".parse().unwrap(), update(true, &case.first));
        directory.apply_update(at(0), &"c2".parse().unwrap(), update(true, &case.second));
        assert_eq!(ready(&directory), case.ready, "{}", case.name);
    }
}

/// Guards against an entry host that removes every endpoint when the control hosts restart or are unreachable.
#[test]
fn traffic_continues_without_control_hosts() {
    let control: HostId = "c1".parse().unwrap();
    let a = endpoint("a", "10.0.0.1:80", 1, ServingState::Ready);
    let mut directory = Directory::default();
    directory.apply_update(at(0), &control, update(true, std::slice::from_ref(&a)));
    directory.refresh(at(60_000));
    assert_eq!(ready(&directory), ["a"], "no control host answers");
    directory.apply_update(at(61_000), &control, update(false, &[]));
    assert_eq!(ready(&directory), ["a"], "the control host has just started");
    directory.apply_update(at(66_000), &control, update(true, &[]));
    assert!(ready(&directory).is_empty(), "the control host has settled without it");
}

/// Guards against an endpoint that stays ready although only an unreachable control host lists it.
#[test]
fn stale_listings_are_ignored_while_fresh_ones_exist() {
    let (unreachable, live): (HostId, HostId) = ("c1".parse().unwrap(), "c2".parse().unwrap());
    let a = endpoint("a", "10.0.0.1:80", 1, ServingState::Ready);
    let b = endpoint("b", "10.0.0.2:80", 1, ServingState::Ready);
    let mut directory = Directory::default();
    directory.apply_update(at(0), &unreachable, update(true, std::slice::from_ref(&a)));
    directory.apply_update(at(0), &live, update(true, std::slice::from_ref(&b)));
    directory.apply_update(at(7_000), &live, update(true, std::slice::from_ref(&b)));
    directory.refresh(at(7_000));
    assert_eq!(ready(&directory), ["b"]);
}

/// Guards against an endpoint that stays ready because it announced its departure to another control host than
/// the one that receives its heartbeats.
#[test]
fn departure_is_recorded_by_any_control_host() {
    struct Case {
        name: &'static str,
        remote: Option<ServingEndpoint>,
        incarnation: Option<u64>,
        recorded: bool,
    }
    let listed = |incarnation| Some(endpoint("e", "10.0.0.1:80", incarnation, ServingState::Ready));
    let cases = [
        Case { name: "not listed anywhere", remote: None, incarnation: None, recorded: false },
        Case { name: "listed elsewhere", remote: listed(5), incarnation: None, recorded: true },
        Case {
            name: "the same incarnation",
            remote: listed(5),
            incarnation: Some(5),
            recorded: true,
        },
        Case {
            name: "an earlier incarnation left",
            remote: listed(5),
            incarnation: Some(4),
            recorded: false,
        },
        Case {
            name: "a later incarnation left",
            remote: listed(5),
            incarnation: Some(6),
            recorded: true,
        },
    ];
    for case in cases {
        let mut table = table();
        let incarnation = case.incarnation.map(Incarnation::new);
        let id = "e".parse().unwrap();
        let recorded = table.leave(at(10), &id, incarnation, case.remote.as_ref());
        assert_eq!(recorded, case.recorded, "{}", case.name);
        let gone = table.endpoints().map(|e| e.incarnation.get()).next();
        let expected = case.recorded.then_some(case.incarnation.unwrap_or(5));
        assert_eq!(gone, expected, "{}: a late announcement may list it again", case.name);
    }
}

/// Guards against a listing that brings an endpoint back after it said that it leaves, and against a departure that
/// outlasts its process.
#[test]
fn a_stated_departure_is_not_undone_by_a_listing() {
    struct Case {
        name: &'static str,
        /// The incarnation that said that it leaves; the listed one is 5.
        departed: u64,
        /// The incarnation that is listed afterwards.
        listed: u64,
        is_ready: bool,
    }
    let cases = [
        Case { name: "listed again", departed: 5, listed: 5, is_ready: false },
        Case { name: "a later process", departed: 5, listed: 6, is_ready: true },
        Case { name: "a late word of the process before", departed: 4, listed: 5, is_ready: true },
    ];
    let control: HostId = "c1".parse().unwrap();
    for case in cases {
        let mut directory = Directory::default();
        let a = endpoint("a", "10.0.0.1:80", 5, ServingState::Ready);
        directory.apply_update(at(0), &control, update(true, std::slice::from_ref(&a)));
        directory.record_departure(at(10), &a.id, Incarnation::new(case.departed));
        for seconds in [1, 100, 200] {
            let now = at(1_000 * seconds);
            let a = endpoint("a", "10.0.0.1:80", case.listed, ServingState::Ready);
            directory.apply_update(now, &control, update(true, std::slice::from_ref(&a)));
            directory.refresh(now);
            assert_eq!(directory.is_ready(&a), case.is_ready, "{}", case.name);
            assert_eq!(!ready(&directory).is_empty(), case.is_ready, "{}", case.name);
        }
    }
}

/// Guards against departures that two hosts tell each other for ever.
#[test]
fn departures_do_not_travel_for_ever() {
    let mut told = Directory::default();
    assert!(told.record_departure(at(0), &"a".parse().unwrap(), Incarnation::new(5)));
    let mut other = Directory::default();
    assert!(other.merge_departures(at(10), told.departures_after(0, false)));
    assert!(!told.merge_departures(at(20), other.departures_after(0, false)));
    assert!(!other.merge_departures(at(30), told.departures_after(0, false)));
    assert!(other.departures_after(0, true).is_empty(), "the endpoint did not tell this host");
    assert!(told.departures_after(told.departures_position(), false).is_empty());
}
