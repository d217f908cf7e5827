use masticstair_core::bundle::Pipeline;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use serde_json::Value;
use std::sync::Arc;

use crate::state::BundleInForce;

/// A request that passed every check.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id, made by this host.
    pub id: RequestId,
    /// The bundle under which all of its stages run.
    pub config: Arc<BundleInForce>,
    /// The client account.
    pub account: AccountId,
    /// The pipeline.
    pub pipeline: Pipeline,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its answer is worth nothing.
    pub deadline: Timestamp,
    /// The key under which it runs at most once; present when a stage is not idempotent.
    pub key: Option<IdempotencyKey>,
    /// The digest of the body, which tells a repeat from another request under the same key.
    pub body_digest: Sha256Digest,
    /// The body.
    pub body: Value,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The trace of the caller, or a new one.
    pub trace: TraceParent,
}
