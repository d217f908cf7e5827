//! Gossip messages. Empty lists of hosts, endpoints and updates are omitted; the `rest` struct with the other
//! lists is omitted if all of them are empty.

use super::text::{check_count, read_name};
use super::{endpoint_record, host_record};
use crate::generated::peer_capnp::{gossip_message, gossip_rest, load_report, record_summary};
use crate::peer::DecodeError;
use crate::peer::limits::{BUCKETS_LIMIT, GOSSIP_RECORDS_LIMIT, SUMMARIES_LIMIT};
use capnp::primitive_list;
use masticstair_core::id::Revision;
use masticstair_policy::endpoint_table::LoadReport;
use masticstair_policy::membership::{GossipMessage, RecordFingerprint, RecordKey, RecordSummary};

pub(crate) fn write(mut out: gossip_message::Builder<'_>, message: &GossipMessage) {
    out.set_revision(message.revision.get());
    out.set_table_hash(message.table_hash);
    write_records(out.reborrow(), message);
    if !message.updates.is_empty() {
        write_fingerprints(
            out.reborrow().init_news(message.updates.len() as u32),
            &message.updates,
        );
    }
    let GossipMessage { loads, buckets, summaries, requested_records, requested_updates, .. } =
        message;
    let rest = [
        loads.len(),
        buckets.len(),
        summaries.len(),
        requested_records.len(),
        requested_updates.len(),
    ];
    if rest.iter().any(|len| *len > 0) {
        write_rest(out.init_rest(), message);
    }
}

pub(crate) fn read(message: gossip_message::Reader<'_>) -> Result<GossipMessage, DecodeError> {
    let (hosts, endpoints) = (message.get_hosts()?, message.get_endpoints()?);
    let updates = message.get_news()?;
    check_count("hosts", hosts.len(), GOSSIP_RECORDS_LIMIT)?;
    check_count("endpoints", endpoints.len(), GOSSIP_RECORDS_LIMIT)?;
    check_count("news", updates.len(), SUMMARIES_LIMIT)?;
    let read = GossipMessage {
        revision: Revision::new(message.get_revision()),
        table_hash: message.get_table_hash(),
        hosts: hosts.iter().map(host_record::read).collect::<Result<_, _>>()?,
        endpoints: endpoints.iter().map(endpoint_record::read).collect::<Result<_, _>>()?,
        updates: updates.iter().map(RecordFingerprint::new).collect(),
        ..GossipMessage::default()
    };
    if message.has_rest() { read_rest(message.get_rest()?, read) } else { Ok(read) }
}

fn read_rest(
    rest: gossip_rest::Reader<'_>,
    message: GossipMessage,
) -> Result<GossipMessage, DecodeError> {
    let (loads, buckets) = (rest.get_loads()?, rest.get_buckets()?);
    let (summaries, requested_records, requested_updates) =
        (rest.get_summaries()?, rest.get_wants()?, rest.get_asks()?);
    check_count("loads", loads.len(), GOSSIP_RECORDS_LIMIT)?;
    check_count("buckets", buckets.len(), BUCKETS_LIMIT)?;
    check_count("summaries", summaries.len(), SUMMARIES_LIMIT)?;
    check_count("wants", requested_records.len(), SUMMARIES_LIMIT)?;
    check_count("asks", requested_updates.len(), SUMMARIES_LIMIT)?;
    if !buckets.is_empty() && !buckets.len().is_power_of_two() {
        let reason = format_args!("{} buckets (a power of two is allowed)", buckets.len());
        return Err(DecodeError::value("buckets", reason));
    }
    let summary = |s: record_summary::Reader<'_>| RecordSummary {
        key: RecordKey::new(s.get_key()),
        version: s.get_version(),
    };
    Ok(GossipMessage {
        loads: loads.iter().map(read_load).collect::<Result<_, _>>()?,
        buckets: buckets.iter().collect(),
        summaries: summaries.iter().map(summary).collect(),
        requested_records: requested_records.iter().map(RecordKey::new).collect(),
        requested_updates: requested_updates.iter().map(RecordFingerprint::new).collect(),
        ..message
    })
}

fn write_records(mut out: gossip_message::Builder<'_>, message: &GossipMessage) {
    if !message.hosts.is_empty() {
        let mut hosts = out.reborrow().init_hosts(message.hosts.len() as u32);
        for (i, record) in message.hosts.iter().enumerate() {
            host_record::write(hosts.reborrow().get(i as u32), record);
        }
    }
    if !message.endpoints.is_empty() {
        let mut endpoints = out.init_endpoints(message.endpoints.len() as u32);
        for (i, record) in message.endpoints.iter().enumerate() {
            endpoint_record::write(endpoints.reborrow().get(i as u32), record);
        }
    }
}

fn write_rest(mut out: gossip_rest::Builder<'_>, message: &GossipMessage) {
    let mut loads = out.reborrow().init_loads(message.loads.len() as u32);
    for (i, load) in message.loads.iter().enumerate() {
        let mut out = loads.reborrow().get(i as u32);
        out.set_endpoint(load.endpoint.as_str());
        out.set_running(load.running);
        out.set_queued(load.queued);
    }
    let mut buckets = out.reborrow().init_buckets(message.buckets.len() as u32);
    for (i, hash) in message.buckets.iter().enumerate() {
        buckets.set(i as u32, *hash);
    }
    let mut summaries = out.reborrow().init_summaries(message.summaries.len() as u32);
    for (i, summary) in message.summaries.iter().enumerate() {
        let mut out = summaries.reborrow().get(i as u32);
        out.set_key(summary.key.get());
        out.set_version(summary.version);
    }
    let mut requested_records = out.reborrow().init_wants(message.requested_records.len() as u32);
    for (i, key) in message.requested_records.iter().enumerate() {
        requested_records.set(i as u32, key.get());
    }
    write_fingerprints(
        out.init_asks(message.requested_updates.len() as u32),
        &message.requested_updates,
    );
}

fn write_fingerprints(
    mut out: primitive_list::Builder<'_, u32>,
    fingerprints: &[RecordFingerprint],
) {
    for (i, fingerprint) in fingerprints.iter().enumerate() {
        out.set(i as u32, fingerprint.get());
    }
}

fn read_load(load: load_report::Reader<'_>) -> Result<LoadReport, DecodeError> {
    Ok(LoadReport {
        endpoint: read_name("endpoint", load.get_endpoint())?,
        running: load.get_running(),
        queued: load.get_queued(),
    })
}
