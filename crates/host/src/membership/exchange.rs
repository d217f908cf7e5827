//! Composes and merges gossip messages. These functions only access the tables; the tasks send the
//! messages.

use std::collections::{BTreeSet, HashSet};

use super::limits::{FINGERPRINTS_PER_MESSAGE, RECORDS_PER_MESSAGE, load_reports_per_message};
use super::tables::Tables;
use masticstair_core::id::HostId;
use masticstair_core::unit::Timestamp;
use masticstair_net::peer::PeerIdentity;
use masticstair_net::peer::limits::SUMMARIES_LIMIT;
use masticstair_policy::endpoint_table::{EndpointRecord, LoadReport};
use masticstair_policy::membership::{
    GossipMessage, HostState, RecordFingerprint, RecordKey, UpdateKey, digest,
};

/// Composes a request with the fingerprints of recent updates. For a change that this host made, the
/// first few requests contain the full record instead.
pub(crate) fn compose_request(tables: &mut Tables, now: Timestamp, to: &HostId) -> GossipMessage {
    let hosts = tables.members.live_count();
    tables.updates.prune(now, hosts);
    let mut message = message_header(tables, now);
    for due in tables.updates.due(now, to, hosts, FINGERPRINTS_PER_MESSAGE) {
        if due.eager && record_count(&message) < RECORDS_PER_MESSAGE {
            add_record(tables, &mut message, &due.key);
            tables.updates.record_eager_send(&due.key);
        } else {
            message.updates.extend(fingerprint_of(tables, &due.key));
        }
    }
    add_receiver_record(tables, &mut message, to);
    message.loads = next_load_reports(tables, load_reports_per_message(hosts));
    message
}

/// Composes a request whose reply contains only what it requests. The table hash of 0 marks such a request.
pub(crate) fn targeted_request(tables: &Tables) -> GossipMessage {
    GossipMessage { revision: tables.revision, ..GossipMessage::default() }
}

/// Composes a message with the revision and the table hash but without updates.
pub(crate) fn message_header(tables: &mut Tables, now: Timestamp) -> GossipMessage {
    let (_, table_hash) = tables.digest.get(now, &tables.members, &tables.endpoints);
    GossipMessage { revision: tables.revision, table_hash, ..GossipMessage::default() }
}

/// Merges a message into the tables. Returns the keys of the records that the sender has in an older
/// version. With `propagate`, changed records are passed on to other peers.
pub(crate) fn merge_message(
    tables: &mut Tables,
    now: Timestamp,
    from: &HostId,
    message: &mut GossipMessage,
    propagate: bool,
) -> Vec<UpdateKey> {
    let mut older = Vec::new();
    tables.members.record_seen(now, from);
    tables.record_revision(message.revision, from);
    tables.reported_revisions.record(now, from, message.revision);
    for record in std::mem::take(&mut message.hosts) {
        let key = UpdateKey::Host(record.host.clone());
        let known = tables.members.get(&record.host).map(|m| m.record.clone());
        if tables.merge_host(now, record.clone(), from, propagate) {
            continue;
        }
        if known.is_some_and(|known| known.supersedes(&record)) {
            older.push(key);
        }
    }
    for record in std::mem::take(&mut message.endpoints) {
        merge_endpoint(tables, now, from, record, propagate, &mut older);
    }
    for report in std::mem::take(&mut message.loads) {
        let entry = tables.endpoints.get(&report.endpoint);
        // A report that this host received directly from the endpoint is newer.
        if entry.is_some_and(|e| e.record.observer != *tables.members.local()) {
            tables.endpoints.record_load(now, report);
        }
    }
    let (_, local_hash) = tables.digest.get(now, &tables.members, &tables.endpoints);
    if message.table_hash == local_hash {
        tables.last_equal_at = now;
    }
    older
}

/// Merges a request and composes the reply: recent updates that the caller does not list. Updates that
/// the caller lists and this host lacks arrive with the reply to one of its own next requests, which
/// costs less than another message now.
pub(crate) fn answer_request(
    tables: &mut Tables,
    now: Timestamp,
    caller: &PeerIdentity,
    mut request: GossipMessage,
) -> GossipMessage {
    let sent = record_keys(&request);
    let older = merge_message(tables, now, &caller.host, &mut request, true);
    let mut reply = message_header(tables, now);
    for key in &older {
        add_record(tables, &mut reply, key);
    }
    add_requested_records(tables, &mut reply, &request.requested_records);
    add_requested_updates(tables, &mut reply, &request.requested_updates);
    if request.table_hash == 0 {
        return reply;
    }
    add_recent_updates(tables, now, &mut reply, caller, &request.updates, &sent);
    add_receiver_record(tables, &mut reply, &caller.host);
    check_caller_identity(tables, &mut reply, caller);
    reply.loads = next_load_reports(tables, load_reports_per_message(tables.members.live_count()));
    if !request.buckets.is_empty() {
        add_digest_difference(tables, now, &request, &mut reply);
    }
    reply
}

/// Returns the fingerprints of updates that this host lacks, limited to the records of one message.
pub(crate) fn unknown_fingerprints(
    tables: &Tables,
    updates: &[RecordFingerprint],
) -> Vec<RecordFingerprint> {
    let updates = updates.iter().copied();
    updates
        .filter(|fingerprint| !tables.digest.contains(*fingerprint))
        .take(RECORDS_PER_MESSAGE)
        .collect()
}

/// Adds the records of the recent updates that a peer requested.
pub(crate) fn add_requested_updates(
    tables: &Tables,
    message: &mut GossipMessage,
    requested: &[RecordFingerprint],
) {
    if requested.is_empty() {
        return;
    }
    let keys: Vec<UpdateKey> = tables.updates.keys().cloned().collect();
    for key in keys {
        if fingerprint_of(tables, &key).is_some_and(|fingerprint| requested.contains(&fingerprint))
        {
            add_record(tables, message, &key);
        }
    }
}

/// Adds the records that a peer requested by key.
pub(crate) fn add_requested_records(
    tables: &Tables,
    message: &mut GossipMessage,
    requested: &[RecordKey],
) {
    if requested.is_empty() {
        return;
    }
    let requested: BTreeSet<_> = requested.iter().take(RECORDS_PER_MESSAGE).collect();
    for member in tables.members.iter() {
        if requested.contains(&RecordKey::of_host(member.record.host.as_str())) {
            message.hosts.push((*member.record).clone());
        }
    }
    for entry in tables.endpoints.iter() {
        if requested.contains(&RecordKey::of_endpoint(entry.record.id.as_str())) {
            message.endpoints.push((*entry.record).clone());
        }
    }
}

fn merge_endpoint(
    tables: &mut Tables,
    now: Timestamp,
    from: &HostId,
    record: EndpointRecord,
    propagate: bool,
    older: &mut Vec<UpdateKey>,
) {
    let key = UpdateKey::Endpoint(record.id.clone());
    if tables.endpoints.merge(now, record.clone()) {
        tables.mark_changed();
        if propagate {
            tables.updates.push(now, key, Some(from.clone()));
        }
        return;
    }
    let known = tables.endpoints.get(&record.id);
    if known.is_some_and(|known| known.record.supersedes(&record)) {
        older.push(key);
    }
}

/// Adds the record of the receiver if it is not alive in the tables of this host, so that the receiver
/// can refute that state.
fn add_receiver_record(tables: &Tables, message: &mut GossipMessage, to: &HostId) {
    let Some(member) = tables.members.get(to) else { return };
    let known = message.hosts.iter().any(|record| record.host == *to);
    if member.record.state != HostState::Alive && !known {
        message.hosts.push((*member.record).clone());
    }
}

/// Adds the recent updates that the caller neither listed nor sent: fresh ones as records, while the
/// message has free capacity, and the others as fingerprints.
fn add_recent_updates(
    tables: &Tables,
    now: Timestamp,
    reply: &mut GossipMessage,
    caller: &PeerIdentity,
    known_to_caller: &[RecordFingerprint],
    sent: &HashSet<UpdateKey>,
) {
    let hosts = tables.members.live_count();
    for due in tables.updates.due(now, &caller.host, hosts, FINGERPRINTS_PER_MESSAGE) {
        if !due.answerable {
            continue;
        }
        let Some(fingerprint) = fingerprint_of(tables, &due.key) else { continue };
        if known_to_caller.contains(&fingerprint) || sent.contains(&due.key) {
            continue;
        }
        if due.fresh && record_count(reply) < RECORDS_PER_MESSAGE {
            add_record(tables, reply, &due.key);
        } else {
            reply.updates.push(fingerprint);
        }
    }
}

/// Requests the record of a caller that is unknown or has a newer incarnation, and sends an outdated
/// incarnation the record that replaced it.
fn check_caller_identity(tables: &Tables, reply: &mut GossipMessage, caller: &PeerIdentity) {
    let known = tables.members.get(&caller.host).map(|m| m.record.incarnation);
    if known.is_none_or(|known| known < caller.incarnation) {
        reply.requested_records.push(RecordKey::of_host(caller.host.as_str()));
    }
    if known.is_some_and(|known| known > caller.incarnation) {
        add_record(tables, reply, &UpdateKey::Host(caller.host.clone()));
    }
}

fn record_count(message: &GossipMessage) -> usize {
    message.hosts.len() + message.endpoints.len()
}

fn record_keys(message: &GossipMessage) -> HashSet<UpdateKey> {
    let hosts = message.hosts.iter().map(|r| UpdateKey::Host(r.host.clone()));
    hosts.chain(message.endpoints.iter().map(|r| UpdateKey::Endpoint(r.id.clone()))).collect()
}

fn fingerprint_of(tables: &Tables, key: &UpdateKey) -> Option<RecordFingerprint> {
    let summary = match key {
        UpdateKey::Host(host) => tables.members.get(host)?.record.summary(),
        UpdateKey::Endpoint(id) => tables.endpoints.get(id)?.record.summary(),
    };
    Some(summary.fingerprint())
}

fn add_record(tables: &Tables, message: &mut GossipMessage, key: &UpdateKey) {
    match key {
        UpdateKey::Host(host) => {
            let record = tables.members.get(host).map(|m| &*m.record);
            message.hosts.extend(record.filter(|r| !message.hosts.contains(r)).cloned());
        }
        UpdateKey::Endpoint(id) => {
            let record = tables.endpoints.get(id).map(|e| &*e.record);
            message.endpoints.extend(record.filter(|r| !message.endpoints.contains(r)).cloned());
        }
    }
}

fn add_digest_difference(
    tables: &mut Tables,
    now: Timestamp,
    request: &GossipMessage,
    reply: &mut GossipMessage,
) {
    let (records, _) = tables.digest.get(now, &tables.members, &tables.endpoints);
    let local = digest::buckets(records, request.buckets.len());
    if local == request.buckets {
        return;
    }
    reply.summaries =
        digest::differing(records, &local, &request.buckets, SUMMARIES_LIMIT as usize);
    reply.buckets = local;
}

/// Returns up to `budget` load reports of the endpoints that this host observes, in rotation.
fn next_load_reports(tables: &mut Tables, budget: usize) -> Vec<LoadReport> {
    if budget == 0 {
        return Vec::new();
    }
    let local_host = tables.members.local();
    let observed: Vec<&LoadReport> = tables
        .endpoints
        .iter()
        .filter(|e| e.record.observer == *local_host)
        .filter_map(|e| e.load.as_ref().map(|(report, _)| report))
        .collect();
    let count = budget.min(observed.len());
    let start = tables.load_cursor;
    let reports = (0..count).map(|i| observed[(start + i) % observed.len()].clone()).collect();
    tables.load_cursor = start.wrapping_add(count);
    reports
}
