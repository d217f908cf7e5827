//! Fetches newer bundles from peers, and serves bundles to peers.

use std::rc::Rc;

use super::gossip::exchange_with_random_peers;
use super::limits::{
    BUNDLE_CHUNK_TIMEOUT, BUNDLE_RETRY_DELAY, MAX_BUNDLE_BYTES, REFUSED_BUNDLE_RETRY_DELAY,
    REVISION_FORWARD_PEERS,
};
use super::task_context::TaskContext;
use masticstair_core::id::{HostId, Revision};
use masticstair_net::peer::limits::BUNDLE_CHUNK_LIMIT_BYTES;
use masticstair_net::peer::{BundleChunk, BundleRequest, CallRefused, PeerClient};
use monoio::time::sleep;

/// Fetches every newer revision that a peer reports, one at a time.
pub(crate) async fn run_bundle_task(cx: TaskContext) {
    loop {
        cx.membership.revision_seen.notified().await;
        while let Some((revision, source)) =
            cx.membership.with_tables(|tables, now| tables.next_source(now))
        {
            match fetch_and_install(&cx, revision, &source).await {
                Ok(()) => {
                    cx.membership.with_tables(|tables, _| tables.record_local_revision(revision));
                    slog::info!(cx.log, "fetched revision is in force; forwarding it to peers";
                        "revision" => %revision, "source" => %source);
                    monoio::spawn(exchange_with_random_peers(cx.clone(), REVISION_FORWARD_PEERS));
                }
                Err(reason) => {
                    slog::warn!(cx.log, "cannot fetch or install the bundle; retrying from the next source";
                        "revision" => %revision, "source" => %source, "reason" => %reason);
                    sleep(BUNDLE_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn fetch_and_install(
    cx: &TaskContext,
    revision: Revision,
    source: &HostId,
) -> Result<(), Box<str>> {
    let record = cx.membership.host(source).ok_or("the source is not in the member table")?;
    let client = cx.peers.client(&record);
    let content = fetch_chunks(&client, revision).await?;
    let installed = (cx.bundles.install)(revision, content).await;
    if installed.is_err() {
        cx.membership.with_tables(|tables, now| {
            tables.refused_revision = Some((revision, now.plus(REFUSED_BUNDLE_RETRY_DELAY)));
        });
    }
    installed
}

async fn fetch_chunks(client: &PeerClient, revision: Revision) -> Result<Box<[u8]>, Box<str>> {
    let mut content = Vec::new();
    loop {
        let request = BundleRequest { revision, offset: content.len() as u64 };
        let chunk =
            client.bundle(request, BUNDLE_CHUNK_TIMEOUT).await.map_err(|e| e.to_string())?;
        check_chunk(&chunk, &request)?;
        content.extend_from_slice(&chunk.data);
        if content.len() as u64 >= chunk.size {
            return Ok(content.into());
        }
    }
}

fn check_chunk(chunk: &BundleChunk, request: &BundleRequest) -> Result<(), Box<str>> {
    if chunk.revision != request.revision {
        return Err(format!("the source does not hold revision {}", request.revision).into());
    }
    if chunk.size > MAX_BUNDLE_BYTES {
        let size = chunk.size;
        return Err(format!("bundle has {size} bytes, the limit is {MAX_BUNDLE_BYTES}").into());
    }
    let end = request.offset + chunk.data.len() as u64;
    if chunk.offset != request.offset || end > chunk.size || chunk.data.is_empty() {
        let (offset, size) = (request.offset, chunk.size);
        return Err(format!(
            "chunk at offset {offset} does not fit into the bundle of {size} bytes"
        )
        .into());
    }
    Ok(())
}

/// Handles the request of a peer for a chunk; the chunk is empty if this host does not hold the revision.
pub(crate) fn serve_chunk(
    bundles: &Rc<super::BundleHooks>,
    request: BundleRequest,
) -> Result<BundleChunk, CallRefused> {
    let Some(content) = (bundles.content)(request.revision) else {
        return Ok(BundleChunk::default());
    };
    let rest = usize::try_from(request.offset).ok().and_then(|offset| content.get(offset..));
    let rest = rest.ok_or_else(|| {
        let (offset, size) = (request.offset, content.len());
        CallRefused::new(format!("offset {offset} is beyond the bundle of {size} bytes"))
    })?;
    Ok(BundleChunk {
        revision: request.revision,
        size: content.len() as u64,
        offset: request.offset,
        data: rest[..rest.len().min(BUNDLE_CHUNK_LIMIT_BYTES)].into(),
    })
}
