//! Compares a bundle with the one in force.

use futures_channel::oneshot;
use http::StatusCode;
use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::bundle_history::diff_bundles;
use std::sync::Arc;
use std::thread;

use super::content::fetch;
use super::read_auth::check_read;
use super::{AdminProblem, BundleDiff, DiffSide, parse_digest};
use crate::state::{BundleInForce, HostState};

/// Handles `GET /v1/bundles/{sha256}/diff`.
pub(super) async fn compare(
    state: &HostState,
    sha256: &str,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    check_read(state, req)?;
    let sha256 = parse_digest(sha256)?;
    let Some(in_force) = state.in_force.get() else {
        let detail = "no bundle is in force to compare with";
        return Err(Problem::not_run(409, "no-bundle", detail).into());
    };
    let content = fetch(state, sha256).await?;
    // Parsing a bundle of 37,000 accounts takes hundreds of milliseconds, during which a worker would serve
    // no caller.
    let (tx, rx) = oneshot::channel();
    let spawned = thread::Builder::new().name("bundle-diff".into()).spawn(move || {
        // Sending fails if the operator has closed the connection.
        let _ = tx.send(diff(&in_force, &content));
    });
    let failed = |detail: String| Problem::failed(500, "diff-failed", detail);
    spawned.map_err(|e| failed(format!("cannot start a thread: {e}")))?;
    let diff = rx.await.map_err(|_| failed("the comparison ended early".into()))??;
    Ok(Response::json(StatusCode::OK, &diff))
}

fn diff(in_force: &Arc<BundleInForce>, content: &str) -> Result<BundleDiff, Problem> {
    let bundle: Bundle = content.parse().map_err(|e| {
        let detail = format!("this release cannot read the kept content: {e}");
        Problem::failed(500, "content-unreadable", detail)
    })?;
    let tables = diff_bundles(&in_force.bundle, &bundle).into_iter().map(Into::into);
    Ok(BundleDiff {
        from: DiffSide::of(Some(in_force.revision), &in_force.bundle),
        to: DiffSide::of(None, &bundle),
        tables: tables.collect(),
    })
}
