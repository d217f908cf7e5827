use masticstair_core::bundle::{Account, Pipeline, Stage, StageKind};
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_policy::fair_queue::{AccountLimits, WorkClass};
use serde_json::value::RawValue;
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
    pub account: Account,
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
    /// The body, which was checked to be JSON of a bounded depth.
    pub body: Box<RawValue>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The trace of the caller, or a new one.
    pub trace: TraceParent,
}

impl CallerRequest {
    /// Returns the class in which the request waits: plain lookups have slots of their own.
    pub(super) fn work_class(&self) -> WorkClass {
        let lookup = |s: &Stage| s.kind == StageKind::Service && s.idempotent;
        if self.pipeline.stages.iter().all(lookup) { WorkClass::Lookup } else { WorkClass::Work }
    }

    /// Returns the part of the account's limits that this host owns.
    pub(super) fn local_limits(&self) -> AccountLimits {
        let hosts = self.config.bundle.limits.hosts.max(1);
        let part = |limit: Slots| Slots::new((limit.get() / hosts).max(1));
        let account = &self.account;
        let rate = account.rate.get() / f64::from(hosts);
        AccountLimits {
            weight: account.weight,
            concurrency: part(account.concurrency),
            rate: RatePerSecond::try_from(rate).unwrap_or_default(),
            burst: part(account.burst),
        }
    }
}
