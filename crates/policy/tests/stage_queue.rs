//! Calls of stage services: what goes into the next one.

#![allow(clippy::unwrap_used)]

use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_policy::stage_queue::{
    EndpointOffer, FreedRoom, JobNumber, KeptResults, StageItem, StageQueue, StageWork,
    stranded_until,
};
use smallvec::smallvec;
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(1 + ms * 1_000)
}

fn item(job: u64, due: u64) -> StageItem {
    let number = (0..job).fold(JobNumber::default(), |n, _| n.next());
    StageItem {
        job: number,
        piece: 0,
        due: at(due),
        deadline: at(due + 4_000),
        since: at(0),
        priority: 0,
        near: None,
        result: ByteCount::new(10),
        is_first: true,
        failures: 0,
    }
}

fn offer() -> EndpointOffer {
    EndpointOffer {
        data_centre: "dc-1".parse().unwrap(),
        overflowing: smallvec![],
        items: 2,
        room: ByteCount::new(1_000),
        full_call: Duration::from_millis(200),
        elsewhere: None,
    }
}

fn dues(taken: &[StageItem]) -> Vec<u64> {
    taken.iter().map(|i| (i.due.get() - 1) / 1_000).collect()
}

fn limits() -> BatchLimits {
    BatchLimits {
        running: Slots::new(1),
        queued: Slots::new(2),
        items: Slots::new(8),
        call: Millis::new(100),
        item_us: 10_000,
        result_room: ByteCount::new(100),
        result_ttl: Millis::new(4_000),
    }
}

/// Guards against calls that are filled in the order of arrival, or with what is too late already.
#[test]
fn urgent_items_that_can_be_on_time_go_first() {
    struct Case {
        name: &'static str,
        items: Vec<StageItem>,
        taken: Vec<u64>,
    }
    let cases = [
        Case {
            name: "earliest objective first",
            items: vec![item(1, 900), item(2, 700), item(3, 800)],
            taken: vec![700, 800],
        },
        Case {
            name: "late ones last",
            items: vec![item(1, 100), item(2, 900), item(3, 800)],
            taken: vec![800, 900],
        },
        Case {
            name: "priority outweighs a small difference",
            items: vec![
                StageItem { priority: 1, ..item(1, 700) },
                item(2, 900),
                StageItem { priority: 1, ..item(3, 300) },
            ],
            taken: vec![300, 900],
        },
        Case {
            name: "what has no room waits",
            items: vec![StageItem { result: ByteCount::new(2_000), ..item(1, 700) }, item(2, 900)],
            taken: vec![900],
        },
    ];
    for case in cases {
        let mut queue = StageQueue::default();
        queue.push(case.items);
        assert_eq!(dues(&queue.take_call(at(0), &offer())), case.taken, "{}", case.name);
    }
}

/// Guards against results that cross data centres while the endpoints at home have time, and against items
/// that wait for them for too long.
#[test]
fn items_stay_in_their_data_centre_while_they_can() {
    struct Case {
        name: &'static str,
        now: u64,
        overflowing: bool,
        due: u64,
        taken: usize,
    }
    let cases = [
        Case { name: "home has time", now: 0, overflowing: false, due: 2_000, taken: 0 },
        Case { name: "home has too much to do", now: 0, overflowing: true, due: 2_000, taken: 1 },
        Case { name: "waited for long", now: 400, overflowing: false, due: 2_000, taken: 1 },
        Case { name: "short of time", now: 0, overflowing: false, due: 300, taken: 1 },
    ];
    for case in cases {
        let home: DataCentreId = "dc-2".parse().unwrap();
        let mut queue = StageQueue::default();
        queue.push([StageItem { near: Some(home.clone()), ..item(1, case.due) }]);
        let overflowing = if case.overflowing { smallvec![home] } else { smallvec![] };
        let offer = EndpointOffer { overflowing, ..offer() };
        assert_eq!(queue.take_call(at(case.now), &offer).len(), case.taken, "{}", case.name);
    }
}

/// Guards against a full queue in which everything is late, and against lost work of earlier stages.
#[test]
fn late_stages_are_taken_out() {
    let mut queue = StageQueue::default();
    queue.push([item(1, 100), StageItem { is_first: false, ..item(2, 100) }, item(3, 900)]);
    let call = Duration::from_millis(200);
    assert_eq!(queue.take_late(at(0), call, true), [item(1, 0).job]);
    assert_eq!(queue.take_late(at(0), call, false), [item(2, 0).job]);
    assert_eq!(queue.take_hopeless(at(4_800), call), [item(3, 0).job]);
    assert!(queue.is_empty());
}

/// Guards against pieces for which an endpoint has no room, and calls that are given up too early.
#[test]
fn endpoint_takes_what_it_has_room_for() {
    let mut work = StageWork::default();
    assert_eq!(work.room(at(0), &limits()), ByteCount::new(88));
    work.results = ByteCount::new(50);
    assert_eq!(work.room(at(0), &limits()), ByteCount::new(38));
    work.note_no_room(at(0), &limits());
    assert_eq!(work.room(at(100), &limits()), ByteCount::new(0));
    assert_eq!(work.room(at(201), &limits()), ByteCount::new(38));
    assert!(work.patience(&limits(), 8) > Duration::from_millis(2 * 180));
    work.note_failure(at(0), Duration::from_millis(700));
    assert!(!work.is_free(at(699), &limits()));
    assert!(work.is_free(at(700), &limits()));
}

/// Guards against pieces of one stage that are taken twice, lost or given the failures of another one.
#[test]
fn pieces_of_a_stage_are_taken_once_each() {
    let pieces =
        (0..5).map(|piece| StageItem { piece, failures: (piece / 4) as u8, ..item(1, 900) });
    let mut queue = StageQueue::default();
    queue.push(pieces);
    queue.push([item(2, 800)]);
    let mut taken = Vec::new();
    for left in [4, 2, 0] {
        taken.extend(queue.take_call(at(0), &offer()));
        assert_eq!(queue.len(), left);
    }
    let taken: Vec<_> = taken.iter().map(|i| (i.job, i.piece, i.failures)).collect();
    let (one, two) = (item(1, 0).job, item(2, 0).job);
    let expected = [(two, 0, 0), (one, 0, 0), (one, 1, 0), (one, 2, 0), (one, 3, 0), (one, 4, 1)];
    assert_eq!(taken, expected);
}

/// Guards against room that is given back twice or never, repeated answers that are not recognised, and
/// results that are remembered for ever.
#[test]
fn kept_results_run_out_once() {
    let handle = |n: u32| ResultHandle::new(format!("10.0.0.1:80/{n}"));
    let room = FreedRoom { endpoint: "m1".parse().unwrap(), size: ByteCount::new(10) };
    let mut kept = KeptResults::default();
    for n in 0..3 {
        kept.keep(handle(n), room.clone(), at(4_000 + u64::from(n)));
    }
    assert!(!kept.release(&handle(0)), "given up for the first time");
    assert!(kept.release(&handle(0)), "given up before");
    assert_eq!(kept.free(&handle(0)), Some(room.clone()));
    struct Case {
        name: &'static str,
        now: u64,
        freed: usize,
        known: usize,
    }
    let cases = [
        Case { name: "nothing is over", now: 3_999, freed: 0, known: 3 },
        Case { name: "the first has been freed", now: 4_000, freed: 0, known: 3 },
        Case { name: "the others are freed", now: 4_002, freed: 2, known: 3 },
        Case { name: "none is freed twice", now: 9_999, freed: 0, known: 3 },
        Case { name: "the first is forgotten", now: 10_000, freed: 0, known: 2 },
        Case { name: "all are forgotten", now: 10_002, freed: 0, known: 0 },
    ];
    for case in cases {
        assert_eq!(kept.expire(at(case.now)).len(), case.freed, "{}", case.name);
        assert_eq!(kept.len(), case.known, "{}", case.name);
    }
    assert!(!kept.contains(&handle(2)));
}

/// Guards against items that go to a slow endpoint although they would be on time at a faster one that is
/// free soon, and against a slow endpoint that stands idle while nothing else helps.
#[test]
fn slow_endpoint_gets_no_item_that_is_on_time_elsewhere() {
    struct Case {
        name: &'static str,
        due: u64,
        elsewhere: Option<u64>,
        taken: usize,
    }
    let cases = [
        Case { name: "on time here", due: 900, elsewhere: Some(400), taken: 1 },
        Case { name: "late here, on time elsewhere", due: 700, elsewhere: Some(400), taken: 0 },
        Case { name: "late everywhere", due: 300, elsewhere: Some(400), taken: 1 },
        Case { name: "no faster endpoint", due: 700, elsewhere: None, taken: 1 },
    ];
    for case in cases {
        let mut queue = StageQueue::default();
        queue.push([item(1, case.due)]);
        let full_call = Duration::from_millis(800);
        let elsewhere = case.elsewhere.map(Duration::from_millis);
        let offer = EndpointOffer { full_call, elsewhere, ..offer() };
        assert_eq!(queue.take_call(at(0), &offer).len(), case.taken, "{}", case.name);
    }
}

/// Guards against stages that wait to their deadline while no endpoint is reached, and against stages that are
/// dropped because every endpoint was full for a moment.
#[test]
fn service_is_stranded_while_every_endpoint_is_left_alone_for_long() {
    struct Case {
        name: &'static str,
        avoided: &'static [u64],
        until: Option<u64>,
    }
    let cases = [
        Case { name: "no endpoint", avoided: &[], until: None },
        Case { name: "one is free", avoided: &[0, 5_000], until: None },
        Case { name: "full for a moment", avoided: &[120, 5_000], until: None },
        Case { name: "none is reached", avoided: &[1_400, 700], until: Some(700) },
    ];
    for case in cases {
        let avoided = case.avoided.iter().map(|ms| at(*ms));
        assert_eq!(stranded_until(at(0), avoided), case.until.map(at), "{}", case.name);
    }
}
