//! Anti-entropy: compares the tables of two hosts and exchanges the records that differ.

use super::exchange::{add_requested_records, merge_message, message_header, targeted_request};
use super::gossip::wake_tasks;
use super::limits::{RECORDS_PER_MESSAGE, SYNC_TIMEOUT};
use super::task_context::TaskContext;
use masticstair_core::id::HostId;
use masticstair_net::peer::{PeerClient, PeerError};
use masticstair_policy::membership::{GossipMessage, RecordKey, digest};

/// The largest number of consecutive comparisons with one peer. Each one makes the tables equal unless
/// records change meanwhile.
const MAX_COMPARISONS: usize = 4;

/// Compares tables with a peer until they are equal, at most `MAX_COMPARISONS` times. Returns the host id
/// of the peer, since the caller may know only its address. With `propagate`, changed records are passed
/// on to other peers.
pub(crate) async fn synchronize(
    cx: &TaskContext,
    client: &PeerClient,
    propagate: bool,
) -> Result<HostId, PeerError> {
    let mut peer = None;
    for _ in 0..MAX_COMPARISONS {
        let (request, local_buckets) = compose_digest_request(cx);
        let mut reply = client.gossip(request, SYNC_TIMEOUT).await?;
        let host = match client.connected_peer() {
            Some(identity) => identity.host,
            None => return Err(PeerError::Lost { address: client.address() }),
        };
        peer = Some(host.clone());
        merge_reply(cx, &host, &mut reply, propagate);
        let difference = compare(cx, &local_buckets, &reply);
        if difference == digest::Difference::default() {
            break;
        }
        transfer_difference(cx, client, &host, difference, propagate).await?;
    }
    wake_tasks(cx);
    peer.ok_or(PeerError::Lost { address: client.address() })
}

/// Composes the first message of a comparison, with the digest and the record of this host. Also returns
/// the buckets of the digest.
fn compose_digest_request(cx: &TaskContext) -> (GossipMessage, Vec<u32>) {
    cx.membership.with_tables(|tables, now| {
        let mut message = message_header(tables, now);
        let (records, _) = tables.digest.get(now, &tables.members, &tables.endpoints);
        message.buckets = digest::buckets(records, digest::bucket_count(records.len()));
        let local = tables.members.get(tables.members.local());
        message.hosts.extend(local.map(|m| (*m.record).clone()));
        let buckets = message.buckets.clone();
        (message, buckets)
    })
}

fn compare(cx: &TaskContext, local_buckets: &[u32], reply: &GossipMessage) -> digest::Difference {
    if reply.buckets.is_empty() {
        return digest::Difference::default();
    }
    cx.membership.with_tables(|tables, now| {
        let (records, _) = tables.digest.get(now, &tables.members, &tables.endpoints);
        let records = digest::differing(records, local_buckets, &reply.buckets, usize::MAX);
        digest::compare(&records, &reply.summaries)
    })
}

/// Sends the records that the peer lacks and requests those that this host lacks, in messages of limited
/// size.
async fn transfer_difference(
    cx: &TaskContext,
    client: &PeerClient,
    host: &HostId,
    difference: digest::Difference,
    propagate: bool,
) -> Result<(), PeerError> {
    let mut wants = difference.wants.chunks(RECORDS_PER_MESSAGE);
    let mut offers = difference.offers.chunks(RECORDS_PER_MESSAGE);
    loop {
        let (wants, offers) = (wants.next(), offers.next());
        if wants.is_none() && offers.is_none() {
            return Ok(());
        }
        let message = cx.membership.with_tables(|tables, _| {
            let mut message = targeted_request(tables);
            add_requested_records(tables, &mut message, offers.unwrap_or_default());
            message.requested_records = wants.map(<[RecordKey]>::to_vec).unwrap_or_default();
            message
        });
        let mut reply = client.gossip(message, SYNC_TIMEOUT).await?;
        merge_reply(cx, host, &mut reply, propagate);
    }
}

fn merge_reply(cx: &TaskContext, host: &HostId, reply: &mut GossipMessage, propagate: bool) {
    cx.membership.with_tables(|tables, now| merge_message(tables, now, host, reply, propagate));
}
