use bytes::Bytes;
use futures_util::future::{Either, select};
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use masticstair_core::prelude::*;
use masticstair_policy::memory_account::MemoryKind;
use std::pin::pin;

use super::connection_memory::ConnectionMemory;
use super::{ConnectionCount, ServerLimits};
use crate::memory::{KeptBytes, RefusalCause};

/// Reads a whole body within the limits on size and time. `large_bodies` counts the bodies under the
/// higher limit that this worker is reading.
pub(super) async fn read_body(
    head: &Parts,
    body: Incoming,
    limits: &ServerLimits,
    memory: &ConnectionMemory,
    large_bodies: &ConnectionCount,
) -> Result<Bytes, Problem> {
    let account = memory.account();
    if account.held() > account.bounds().total() {
        // Streams take memory that was not asked for; nothing is added to it.
        account.count_refusal(RefusalCause::NoRoom);
        return Err(no_room("the memory of this host is in use"));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let Some(limit) = limits.large_body.filter(|limit| limit.applies_to(head)) else {
        return read_limited(body, limits.body, limits, memory).await;
    };
    match large_bodies.try_acquire(limit.max_concurrent) {
        Some(_counted) => read_limited(body, limit.max_size, limits, memory).await,
        None => {
            let detail = format!("{} bodies of this path are read already", limit.max_concurrent);
            Err(Problem::not_run(429, "too-many-bodies", detail).with_retry_after(1))
        }
    }
}

async fn read_limited(
    body: Incoming,
    limit: ByteCount,
    limits: &ServerLimits,
    memory: &ConnectionMemory,
) -> Result<Bytes, Problem> {
    // A body that never has room is refused as too large, since no later attempt can succeed.
    let limit = limit.min(memory.account().bounds().large_requests());
    if body.size_hint().lower() > limit.get() {
        return Err(too_large(limit));
    }
    let read = monoio::time::timeout(limits.body_timeout.duration(), collect(body, limit, memory));
    match select(pin!(read), memory.evicted()).await {
        Either::Left((Ok(result), _)) => result,
        Either::Left((Err(_), _)) => {
            let detail = format!("the body took longer than {} ms", limits.body_timeout);
            Err(Problem::not_run(408, "body-timeout", detail).with_field("body"))
        }
        Either::Right(_) => Err(no_room("the body has stopped, and others need its memory")),
    }
}

/// Reads a body into one block. Its pieces are copied: each would keep a whole read buffer, however small it is.
async fn collect(
    mut body: Incoming,
    limit: ByteCount,
    memory: &ConnectionMemory,
) -> Result<Bytes, Problem> {
    let limit_bytes = usize::try_from(limit.get()).unwrap_or(usize::MAX);
    let most = body.size_hint().exact().map_or(limit_bytes, |exact| exact as usize);
    let mut kept = KeptBytes::new(memory.account().share(MemoryKind::Request));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let detail = format!("the body could not be read: {e}");
            Problem::not_run(400, "body-unreadable", detail).with_field("body")
        })?;
        // Trailers are not kept.
        let Ok(piece) = frame.into_data() else { continue };
        if kept.len() + piece.len() > limit_bytes {
            return Err(too_large(limit));
        }
        if let Some(wanted) = kept.wanted(piece.len(), most) {
            let room = memory.grow_body(kept.share(), wanted).await;
            room.map_err(|e| no_room(&e.to_string()))?;
        }
        kept.push(&piece);
    }
    Ok(kept.freeze())
}

fn too_large(limit: ByteCount) -> Problem {
    let detail = format!("the body is larger than {limit} bytes");
    Problem::not_run(413, "body-too-large", detail).with_field("body")
}

fn no_room(detail: &str) -> Problem {
    Problem::not_run(503, "no-memory", detail).with_retry_after(1)
}
