use super::*;
use crate::generated::peer_capnp;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use masticstair_core::bundle::StageKind;
use masticstair_core::id::{Incarnation, LogIndex, ReplicaId, Revision, Term};
use masticstair_core::message::*;
use masticstair_core::unit::Slots;
use masticstair_policy::endpoint_table::*;
use masticstair_policy::membership::*;
use proptest::prelude::*;
use smallvec::smallvec;

fn voters() -> VoterSet {
    let replica = |n: u8| Replica {
        id: ReplicaId::from_bytes([n; 16]),
        host: format!("host-{n}").parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
    };
    VoterSet { voters: smallvec![replica(1), replica(2)], learners: smallvec![replica(3)] }
}

fn gossip_message() -> GossipMessage {
    let host = HostRecord {
        host: "host-1".parse().unwrap(),
        incarnation: Incarnation::new(3),
        refutation: Refutation::new(2),
        state: HostState::Suspect,
        address: "[::1]:7000".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        durable: true,
    };
    let endpoint = EndpointRecord {
        id: "engine-1".parse().unwrap(),
        incarnation: Incarnation::new(9),
        state: EndpointState::Leaving,
        sequence: Sequence::new(4),
        observer: "host-1".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        pool: "engines".parse().unwrap(),
        kind: StageKind::Generate,
        data_centre: "dc-2".parse().unwrap(),
        capacity: Slots::new(16),
        models: smallvec![ServedModel {
            name: "base".parse().unwrap(),
            version: "3".parse().unwrap()
        }],
    };
    let other = EndpointRecord {
        address: "[2001:db8::7]:9000".parse().unwrap(),
        models: smallvec![],
        ..endpoint.clone()
    };
    let load = LoadReport { endpoint: "engine-1".parse().unwrap(), running: 3, queued: 1 };
    GossipMessage {
        revision: Revision::new(8),
        table_hash: 77,
        hosts: vec![host],
        endpoints: vec![endpoint, other],
        loads: vec![load],
        buckets: vec![1, 2, 3, 4],
        summaries: vec![RecordSummary { key: RecordKey::new(5), version: 6 }],
        requested_records: vec![RecordKey::new(7)],
        updates: vec![RecordFingerprint::new(8)],
        requested_updates: vec![RecordFingerprint::new(9)],
    }
}

/// Guards against fields that are dropped or swapped by the conversions.
#[test]
fn messages_round_trip() {
    let mut message = Builder::new_default();
    let expected = gossip_message();
    gossip::write(message.init_root(), &expected);
    assert_eq!(gossip::read(message.get_root_as_reader().unwrap()).unwrap(), expected);

    let payloads = [
        EntryPayload::Noop,
        EntryPayload::Command([1, 2, 3].into()),
        EntryPayload::Voters(Box::new(voters())),
    ];
    let entries = payloads.into_iter().enumerate().map(|(i, payload)| LogEntry {
        index: LogIndex::new(i as u64 + 11),
        term: Term::new(4),
        payload,
    });
    let expected = AppendRequest {
        term: Term::new(5),
        leader: ReplicaId::from_bytes([1; 16]),
        prev_index: LogIndex::new(10),
        prev_term: Term::new(3),
        entries: entries.collect(),
        commit: LogIndex::new(9),
        round: 12,
    };
    let mut message = Builder::new_default();
    append::write_request(message.init_root(), &expected);
    assert_eq!(append::read_request(message.get_root_as_reader().unwrap()).unwrap(), expected);

    let meta =
        SnapshotMeta { index: LogIndex::new(1), term: Term::new(2), voters: voters(), size: 4 };
    let expected = SnapshotChunk {
        term: Term::new(3),
        leader: ReplicaId::from_bytes([2; 16]),
        meta,
        offset: 2,
        data: [7, 8].into(),
        last: true,
    };
    let mut message = Builder::new_default();
    snapshot::write_chunk(message.init_root(), &expected);
    assert_eq!(snapshot::read_chunk(message.get_root_as_reader().unwrap()).unwrap(), expected);
}

/// Decodes bytes as every kind of message. The results are ignored; it only has to return without a panic.
fn read_all(bytes: &[u8]) {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(1 << 16)).nesting_limit(16);
    let Ok(message) = serialize::read_message_from_flat_slice(&mut &bytes[..], options) else {
        return;
    };
    let _ = message.get_root::<peer_capnp::gossip_message::Reader<'_>>().map(gossip::read);
    let _ = message.get_root::<peer_capnp::append_request::Reader<'_>>().map(append::read_request);
    let _ = message.get_root::<peer_capnp::vote_request::Reader<'_>>().map(vote::read_request);
    let _ = message.get_root::<peer_capnp::snapshot_chunk::Reader<'_>>().map(snapshot::read_chunk);
    let _ = message.get_root::<peer_capnp::propose_reply::Reader<'_>>().map(propose::read_reply);
    let _ = message.get_root::<peer_capnp::read_reply::Reader<'_>>().map(read::read_reply);
    let _ = message.get_root::<peer_capnp::bundle_chunk::Reader<'_>>().map(bundle::read_chunk);
    let _ = message.get_root::<peer_capnp::hello::Reader<'_>>().map(hello::read);
    let _ =
        message.get_root::<peer_capnp::formation_answer::Reader<'_>>().map(formation::read_answer);
}

proptest! {
    /// Guards against panics in the read functions on arbitrary message bodies.
    #[test]
    fn arbitrary_bytes_do_not_panic(body in prop::collection::vec(any::<u64>(), 0..64)) {
        let mut bytes = vec![0; 8];
        bytes[4..].copy_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend(body.iter().flat_map(|word| word.to_le_bytes()));
        read_all(&bytes);
    }

    /// Guards against panics in the read functions on valid messages with a few corrupted bytes.
    #[test]
    fn damaged_messages_do_not_panic(
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let mut message = Builder::new_default();
        gossip::write(message.init_root(), &gossip_message());
        let mut bytes = serialize::write_message_to_words(&message);
        for (index, byte) in damage {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        read_all(&bytes);
    }
}
