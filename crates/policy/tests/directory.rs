//! Listings of control hosts, and how entry hosts merge them.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::directory::{
    Announcement, AnnouncementTable, Directory, ListingChange, ListingUpdate, ServingEndpoint,
    ServingState,
};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Timestamp {
    Timestamp::new(1 + ms * 1_000)
}

fn endpoint(id: &str, address: &str, incarnation: u64, state: ServingState) -> ServingEndpoint {
    ServingEndpoint {
        id: id.parse().unwrap(),
        service: "s".parse().unwrap(),
        address: address.parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        capacity: Slots::new(1),
        incarnation: Incarnation::new(incarnation),
        state,
        cold: Millis::new(0),
        software: None,
    }
}

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

fn update(settled: bool, endpoints: &[ServingEndpoint]) -> ListingUpdate {
    ListingUpdate {
        incarnation: Incarnation::new(1),
        position: 1,
        complete: true,
        settled,
        changes: endpoints.iter().cloned().map(ListingChange::Listed).collect(),
    }
}

fn ready(directory: &Directory) -> Vec<String> {
    directory.ready(&"s".parse().unwrap()).iter().map(|e| e.id.to_string()).collect()
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
    ];
    for case in cases {
        let mut table = table();
        let incarnation = case.incarnation.map(Incarnation::new);
        let id = "e".parse().unwrap();
        let recorded = table.leave(at(10), &id, incarnation, case.remote.as_ref());
        assert_eq!(recorded, case.recorded, "{}", case.name);
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

/// Guards against endpoints that come back because a control host forgot their departure when it was restarted, and a late
/// announcement lists them once more.
#[test]
fn a_restarted_control_host_brings_no_endpoint_back() {
    struct Case {
        name: &'static str,
        control: &'static str,
        /// Whether the restarted process has settled before.
        settled: bool,
        incarnation: u64,
        is_ready: bool,
    }
    let cases = [
        Case { name: "at once", control: "c1", settled: false, incarnation: 5, is_ready: false },
        Case { name: "settled", control: "c1", settled: true, incarnation: 5, is_ready: false },
        Case { name: "elsewhere", control: "c2", settled: true, incarnation: 5, is_ready: false },
        Case { name: "later", control: "c1", settled: true, incarnation: 6, is_ready: true },
    ];
    let first: HostId = "c1".parse().unwrap();
    for state in [ServingState::Leaving, ServingState::Gone] {
        for case in &cases {
            let mut directory = Directory::default();
            let left = endpoint("a", "10.0.0.1:80", 5, state);
            directory.apply_update(at(0), &first, update(true, &[left]));
            let restarted = update(case.settled, &[]);
            let incarnation = Incarnation::new(9);
            directory.apply_update(at(10), &first, ListingUpdate { incarnation, ..restarted });
            let late = endpoint("a", "10.0.0.1:80", case.incarnation, ServingState::Ready);
            let control = case.control.parse().unwrap();
            let listing = update(case.settled, std::slice::from_ref(&late));
            directory.apply_update(at(20), &control, ListingUpdate { incarnation, ..listing });
            assert_eq!(directory.is_ready(&late), case.is_ready, "{}, {state:?}", case.name);
        }
    }
    // What a control host lists is known to all hosts, so it is not told once more.
    let mut directory = Directory::default();
    let left = endpoint("a", "10.0.0.1:80", 5, ServingState::Gone);
    directory.apply_update(at(0), &first, update(true, &[left]));
    assert!(directory.departures_after(0, false).is_empty());
}

/// Guards against complete listings that follow each other after a restart, and against endpoints that stay listed although
/// the restarted control host has settled without them (DRAIN).
#[test]
fn a_restarted_control_host_lists_its_endpoints_once() {
    let (control, e): (HostId, _) = ("c1".parse().unwrap(), endpoint);
    let mut directory = Directory::default();
    let before = [
        e("a", "10.0.0.1:80", 1, ServingState::Ready),
        e("b", "10.0.0.2:80", 1, ServingState::Ready),
    ];
    directory.apply_update(at(0), &control, update(true, &before));

    let mut restarted = AnnouncementTable::new(at(10), Incarnation::new(9), TIMEOUT);
    struct Step {
        name: &'static str,
        at_ms: u64,
        announced: Option<&'static str>,
        complete: bool,
        changes: usize,
        ready: &'static [&'static str],
    }
    let settled_at = 11 + TIMEOUT.as_millis() as u64;
    let steps = [
        Step {
            name: "first",
            at_ms: 20,
            announced: None,
            complete: true,
            changes: 0,
            ready: &["a", "b"],
        },
        Step {
            name: "still empty",
            at_ms: 25,
            announced: None,
            complete: false,
            changes: 0,
            ready: &["a", "b"],
        },
        Step {
            name: "one",
            at_ms: 30,
            announced: Some("a"),
            complete: false,
            changes: 1,
            ready: &["a", "b"],
        },
        Step {
            name: "none",
            at_ms: 40,
            announced: None,
            complete: false,
            changes: 0,
            ready: &["a", "b"],
        },
        Step {
            name: "new",
            at_ms: 50,
            announced: Some("c"),
            complete: false,
            changes: 1,
            ready: &["a", "b", "c"],
        },
        Step {
            name: "settled",
            at_ms: settled_at,
            announced: None,
            complete: false,
            changes: 0,
            ready: &["a", "c"],
        },
        Step {
            name: "after",
            at_ms: settled_at,
            announced: Some("d"),
            complete: false,
            changes: 1,
            ready: &["a", "c", "d"],
        },
    ];
    for (n, step) in steps.iter().enumerate() {
        if let Some(id) = step.announced {
            let address = format!("10.0.0.{}:80", 1 + id.as_bytes()[0] - b'a');
            let endpoint = e(id, &address, 1, ServingState::Ready);
            restarted.announce(at(step.at_ms), Announcement { endpoint, sequence: n as u64 });
        }
        let (incarnation, position) = directory.position(&control);
        let update = restarted.changes_after(at(step.at_ms), incarnation, position);
        assert_eq!(
            (update.complete, update.changes.len()),
            (step.complete, step.changes),
            "{}",
            step.name
        );
        directory.apply_update(at(step.at_ms), &control, update);
        assert_eq!(ready(&directory), step.ready, "{}", step.name);
    }
}
