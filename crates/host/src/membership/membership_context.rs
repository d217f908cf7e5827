use std::rc::Rc;
use std::sync::Arc;

use super::{BundleHooks, Membership, PeerPool};
use futures_util::future::LocalBoxFuture;
use slog::Logger;

/// The parameters of `run_membership`.
pub struct MembershipContext {
    /// Shared with all threads of the host.
    pub membership: Arc<Membership>,
    /// The peer connections of the control thread, on which the membership runs.
    pub peers: Rc<PeerPool>,
    /// The source and target of bundles that are exchanged with peers.
    pub bundles: Rc<BundleHooks>,
    /// Receives state changes of hosts and failures to fetch bundles.
    pub log: Logger,
    /// Completes when this host has to leave the deployment.
    pub stop: LocalBoxFuture<'static, ()>,
}
