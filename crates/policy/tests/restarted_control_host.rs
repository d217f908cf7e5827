//! Listings of a control host that was restarted.

#![allow(clippy::unwrap_used)]

#[path = "support/listing.rs"]
mod listing;

use listing::{at, endpoint, ready, update};
use masticstair_core::prelude::*;
use masticstair_policy::directory::{
    Announcement, AnnouncementTable, Directory, ListingUpdate, ServingState,
};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(4);

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

/// Guards against complete listings that follow each other after a restart, and endpoints that outlast it (DRAIN).
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
