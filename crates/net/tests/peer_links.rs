//! Calls between hosts over a link with injected faults.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::{Duration, Instant};

use common::host::*;
use common::link::{Link, LinkMode};
use masticstair_net::runtime::block_on;

/// Guards against effects that outlast a link fault: a dead connection that stays in use, a call that hangs,
/// or a client that does not reconnect.
#[test]
fn connections_are_replaced_after_link_faults() {
    struct Case {
        name: &'static str,
        fault: fn(&Link),
        never_sent: bool,
        /// Whether the client reconnects while the fault lasts.
        reconnects: bool,
    }
    let cases = [
        Case {
            name: "open but dead connection",
            fault: Link::blackhole_open_connections,
            never_sent: false,
            reconnects: true,
        },
        Case {
            name: "requests cut",
            fault: |link| link.set(LinkMode::DropRequests),
            never_sent: false,
            reconnects: false,
        },
        Case {
            name: "answers cut",
            fault: |link| link.set(LinkMode::DropReplies),
            never_sent: false,
            reconnects: false,
        },
        Case {
            name: "silent both ways",
            fault: |link| link.set(LinkMode::DropAll),
            never_sent: false,
            reconnects: false,
        },
        Case {
            name: "delay beyond the deadline",
            fault: |link| link.set(LinkMode::Delay(CALL_TIMEOUT * 2)),
            never_sent: false,
            reconnects: false,
        },
    ];
    block_on(async {
        for case in cases {
            let link = Link::spawn(serve(identity("test", "far", 1)));
            let client = client(link.address, near_identity(), Some("far"));
            assert_eq!(gossip(&client, 1).await, Ok(1), "{}", case.name);
            (case.fault)(&link);
            let start = Instant::now();
            let error = gossip(&client, 2).await.unwrap_err();
            assert!(start.elapsed() < CALL_TIMEOUT + Duration::from_millis(100), "{}", case.name);
            assert_eq!(error.never_sent(), case.never_sent, "{}: {error}", case.name);
            if !case.reconnects {
                link.set(LinkMode::Forward);
            }
            assert!(recovers(&client).await, "{}", case.name);
            assert!(link.accepted() >= 2, "{}", case.name);
        }
    })
    .unwrap();
}

/// Guards against clients that work only on the thread that owns the connection.
#[test]
fn calls_work_from_other_threads() {
    block_on(async {
        let client = client_of_far();
        let (tx, rx) = futures_channel::oneshot::channel();
        let thread = std::thread::spawn(move || {
            let replies = block_on(async {
                let mut replies = Vec::new();
                for revision in 1..=20 {
                    replies.push(gossip(&client, revision).await);
                }
                replies
            });
            tx.send(replies.unwrap()).unwrap();
        });
        let expected: Vec<_> = (1..=20).map(Ok).collect();
        assert_eq!(rx.await.unwrap(), expected);
        thread.join().unwrap();
    })
    .unwrap();
}
