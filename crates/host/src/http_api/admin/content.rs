//! Reads the content of a bundle.

use http::StatusCode;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::bundle_history::BundleRefusal;
use masticstair_store::state::{Answer, Query};

use super::problems::{bundle_problem, read_problem, unexpected_answer};
use super::read_auth::check_read;
use super::{AdminProblem, BundleContent, READ_TIMEOUT, control, parse_digest};
use crate::state::HostState;

/// Handles `GET /v1/bundles/{sha256}`.
pub(super) async fn show(
    state: &HostState,
    sha256: &str,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    check_read(state, req)?;
    let sha256 = parse_digest(sha256)?;
    let content = fetch(state, sha256).await?;
    Ok(Response::json(StatusCode::OK, &BundleContent { sha256, content }))
}

/// Reads the content of a bundle from the replicated state; fails if it is unknown or no longer kept.
pub(super) async fn fetch(
    state: &HostState,
    sha256: Sha256Digest,
) -> Result<Box<str>, Box<AdminProblem>> {
    let query = Query::Content(sha256);
    match control(state)?.read(&query, READ_TIMEOUT).await.map_err(read_problem)? {
        Answer::Content(content) => {
            content.ok_or_else(|| bundle_problem(BundleRefusal::UnknownBundle(sha256)))
        }
        _ => Err(unexpected_answer()),
    }
}
