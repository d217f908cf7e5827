//! Membership: gossip, failure detection, endpoint updates and the distribution of bundles.
//!
//! Every 200 ms a host exchanges updates with one random peer. An unanswered exchange is a missed probe.
//! Hosts whose tables stay different compare digests (anti-entropy). The tables and their rules are in
//! `masticstair-policy`; this module exchanges them between hosts.
//!
//! The control thread creates a `Membership`, a `PeerPool` and the handlers of the peer server, and runs
//! `run_membership`. Other threads read `Membership::snapshot`.

mod abort_on_drop;
mod bundle_hooks;
mod bundle_task;
mod digest_cache;
mod exchange;
mod gossip;
mod gossip_schedule;
mod handlers;
mod host_report;
mod host_view;
mod join;
pub mod limits;
#[expect(clippy::module_inception, reason = "one type a file, under its own name")]
mod membership;
mod membership_config;
mod membership_context;
mod membership_snapshot;
mod notify;
mod peer_pool;
mod reported_revision;
mod reported_revisions;
mod revision_survey;
mod suspicion;
mod sync;
mod tables;
mod task;
mod task_context;

pub use bundle_hooks::BundleHooks;
pub use handlers::install_handlers;
pub use host_report::HostReport;
pub use host_view::HostView;
pub use membership::Membership;
pub use membership_config::{ClockFn, MembershipConfig};
pub use membership_context::MembershipContext;
pub use membership_snapshot::MembershipSnapshot;
pub use peer_pool::PeerPool;
pub use reported_revision::ReportedRevision;
pub use revision_survey::RevisionSurvey;
pub use task::run_membership;
