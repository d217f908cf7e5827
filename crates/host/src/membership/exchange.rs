//! Makes and reads gossip messages. These functions only touch the tables; the tasks send the messages.

use std::collections::BTreeSet;

use super::limits::{RECORDS_PER_MESSAGE, load_reports};
use super::tables::Tables;
use masticstair_core::id::HostId;
use masticstair_core::unit::Timestamp;
use masticstair_net::peer::PeerIdentity;
use masticstair_net::peer::limits::SUMMARIES_LIMIT;
use masticstair_policy::endpoint_table::{EndpointRecord, LoadReport};
use masticstair_policy::membership::{GossipMessage, HostState, NewsKey, RecordKey, digest};

/// Makes a message with the changes that a host passes on to another.
pub(crate) fn compose(tables: &mut Tables, now: Timestamp, to: &HostId) -> GossipMessage {
    let mut message = header(tables, now);
    let hosts = tables.members.live_count();
    let mut room = RECORDS_PER_MESSAGE;
    let keys = tables.news.take(to, hosts, |_| {
        let fits = room > 0;
        room = room.saturating_sub(1);
        fits
    });
    for key in &keys {
        add_record(tables, &mut message, key);
    }
    add_objection(tables, &mut message, to);
    message.loads = loads(tables, load_reports(hosts));
    message
}

/// Makes a message without changes.
pub(crate) fn header(tables: &mut Tables, now: Timestamp) -> GossipMessage {
    let (_, table_hash) = tables.digest.get(now, &tables.members, &tables.endpoints);
    GossipMessage { revision: tables.revision, table_hash, ..GossipMessage::default() }
}

/// Merges a message. Returns the records that the sender has in an older version.
pub(crate) fn absorb(
    tables: &mut Tables,
    now: Timestamp,
    from: &HostId,
    message: &mut GossipMessage,
    spread: bool,
) -> Vec<NewsKey> {
    let mut older = Vec::new();
    tables.members.note_heard(now, from);
    tables.note_revision(message.revision, from);
    tables.reported.note(now, from, message.revision);
    for record in std::mem::take(&mut message.hosts) {
        let key = NewsKey::Host(record.host.clone());
        let known = tables.members.get(&record.host).map(|m| m.record.clone());
        if tables.merge_host(now, record.clone(), from, spread) {
            continue;
        }
        match known {
            Some(known) if known.supersedes(&record) => older.push(key),
            _ => tables.news.note_known(&key),
        }
    }
    for record in std::mem::take(&mut message.endpoints) {
        absorb_endpoint(tables, now, from, record, spread, &mut older);
    }
    for report in std::mem::take(&mut message.loads) {
        let entry = tables.endpoints.get(&report.endpoint);
        // What the endpoint told this host itself is newer.
        if entry.is_some_and(|e| e.record.observer != *tables.members.local()) {
            tables.endpoints.note_load(now, report);
        }
    }
    let (_, own_hash) = tables.digest.get(now, &tables.members, &tables.endpoints);
    if message.table_hash == own_hash {
        tables.equal_at = now;
    }
    older
}

/// Merges a request and makes its answer.
pub(crate) fn answer(
    tables: &mut Tables,
    now: Timestamp,
    caller: &PeerIdentity,
    mut request: GossipMessage,
) -> GossipMessage {
    let older = absorb(tables, now, &caller.host, &mut request, true);
    let mut reply = compose(tables, now, &caller.host);
    for key in &older {
        add_record(tables, &mut reply, key);
    }
    add_wanted(tables, &mut reply, &request.wants);
    let known = tables.members.get(&caller.host).map(|m| m.record.incarnation);
    if known.is_none_or(|known| known < caller.incarnation) {
        reply.wants.push(RecordKey::of_host(caller.host.as_str()));
    }
    if !request.buckets.is_empty() {
        answer_digest(tables, now, &request, &mut reply);
    }
    reply
}

/// Adds the records that a peer asks for.
pub(crate) fn add_wanted(tables: &Tables, message: &mut GossipMessage, wants: &[RecordKey]) {
    if wants.is_empty() {
        return;
    }
    let wants: BTreeSet<_> = wants.iter().take(RECORDS_PER_MESSAGE).collect();
    for member in tables.members.iter() {
        if wants.contains(&RecordKey::of_host(member.record.host.as_str())) {
            message.hosts.push((*member.record).clone());
        }
    }
    for entry in tables.endpoints.iter() {
        if wants.contains(&RecordKey::of_endpoint(entry.record.id.as_str())) {
            message.endpoints.push((*entry.record).clone());
        }
    }
}

fn absorb_endpoint(
    tables: &mut Tables,
    now: Timestamp,
    from: &HostId,
    record: EndpointRecord,
    spread: bool,
    older: &mut Vec<NewsKey>,
) {
    let key = NewsKey::Endpoint(record.id.clone());
    if tables.endpoints.merge(now, record.clone()) {
        tables.touch();
        if spread {
            tables.news.push(key, Some(from.clone()));
        }
        return;
    }
    match tables.endpoints.get(&record.id) {
        Some(known) if known.record.supersedes(&record) => older.push(key),
        _ => tables.news.note_known(&key),
    }
}

/// Adds the record of the receiver when it is not known as alive, so that it can refute that.
fn add_objection(tables: &Tables, message: &mut GossipMessage, to: &HostId) {
    let Some(member) = tables.members.get(to) else { return };
    let known = message.hosts.iter().any(|record| record.host == *to);
    if member.record.state != HostState::Alive && !known {
        message.hosts.push((*member.record).clone());
    }
}

fn add_record(tables: &Tables, message: &mut GossipMessage, key: &NewsKey) {
    match key {
        NewsKey::Host(host) => {
            let record = tables.members.get(host).map(|m| &*m.record);
            message.hosts.extend(record.filter(|r| !message.hosts.contains(r)).cloned());
        }
        NewsKey::Endpoint(id) => {
            let record = tables.endpoints.get(id).map(|e| &*e.record);
            message.endpoints.extend(record.filter(|r| !message.endpoints.contains(r)).cloned());
        }
    }
}

fn answer_digest(
    tables: &mut Tables,
    now: Timestamp,
    request: &GossipMessage,
    reply: &mut GossipMessage,
) {
    let (records, _) = tables.digest.get(now, &tables.members, &tables.endpoints);
    let own = digest::buckets(records, request.buckets.len());
    if own == request.buckets {
        return;
    }
    reply.summaries = digest::differing(records, &own, &request.buckets, SUMMARIES_LIMIT as usize);
    reply.buckets = own;
}

/// Returns the next load reports of the endpoints that this host observes.
fn loads(tables: &mut Tables, budget: usize) -> Vec<LoadReport> {
    if budget == 0 {
        return Vec::new();
    }
    let local = tables.members.local();
    let own: Vec<&LoadReport> = tables
        .endpoints
        .iter()
        .filter(|e| e.record.observer == *local)
        .filter_map(|e| e.load.as_ref().map(|(report, _)| report))
        .collect();
    let count = budget.min(own.len());
    let start = tables.load_cursor;
    let reports = (0..count).map(|i| own[(start + i) % own.len()].clone()).collect();
    tables.load_cursor = start.wrapping_add(count);
    reports
}
