//! Calls between hosts over real loopback connections.

#![allow(clippy::unwrap_used)]

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::host::*;
use masticstair_core::id::{LogIndex, ReplicaId, Revision, Term};
use masticstair_core::message::{AppendRequest, EntryPayload, LogEntry, VoteReply, VoteRequest};
use masticstair_net::peer::limits::{CLIENT_CALLS_LIMIT, MESSAGE_LIMIT_BYTES};
use masticstair_net::peer::*;
use masticstair_net::runtime::block_on;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;

/// Guards against fields that are dropped or swapped between client and handler.
#[test]
fn calls_return_what_the_handler_answers() {
    block_on(async {
        let client = client_of_far();
        let vote = VoteRequest {
            term: Term::new(3),
            candidate: ReplicaId::random(),
            voter: ReplicaId::random(),
            last_index: LogIndex::new(4),
            last_term: Term::new(2),
            pre_vote: false,
            transfer: true,
        };
        let reply = client.vote(GroupId::FIRST, vote, CALL_TIMEOUT).await.unwrap();
        assert_eq!(reply, VoteReply { term: Term::new(3), granted: true });
        let formation = client.formation(GroupId::FIRST, CALL_TIMEOUT).await.unwrap();
        assert_eq!(formation.replica, Some(ReplicaId::from_bytes([9; 16])));
        assert_eq!(gossip(&client, 5).await, Ok(5));
        assert_eq!(client.connected_peer().unwrap().host.as_str(), "far");
        let redirect = ProposeReply::Redirect(Some("near".parse().unwrap()));
        assert_eq!(propose(&client, b"redirect").await, Ok(redirect));
        let refused = propose(&client, b"refuse").await.unwrap_err();
        assert!(refused.to_string().ends_with("not now"), "{refused}");
        let refused =
            client.bundle(BundleRequest { revision: Revision::new(1), offset: 0 }, CALL_TIMEOUT);
        assert!(matches!(refused.await, Err(PeerError::Remote { .. })));
    })
    .unwrap();
}

/// Guards against closing the connection to a leader without a quorum as dead: the proposal gets `Unknown`
/// before the caller's deadline.
#[test]
fn slow_proposal_is_answered_as_unknown_before_the_deadline() {
    block_on(async {
        let client = client_of_far();
        assert_eq!(gossip(&client, 1).await, Ok(1));
        let reply = propose(&client, b"slow").await;
        assert!(matches!(reply, Ok(ProposeReply::Unknown(_))), "{reply:?}");
    })
    .unwrap();
}

/// Guards against connections to another deployment, protocol version or host, or to the host itself.
#[test]
fn wrong_peers_are_refused_with_a_clear_error() {
    struct Case {
        name: &'static str,
        server: PeerIdentity,
        expected: Option<&'static str>,
        message: &'static str,
    }
    let cases = [
        Case {
            name: "other deployment",
            server: identity("other", "far", 1),
            expected: None,
            message: "host near belongs to deployment test, host far to deployment other",
        },
        Case {
            name: "other protocol version",
            server: identity("test", "far", 2),
            expected: None,
            message: "host near speaks protocol version 1, host far speaks version 2",
        },
        Case {
            name: "another host at the address",
            server: identity("test", "third", 1),
            expected: Some("far"),
            message: "it is host third, not far",
        },
        Case {
            name: "this host itself",
            server: near_identity(),
            expected: None,
            message: "it is this host, near",
        },
    ];
    block_on(async {
        for case in cases {
            let client = client(serve(case.server), near_identity(), case.expected);
            let error = gossip(&client, 1).await.unwrap_err();
            assert!(matches!(error, PeerError::Refused { .. }), "{}: {error}", case.name);
            assert!(error.to_string().ends_with(case.message), "{}: {error}", case.name);
            assert!(error.never_sent(), "{}", case.name);
        }
    })
    .unwrap();
}

/// Guards against calls that hang, or count as possibly sent, while nothing listens at the address.
#[test]
fn calls_to_a_dead_host_fail_at_once_as_never_sent() {
    block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let client = client(address, near_identity(), None);
        for _ in 0..20 {
            let start = Instant::now();
            let error = gossip(&client, 1).await.unwrap_err();
            assert!(matches!(error, PeerError::Unreachable { .. }), "{error}");
            assert!(start.elapsed() < Duration::from_millis(100));
        }
    })
    .unwrap();
}

/// Guards against unbounded memory for many concurrent calls or one oversized message.
#[test]
fn calls_and_messages_are_bounded() {
    block_on(async {
        let client = client_of_far();
        assert_eq!(gossip(&client, 1).await, Ok(1));
        let busy = Rc::new(Cell::new(0));
        let calls = (0..CLIENT_CALLS_LIMIT + 8).map(|_| {
            let (client, busy) = (client.clone(), busy.clone());
            async move {
                if let Err(PeerError::Busy { .. }) = propose(&client, b"slow").await {
                    busy.set(busy.get() + 1);
                }
            }
        });
        futures_util::future::join_all(calls).await;
        assert_eq!(busy.get(), 8);
        let entry = LogEntry {
            index: LogIndex::new(1),
            term: Term::new(1),
            payload: EntryPayload::Command(vec![0; MESSAGE_LIMIT_BYTES].into()),
        };
        let append = AppendRequest {
            term: Term::new(1),
            leader: ReplicaId::random(),
            prev_index: LogIndex::new(0),
            prev_term: Term::new(0),
            entries: vec![entry],
            commit: LogIndex::new(0),
            round: 1,
        };
        let error = client.append(GroupId::FIRST, append, CALL_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, PeerError::TooLarge { .. }), "{error}");
        assert_eq!(gossip(&client, 2).await, Ok(2));
    })
    .unwrap();
}

/// Guards against a server that crashes or stops serving other connections after it received bytes that are
/// not a valid message.
#[test]
fn server_keeps_serving_after_malformed_and_oversized_messages() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let cases = [
        Case { name: "text", bytes: b"GET / HTTP/1.1\r\n\r\n".to_vec() },
        Case { name: "ones", bytes: vec![0xff; 4096] },
        Case { name: "zeros", bytes: vec![0; 4096] },
        Case {
            name: "segment of 32 GiB",
            bytes: vec![0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 1, 2, 3],
        },
        Case { name: "half a header", bytes: vec![0, 0, 0] },
    ];
    block_on(async {
        let address = serve(identity("test", "far", 1));
        let client = client(address, near_identity(), Some("far"));
        for case in cases {
            let mut stream = TcpStream::connect_addr(address).await.unwrap();
            // The server may reset the connection while the bytes are being written.
            let _ = stream.write_all(case.bytes).await;
            sleep(Duration::from_millis(20)).await;
            assert_eq!(gossip(&client, 1).await, Ok(1), "{}", case.name);
        }
    })
    .unwrap();
}
