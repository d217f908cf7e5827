use std::rc::Rc;
use std::sync::Arc;

use super::{BundleHooks, Membership, PeerPool};
use futures_util::future::LocalBoxFuture;
use slog::Logger;

/// What the tasks of the membership need.
pub struct MembershipContext {
    /// The shared tables.
    pub membership: Arc<Membership>,
    /// The clients of the control thread.
    pub peers: Rc<PeerPool>,
    /// The bundles of this host.
    pub bundles: Rc<BundleHooks>,
    /// Gets a line for each change of a host and each fault of a bundle.
    pub log: Logger,
    /// Completes when this host leaves.
    pub stop: LocalBoxFuture<'static, ()>,
}
