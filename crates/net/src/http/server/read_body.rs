use bytes::Bytes;
use http::request::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use masticstair_core::prelude::*;

use super::{ConnectionCount, ServerLimits};

/// Reads a whole body within the limits on size and time. `large_bodies` counts the bodies under the
/// higher limit that this worker is reading.
pub(super) async fn read_body(
    head: &Parts,
    body: Incoming,
    limits: &ServerLimits,
    large_bodies: &ConnectionCount,
) -> Result<Bytes, Problem> {
    let Some(limit) = limits.large_body.filter(|limit| limit.applies_to(head)) else {
        return read_limited(body, limits.body, limits).await;
    };
    match large_bodies.try_acquire(limit.max_concurrent) {
        Some(_counted) => read_limited(body, limit.max_size, limits).await,
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
) -> Result<Bytes, Problem> {
    let limit = limit.get();
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    match monoio::time::timeout(limits.body_timeout.duration(), limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("the body is larger than {limit} bytes");
            Err(Problem::not_run(413, "body-too-large", detail).with_field("body"))
        }
        Ok(Err(e)) => {
            let detail = format!("the body could not be read: {e}");
            Err(Problem::not_run(400, "body-unreadable", detail).with_field("body"))
        }
        Err(_) => {
            let detail = format!("the body took longer than {} ms", limits.body_timeout);
            Err(Problem::not_run(408, "body-timeout", detail).with_field("body"))
        }
    }
}
